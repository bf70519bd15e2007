"""Hypothesis settings shared by the stateful tests.

CI runs fixed examples. The environment variables FUZZ_SEED and FUZZ_EXAMPLES
select a different or longer run.
"""

import os

import hypothesis

SEED_VARIABLE = "FUZZ_SEED"
EXAMPLES_VARIABLE = "FUZZ_EXAMPLES"


def profile(name: str, examples: int, steps: int) -> hypothesis.settings:
    """Returns the Hypothesis settings of a stateful test.

    Args:
        name: name of the test, printed if either variable is set.
        examples: number of examples in CI.
        steps: number of steps of each example.
    """
    count = int(os.environ.get(EXAMPLES_VARIABLE, examples))
    if SEED_VARIABLE in os.environ or EXAMPLES_VARIABLE in os.environ:
        print(f"{name}: {count} examples, seed {os.environ.get(SEED_VARIABLE)}")
    return hypothesis.settings(
        max_examples=count,
        stateful_step_count=steps,
        derandomize=SEED_VARIABLE not in os.environ,
        database=None,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )


def seeded(test):
    """Seeds a test class or function with FUZZ_SEED if it is set."""
    if SEED_VARIABLE not in os.environ:
        return test
    return hypothesis.seed(int(os.environ[SEED_VARIABLE]))(test)
