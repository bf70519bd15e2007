"""Distributions of run times, by group of work.

Uses the mapping and the bins of a quantile sketch, so that a group takes a
bounded amount of memory and can be stored. Quantiles are those of the
Kaplan-Meier estimate: a run that was stopped, or still runs, has lasted at
least that long.
"""

import dataclasses
import functools
import math
from typing import NamedTuple

from ddsketch import mapping as sketch_mapping
from ddsketch import store as sketch_store

from dandelionpick import ids
from dandelionpick.batch import model

# Values are told apart to within a tenth, which is less than tasks of one kind
# differ.
ACCURACY = 0.05
MAPPING = sketch_mapping.LogarithmicMapping(ACCURACY)
# Values outside are counted as the nearest one inside, so that a distribution
# has at most 230 bins.
MIN_VALUE = 1e-3
MAX_VALUE = 1e7
BINS_PER_CHUNK = 16
# When a distribution has this weight, all of it loses half, so that a change of
# the work shows after about as many runs.
MAX_WEIGHT = 256.0
# Bins of less weight are dropped then.
MIN_BIN_WEIGHT = 0.05
# A group with less weight gives way to a coarser one.
MIN_WEIGHT = 8.0
# At most this many groups are kept: 180 organisations with one shape, or 10
# with their usual shapes, in three queues.
MAX_GROUPS = 600
# Errors in doublings: how large they are taken to be before any was observed,
# how many observations that stands for, and over how many they are averaged.
INITIAL_TIME_ERROR = 0.5
INITIAL_ESTIMATE_ERROR = 0.8
INITIAL_ERROR_WEIGHT = 2
ERROR_WINDOW = 32
# A few tasks in a hundred take seven times as long. Larger errors count as this
# one.
MAX_ERROR = 3.0


class Quantiles(NamedTuple):
    """Quantiles of a distribution."""

    low: float
    median: float
    high: float


# The shares that Quantiles stands for.
QUANTILE_SHARES = (0.05, 0.5, 0.9)


def key_of(value: float) -> int:
    """Returns the bin of a value."""
    return MAPPING.key(min(MAX_VALUE, max(MIN_VALUE, value)))


class Distribution:
    """Weights of observed values.

    Attributes:
        ended: weights of complete values, by bin.
        censored: weights of values that are at least as large as their bin.
        running: the same of what still runs; replaced regularly.
    """

    def __init__(self) -> None:
        self.ended = sketch_store.DenseStore(BINS_PER_CHUNK)
        self.censored = sketch_store.DenseStore(BINS_PER_CHUNK)
        self.running: dict[int, float] = {}
        self._quantiles: Quantiles | None = None

    def add(self, value: float, weight: float, complete: bool) -> None:
        """Adds a value that is complete, or a bound below it."""
        self.add_bin(key_of(value), weight, complete)

    def add_bin(self, key: int, weight: float, complete: bool) -> None:
        """Adds weight to a bin."""
        (self.ended if complete else self.censored).add(key, weight)
        self._quantiles = None
        if self.ended.count + self.censored.count > MAX_WEIGHT:
            self.ended = _halve(self.ended)
            self.censored = _halve(self.censored)

    def set_running(self, weights: dict[int, float]) -> None:
        """Replaces the weights of what still runs."""
        if weights or self.running:
            self.running = weights
            self._quantiles = None

    def quantiles(self) -> Quantiles:
        """Returns the quantiles; the largest value where they are unknown."""
        if self._quantiles is None:
            self._quantiles = self._estimate_quantiles()
        return self._quantiles

    def _estimate_quantiles(self) -> Quantiles:
        ended = dict(bins_of(self.ended))
        censored = dict(bins_of(self.censored))
        for key, weight in self.running.items():
            censored[key] = censored.get(key, 0.0) + weight
        at_risk = sum(ended.values()) + sum(censored.values())
        surviving = 1.0
        found: list[float] = []
        value = MIN_VALUE
        for key in sorted(ended.keys() | censored.keys()):
            value = MAPPING.value(key)
            weight = ended.get(key, 0.0)
            surviving *= 1.0 - weight / at_risk
            while (
                len(found) < len(QUANTILE_SHARES)
                and 1.0 - surviving >= QUANTILE_SHARES[len(found)]
            ):
                found.append(value)
            at_risk -= weight + censored.get(key, 0.0)
        found += [value] * (len(QUANTILE_SHARES) - len(found))
        return Quantiles(*found)


def bins_of(store: sketch_store.DenseStore) -> list[tuple[int, float]]:
    """Returns the bins of a store that have weight."""
    return [
        (store.offset + number, weight)
        for number, weight in enumerate(store.bins)
        if weight > 0.0
    ]


def _halve(store: sketch_store.DenseStore) -> sketch_store.DenseStore:
    halved = sketch_store.DenseStore(BINS_PER_CHUNK)
    for key, weight in bins_of(store):
        if weight / 2 >= MIN_BIN_WEIGHT:
            halved.add(key, weight / 2)
    return halved


@dataclasses.dataclass(slots=True)
class Error:
    """Average error of a predictor, in doublings.

    Attributes:
        mean: average of |log2(truth / predicted)|.
        weight: how many observations it stands for.
    """

    mean: float
    weight: int = INITIAL_ERROR_WEIGHT

    def add(self, truth: float, predicted: float) -> None:
        """Records an observation."""
        error = min(MAX_ERROR, abs(math.log2(truth / predicted)))
        self.weight = min(ERROR_WINDOW, self.weight + 1)
        self.mean += (error - self.mean) / self.weight


