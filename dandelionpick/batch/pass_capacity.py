"""Free capacity that one scheduling pass may use, by pool.

It is built once a pass and updated with each start, because building it for
each waiting step would take most of the scheduler's processor time while many
steps wait.
"""

import copy
import dataclasses
from typing import Any

from dandelionpick import ids
from dandelionpick.batch import capacity_views
from dandelionpick.batch import contention
from dandelionpick.batch import evacuations
from dandelionpick.batch import free_capacity
from dandelionpick.batch import headroom
from dandelionpick.batch import model
from dandelionpick.batch import roster
from dandelionpick.batch import schedule_state
from dandelionpick.batch import start_conditions
from dandelionpick.batch import target_health
from dandelionpick.batch import target_preference

# Penalty that places targets on which a task of the unit failed after all
# others.
AVOIDED_TARGET_PENALTY = 4.0
# Penalties that keep tasks that may crash their target apart from other work.
# They count less than a failure of the task itself.
SHARED_TARGET_PENALTY = 2.0
OBSERVED_TARGET_PENALTY = 2.0
# Places targets that are cold for now after all others, except those on which a
# task of the unit failed: an attempt there may be its last.
COLD_TARGET_PENALTY = 3.5
# Key of the targets on probation among the racks of a unit that may use them.
PROBATION_RACK = ids.Rack("\0probation")


