"""Orders waiting work so that a peak of one organisation delays others less.

The load pattern is ten organisations, a few of them large, that compete for too
little capacity. By objectives alone, a peak of one organisation takes the whole
pool and the work of small ones waits behind it. Within a rank, the work of an
organisation that has used much more than an equal share of the pool over the
last tens of seconds therefore comes after that of others, for a bounded time.
Work that a guarantee covers keeps its place and does not count as use.
"""

import collections
from collections.abc import Iterable
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import contention
from dandelionpick.batch import guarantees
from dandelionpick.batch import headroom
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import schedule_state

# Interval between samples of what organisations use.
SAMPLE_S = 0.5
# An organisation is heavy if it uses more than this many times its share, which
# is an equal part of what all use. With two organisations that is three
# quarters of the use.
HEAVY_FACTOR = 1.5
# Average use below this part of a share does not make an organisation one of
# those that share the pool.
ACTIVE_PART = 0.05
# A job is held back for at most this part of the time that it can wait without
# missing its objective, and for at most MAX_HOLD_S.
MAX_HOLD_PART = 0.5
MAX_HOLD_S = 10.0
# Interval between log lines about one organisation.
NOTE_PERIOD_S = 20.0


def order(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    units: Iterable[Any],
) -> list[Any]:
    """Returns waiting units in the order in which they are placed."""
    ordered = sorted(units, key=lambda unit: unit.urgency)
    if not schedule.features.fair_shares:
        return ordered
    use = schedule.contention.use
    now_s, unix_s = step.moment.now_s, step.moment.unix_ms / 1_000
    if now_s - use.sampled_s >= SAMPLE_S:
        _sample(schedule, now_s)
    heavy = _heavy_senders(use, ordered)
    if not heavy:
        return ordered
    _note_heavy(use, step, heavy)

    def key(unit: Any) -> tuple[float, ...]:
        rank, *rest = unit.urgency
        held_back = False
        with schedule.isolation.guard_job(step, unit.job.id, "ordering"):
            held_back = _sender(unit) in heavy and _is_held_back(
                schedule, unit, unix_s
            )
        return (rank, float(held_back), *rest)

    return sorted(ordered, key=key)


def _note_heavy(
    use: contention.OrganisationUse,
    step: dispatch.Step,
    heavy: frozenset[contention.Sender],
) -> None:
    """Tells operators whose work is held back, for each peak once."""
    for sender in sorted(heavy):
        if step.moment.now_s < use.noted_s.get(sender, float("-inf")):
            continue
        use.noted_s[sender] = step.moment.now_s + NOTE_PERIOD_S
        pool, organisation = sender
        step.count("organisations_held_back_total")
        step.note(
            effects.Component.SCHEDULER,
            f"{organisation} uses more than its share, its work comes later",
            pool=pool,
            used_cores=round(use.averages[sender]),
        )


def _sample(schedule: schedule_state.Schedule, now_s: float) -> None:
    """Records what runs without a guarantee, by pool and organisation."""
    use = schedule.contention.use
    used: collections.Counter[contention.Sender] = collections.Counter()
    for target in schedule.targets.values():
        if target.entry is None:
            continue
        pool = target.entry.pool
        for run in target.runs.values():
            job = schedule.jobs.get(run.task.job_id)
            if job is not None and not _is_covered(
                guarantees.rank(schedule, job)
            ):
                sender = pool, job.record.organisation
                used[sender] += preemption_gain.cores_of(run.needs)
    use.add_sample(used, now_s)


def _is_covered(rank: float) -> bool:
    """Returns whether work of a rank is covered by a guarantee."""
    return rank <= guarantees.URGENT_PRIORITY


def _heavy_senders(
    use: contention.OrganisationUse, units: Iterable[Any]
) -> frozenset[contention.Sender]:
    """Returns the waiting organisations that use more than their share."""
    waiting = {
        _sender(unit) for unit in units if not _is_covered(unit.urgency[0])
    }
    senders: collections.Counter[str] = collections.Counter(
        pool for pool, _ in waiting
    )
    heavy = set()
    for pool, count in senders.items():
        if count < 2:
            continue
        averages = {
            sender: average
            for sender, average in use.averages.items()
            if sender[0] == pool
        }
        total = sum(averages.values())
        active = {
            sender
            for sender, average in averages.items()
            if average > ACTIVE_PART * total / count
        } | {sender for sender in waiting if sender[0] == pool}
        share = total / len(active)
        heavy |= {
            sender
            for sender in waiting
            if averages.get(sender, 0.0) > HEAVY_FACTOR * share
        }
    return frozenset(heavy)


def _sender(unit: Any) -> contention.Sender:
    record = unit.job.record
    return record.terms.pool, record.organisation


def _is_held_back(
    schedule: schedule_state.Schedule, unit: Any, unix_s: float
) -> bool:
    """Returns whether a heavy organisation's unit comes after others."""
    if _is_covered(unit.urgency[0]):
        return False
    longest_s = min(
        MAX_HOLD_S, MAX_HOLD_PART * headroom.slack_s(schedule, unit.job)
    )
    return unix_s - unit.urgency[2] < longest_s
