"""Settings that every stateful test shares.

FUZZ_SEED and FUZZ_EXAMPLES in the environment replace the fixed examples of
CI by a longer or different run.
"""

import os

import hypothesis

SEED = "FUZZ_SEED"
EXAMPLES = "FUZZ_EXAMPLES"


def profile(name: str, examples: int, steps: int) -> hypothesis.settings:
    """Returns the settings of a stateful test.

    Args:
        name: name of the test; printed with a run that is not CI's.
        examples: example count of CI.
        steps: steps of each example.
    """
    count = int(os.environ.get(EXAMPLES, examples))
    if SEED in os.environ or EXAMPLES in os.environ:
        print(f"{name}: {count} examples, seed {os.environ.get(SEED)}")
    return hypothesis.settings(
        max_examples=count,
        stateful_step_count=steps,
        derandomize=SEED not in os.environ,
        database=None,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )


def seeded(test):
    """Decorates a test class or function with FUZZ_SEED, if it is set."""
    if SEED not in os.environ:
        return test
    return hypothesis.seed(int(os.environ[SEED]))(test)