class PassCapacity:
    """The free capacity of all pools during one pass.

    Attributes:
        urgent: what urgent work may use, by pool: everything that is free and
            not reserved.
        other: what other work may use, by pool. It is derived from `urgent`
            when the first unit asks for it; urgent units come before it. It
            lacks the targets under observation and what is reserved for gangs.
        backfill: the targets with reservations for gangs, with all that is
            free there.
        probes: targets on probation that only work that loses little may use,
            by pool. Each takes one task.
        single_use: other targets on probation; each takes one task.
    """

    def __init__(self, schedule: schedule_state.Schedule, now_s: float):
        self.schedule = schedule
        self.now_s = now_s
        self.urgent: dict[ids.PoolName, free_capacity.FreeCapacity] = {}
        self.other: dict[ids.PoolName, free_capacity.FreeCapacity] = {}
        self.probes: dict[ids.PoolName, free_capacity.FreeCapacity] = {}
        self.single_use: set[ids.TargetId] = set()
        self.backfill: dict[ids.PoolName, free_capacity.FreeCapacity] = {}

    def of_pool(
        self, pool: ids.PoolName, is_urgent: bool
    ) -> free_capacity.FreeCapacity:
        """Returns the free capacity of a pool."""
        if pool not in self.urgent:
            self._build(pool)
        if is_urgent:
            return self.urgent[pool]
        if pool not in self.other:
            open_candidates = [
                candidate
                for candidate in self.urgent[pool].candidates()
                if candidate.target not in self.schedule.observed_until_s
            ]
            candidates = headroom.subtract_headroom(
                open_candidates, self.schedule.headroom.get(pool, 0)
            )
            self.other[pool] = self._without_reserved(pool, candidates)
        return self.other[pool]

    def _without_reserved(
        self,
        pool: ids.PoolName,
        candidates: list[free_capacity.Candidate],
    ) -> free_capacity.FreeCapacity:
        """Returns candidates without the capacity reserved for gangs."""
        reserved = [
            item
            for reservation in self.schedule.contention.reservations.values()
            for item in reservation.resources.items()
        ]
        if not reserved:
            return free_capacity.FreeCapacity(candidates)
        names = {target for target, _ in reserved}
        self.backfill[pool] = free_capacity.FreeCapacity(
            [candidate for candidate in candidates if candidate.target in names]
        )
        capacity = free_capacity.FreeCapacity(
            [
                copy.copy(candidate) if candidate.target in names else candidate
                for candidate in candidates
            ]
        )
        for target, amount in reserved:
            capacity.take(target, amount)
        return capacity

    def backfill_racks(self, pool: ids.PoolName) -> free_capacity.Racks:
        """Returns the targets with reservations, for work that ends before."""
        capacity = self.backfill.get(pool)
        return capacity.racks if capacity else {}

    def racks_for(self, unit: Any) -> free_capacity.Racks:
        """Returns the candidates of a unit, by rack."""
        pool = self.of_pool(unit.job.record.terms.pool, unit.is_urgent)
        reservation = self._reservation_of(unit)
        avoided: set[ids.TargetId] = set()
        for task in unit.tasks:
            avoided |= task.avoided_targets
        max_per_target = unit.step_run.spec.max_per_target
        observed = self.schedule.observed_until_s
        own = reservation.resources if reservation else {}
        if (
            not avoided
            and not max_per_target
            and not observed
            and not unit.is_suspected
        ):
            return self._add_probes(unit, pool.racks_with(own))
        running = _count_running(unit) if max_per_target else {}
        candidates = []
        for candidate in pool.candidates():
            target = candidate.target
            changes: dict[str, Any] = {}
            if target in own:
                changes["free"] = candidate.free.plus(own[target])
            penalty = (
                AVOIDED_TARGET_PENALTY * (target in avoided)
                + OBSERVED_TARGET_PENALTY * (target in observed)
                + SHARED_TARGET_PENALTY
                * (unit.is_suspected and self._is_shared(unit, target))
            )
            if penalty:
                changes["penalty"] = candidate.penalty + penalty
            if max_per_target:
                left = max(0, max_per_target - running.get(target, 0))
                changes["max_tasks"] = min(candidate.max_tasks, left)
            if changes:
                candidate = dataclasses.replace(candidate, **changes)
            candidates.append(candidate)
        return free_capacity.group(candidates)

    def _add_probes(
        self, unit: Any, racks: free_capacity.Racks
    ) -> free_capacity.Racks:
        """Adds the targets on probation for work that loses little."""
        probes = self.probes.get(unit.job.record.terms.pool)
        if (
            probes is None
            or not probes.by_target
            or not target_preference.may_probe(unit)
        ):
            return racks
        rack = free_capacity.Rack(list(probes.candidates()))
        return {**racks, PROBATION_RACK: rack}

    def _is_shared(self, unit: Any, target: ids.TargetId) -> bool:
        """Returns whether other jobs have runs on a target."""
        return any(
            task.job_id != unit.job.id
            for task, _ in self.schedule.targets[target].runs
        )

    def close(self, target: ids.TargetId) -> None:
        """Removes a target that has come under observation for other work."""
        for pool in (*self.other.values(), *self.backfill.values()):
            pool.remove(target)

    def take(self, unit: Any, target: ids.TargetId) -> None:
        """Records that a task of a unit starts on a target."""
        name = unit.job.record.terms.pool
        self.of_pool(name, unit.is_urgent).take(target, unit.needs)
        if name in self.backfill:
            self.backfill[name].take(target, unit.needs)
        if target in self.single_use:
            self._close_probation(target)

    def reserve(self, unit: Any) -> None:
        """Records a reservation that was made for a unit during the pass."""
        for target, amount in self._reserved(unit):
            pool = self.of_pool(unit.job.record.terms.pool, unit.is_urgent)
            pool.take(target, amount)

    def release(self, unit: Any) -> None:
        """Records that the reservation of a unit ends."""
        for target, amount in self._reserved(unit):
            pool = self.of_pool(unit.job.record.terms.pool, unit.is_urgent)
            pool.put_back(target, amount)

    def _close_probation(self, target: ids.TargetId) -> None:
        """Removes a target on probation that has got its task."""
        for pools in (self.urgent, self.other, self.probes, self.backfill):
            for pool in pools.values():
                pool.remove(target)

    def _build(self, pool: ids.PoolName) -> None:
        """Builds the capacity of a pool from the state of its targets."""
        schedule = self.schedule
        preference = target_preference.TargetPreference(schedule, self.now_s)
        candidates, probes = [], []
        for target in schedule.targets.values():
            if not roster.may_use(schedule, target):
                continue
            if not is_usable(target, pool, self.now_s):
                continue
            if evacuations.is_closed(schedule, target):
                continue
            if preference.is_out(target):
                continue
            candidate = _candidate_of(target, self.now_s)
            preference.apply(candidate, target)
            if candidate.max_tasks == 1:
                self.single_use.add(target.id)
            if preference.is_reserved_for_probes(target):
                probes.append(candidate)
            else:
                candidates.append(candidate)
        capacity = free_capacity.FreeCapacity(candidates)
        for reservation in schedule.reservations.values():
            for target_id, amount in reservation.resources.items():
                capacity.take(target_id, amount)
        self.urgent[pool] = capacity
        self.probes[pool] = free_capacity.FreeCapacity(probes)

    def _reserved(
        self, unit: Any
    ) -> list[tuple[ids.TargetId, model.Resources]]:
        reservation = self._reservation_of(unit)
        return list(reservation.resources.items()) if reservation else []

    def _reservation_of(
        self, unit: Any
    ) -> capacity_views.Reservation | contention.GangReservation | None:
        """Returns the reservation of an urgent unit or of a gang."""
        return self.schedule.reservations.get(
            unit.key
        ) or self.schedule.contention.reservations.get(unit.key)


def _candidate_of(
    target: schedule_state.Target, now_s: float
) -> free_capacity.Candidate:
    entry = target.entry
    assert entry is not None
    is_cold = now_s < target.cold_until_s
    return free_capacity.Candidate(
        target.id,
        entry.rack,
        target.free(),
        penalty=target_health.penalty(target) + COLD_TARGET_PENALTY * is_cold,
        labels=entry.labels,
        is_cold=is_cold,
    )


def is_usable(
    target: schedule_state.Target, pool: ids.PoolName, now_s: float
) -> bool:
    """Returns whether tasks can be started on a target of a pool."""
    entry = target.entry
    return (
        entry is not None
        and entry.pool == pool
        and start_conditions.obstacle_of_target(target, now_s) is None
    )


def _count_running(unit: Any) -> dict[ids.TargetId, int]:
    """Returns how many tasks of a unit's step run on each target."""
    running: dict[ids.TargetId, int] = {}
    for task in unit.step_run.tasks:
        for run in task.runs.values():
            running[run.target] = running.get(run.target, 0) + 1
    return running
