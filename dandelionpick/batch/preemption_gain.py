"""Decides whether stopping others for urgent work pays.

At a crest many of the runs that an urgent gang would stop are about to end by
themselves; stopping these gains nothing. Work that no guarantee covers does not
stop what is worth much more than itself.
"""

from dandelionpick.batch import job_state
from dandelionpick.batch import model

# Stopping a run that is expected to end within this time gains nothing.
NEAR_END_S = 0.3
# Work outside a guarantee may throw away this many times the core seconds that
# it needs itself. Urgent jobs are small and worth several times as much for
# each core second as the others.
MAX_LOSS_FACTOR = 4.0
# How many processor cores an accelerator counts as when costs are compared.
CORES_PER_ACCELERATOR = 8.0


def cores_of(needs: model.Resources) -> float:
    """Returns resources as a number of processor cores."""
    return needs.cpu_millis / 1_000 + needs.accelerators * CORES_PER_ACCELERATOR


def remaining_s(run: job_state.Run, now_s: float) -> float:
    """Returns how long a run is expected to last; inf if that is unknown."""
    done = run.percent - run.first_percent
    if done <= 0:
        return float("inf")
    worked_s = run.progressed_s - run.ordered_s
    total_s = worked_s * (100.0 - run.first_percent) / done
    return max(0.0, run.ordered_s + total_s - now_s)


def pays(
    lost_core_s: float, needs: model.Resources, tasks: int, expected_s: float
) -> bool:
    """Returns whether work outside a guarantee is worth what is stopped."""
    own_core_s = tasks * cores_of(needs) * expected_s
    return lost_core_s <= MAX_LOSS_FACTOR * own_core_s
