"""Learns which targets are fast, from tasks of one step on several targets.

Answers pools whose targets differ by half in speed: urgent work and large gangs
go to fast ones, and work with time to spare to slow ones. Estimates say nothing
about it, because they are off by more than the targets differ.
"""

import math
import statistics

from dandelionpick.batch import model
from dandelionpick.batch import schedule_state

# A run tells its whole time only after this much progress.
MIN_PERCENT = 30.0
# Steps with fewer tasks say too little about their usual time.
MIN_TASKS = 3
# One task differs from others of its step by at most this, as a logarithm; more
# is a straggler.
MAX_DIFFERENCE = 0.7
# Weight of the assumption that a target is like the others, in tasks.
PRIOR_TASKS = 3.0
# Targets whose speeds differ by less are treated alike.
STEP = 0.12
# Below the penalties for failures, which come first.
PENALTY = 0.05
# Queues from this priority on have time to spare.
LEISURELY_PRIORITY = 2


def note_time(
    step_run: schedule_state.StepRun,
    run: schedule_state.Run,
    percent: float,
    at_s: float,
) -> None:
    """Takes note of a run's time, unless it resumed from a checkpoint."""
    elapsed_s = at_s - run.ordered_s
    if run.resumed or percent < MIN_PERCENT or elapsed_s <= 0:
        return
    whole_s = elapsed_s * 100.0 / percent
    step_run.times.append((run.target, math.log(whole_s)))


def note_end(
    schedule: schedule_state.Schedule, step_run: schedule_state.StepRun
) -> None:
    """Compares the targets on which the tasks of an ended step ran."""
    times = step_run.times
    if step_run.left or len(times) < MIN_TASKS:
        return
    usual = statistics.median(time for _, time in times)
    for target_id, time in times:
        target = schedule.targets.get(target_id)
        if target is None or abs(time - usual) > MAX_DIFFERENCE:
            continue
        target.slowness_sum += time - usual
        target.slowness_count += 1
    step_run.times = []


def slowness(target: schedule_state.Target) -> float:
    """Returns the logarithm of a target's run time relative to others."""
    return target.slowness_sum / (target.slowness_count + PRIOR_TASKS)


def penalty(target: schedule_state.Target, terms: model.QueueTerms) -> float:
    """Returns how much a target is to be avoided by a queue's tasks."""
    steps = round(slowness(target) / STEP)
    in_haste = terms.priority < LEISURELY_PRIORITY
    return PENALTY * (steps if in_haste else -steps)