@dataclasses.dataclass(slots=True)
class Group:
    """What is known about the runs of a group.

    Attributes:
        times: run times in seconds.
        ratios: run times relative to the caller's estimate.
        time_error: error of expecting the median of the times.
        estimate_error: error of the estimate times the median of the ratios.
    """

    times: Distribution = dataclasses.field(default_factory=Distribution)
    ratios: Distribution = dataclasses.field(default_factory=Distribution)
    time_error: Error = dataclasses.field(
        default_factory=lambda: Error(INITIAL_TIME_ERROR)
    )
    estimate_error: Error = dataclasses.field(
        default_factory=lambda: Error(INITIAL_ESTIMATE_ERROR)
    )

    @property
    def weight(self) -> float:
        """Weight of the runs that have ended."""
        return self.times.ended.count


class GroupKey(NamedTuple):
    """Identifies a group; "" stands for any organisation or shape."""

    queue: ids.QueueName
    organisation: str = ""
    shape: str = ""


@functools.lru_cache(1_024)
def shape_of(needs: model.Resources) -> str:
    """Returns the shape of a task: its accelerators and whole cores."""
    return f"{needs.accelerators}/{math.ceil(needs.cpu_millis / 1_000)}"


def time_keys(
    record: model.JobRecord, spec: model.StepSpec
) -> tuple[GroupKey, ...]:
    """Returns the groups for the run times of a step, the finest first."""
    shape = shape_of(spec.needs)
    return (
        GroupKey(record.queue, record.organisation, shape),
        GroupKey(record.queue, "", shape),
        GroupKey(record.queue),
    )


def estimate_keys(record: model.JobRecord) -> tuple[GroupKey, ...]:
    """Returns the groups for the caller's estimates, the finest first."""
    return (
        GroupKey(record.queue, record.organisation),
        GroupKey(record.queue),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """What is expected of a task's run time, in seconds.

    Attributes:
        expected_s: it is as likely to take longer as to take less.
        cautious_s: it rarely takes longer.
        by_times_s: by the times of the group alone; 0 if unknown.
        by_estimate_s: by the estimate and its usual error; 0 if unknown.
        runs: how many runs were known; 0 if only the estimate was.
    """

    expected_s: float
    cautious_s: float
    by_times_s: float = 0.0
    by_estimate_s: float = 0.0
    runs: int = 0


@dataclasses.dataclass(slots=True)
class StepTimes:
    """Run times of the tasks of a step that have ended as done."""

    total_s: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class RunTimes:
    """What the scheduler has learnt about run times.

    Attributes:
        groups: the groups, in the order of their first run.
        predictions: cached since `refreshed_s`, by job and step.
        first_predictions: the same, as of when the step first waited.
        usable: cached groups with enough runs: one for the run times and one
            for the estimates, by queue, organisation and resources.
        steps: steps of which tasks have ended, by job, occurrence and step.
        refreshed_s: when the runs in progress were last counted.
        changed: something was learnt since the last write to the store.
        is_read: what an earlier scheduler has stored was read.
        is_pending: a read or a write is in progress.
        call_at_s: neither is sent before this time.
    """

    groups: dict[GroupKey, Group] = dataclasses.field(default_factory=dict)
    predictions: dict[tuple[ids.JobId, int], Prediction] = dataclasses.field(
        default_factory=dict
    )
    first_predictions: dict[tuple[ids.JobId, int], Prediction] = (
        dataclasses.field(default_factory=dict)
    )
    usable: dict[
        tuple[ids.QueueName, ids.OrganisationId, model.Resources],
        tuple[Group | None, Group | None],
    ] = dataclasses.field(default_factory=dict)
    steps: dict[tuple[ids.JobId, int, int], StepTimes] = dataclasses.field(
        default_factory=dict
    )
    refreshed_s: float = float("-inf")
    changed: bool = False
    is_read: bool = False
    is_pending: bool = False
    call_at_s: float = float("-inf")

    def group(self, key: GroupKey) -> Group:
        """Returns a group, which is added if it is new."""
        found = self.groups.get(key)
        if found is None:
            if len(self.groups) >= MAX_GROUPS:
                self._drop_smallest()
            found = self.groups[key] = Group()
        return found

    def usable_groups(
        self, record: model.JobRecord, spec: model.StepSpec
    ) -> tuple[Group | None, Group | None]:
        """Returns the finest groups with enough runs; None without one.

        Returns:
            The group for the run times of a step, and that for the caller's
            estimates.
        """
        key = record.queue, record.organisation, spec.needs
        found = self.usable.get(key)
        if found is None:
            found = self.usable[key] = (
                self._finest(time_keys(record, spec)),
                self._finest(estimate_keys(record)),
            )
        return found

    def _finest(self, keys: tuple[GroupKey, ...]) -> Group | None:
        for key in keys:
            found = self.groups.get(key)
            if found is not None and found.weight >= MIN_WEIGHT:
                return found
        return None

    def forget_predictions(self) -> None:
        """Lets predictions be made anew."""
        self.predictions.clear()
        self.usable.clear()

    def _drop_smallest(self) -> None:
        """Drops a tenth of the groups, so that this is rarely needed."""
        ordered = sorted(self.groups, key=lambda key: self.groups[key].weight)
        for key in ordered[: MAX_GROUPS // 10]:
            del self.groups[key]
