"""Settings of the fuzzers, which environment variables can change.

FUZZ_SEED replaces the fixed examples of CI by those of a seed; FUZZ_EXAMPLES
sets the number of examples.
"""

import os

import hypothesis


def profile(name: str, examples: int, steps: int) -> hypothesis.settings:
    """Returns the settings of one fuzzer.

    Args:
        name: names the fuzzer in the printed settings.
        examples: number of examples in CI.
        steps: largest number of rules in an example.
    """
    chosen = int(os.environ.get("FUZZ_EXAMPLES", examples))
    seeded = "FUZZ_SEED" in os.environ
    if seeded:
        print(f"{name}: seed {os.environ['FUZZ_SEED']}, {chosen} examples")
    return hypothesis.settings(
        max_examples=chosen,
        stateful_step_count=steps,
        derandomize=not seeded,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def seeded(machine: type) -> type:
    """Fixes the seed of a state machine's test case if one is set."""
    seed = os.environ.get("FUZZ_SEED")
    return hypothesis.seed(int(seed))(machine) if seed else machine
