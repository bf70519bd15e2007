"""Observed run times of each organisation's job classes.

A logarithmic histogram for each (organisation, class) takes constant memory.
Counts are halved from time to time, so that old observations lose weight.
"""

import collections
import dataclasses
import math
from collections.abc import Callable

from dandelionpick import ids

ClassKey = tuple[ids.OrganisationId, ids.ClassName]

MAX_CLASSES = 4096
SMALLEST_S = 0.001
GROWTH = 1.25
# 72 buckets of ratio 1.25 reach from 1 ms to 2.6 hours.
BUCKETS = 72
HALVE_AT = 256
# Fewer observations than this say nothing about a quantile.
MIN_SAMPLES = 8
# Older observations may no longer hold; a class that is refused because of
# them would never be observed again.
FRESH_S = 60.0
SHORT_QUANTILE = 0.9
LANE_MEAN_WEIGHT = 0.02
# Figures of well-known classes are computed again after so many observations;
# computing them for each request took half of the reducer's time.
REFRESH_OBSERVATIONS = 8
WELL_KNOWN_SAMPLES = 64
MEAN = -1.0


@dataclasses.dataclass(slots=True)
class Histogram:
    """Run times of one class.

    Attributes:
        total: sum of counts.
        observed_s: monotonic seconds of the last observation.
        changes: observations added or taken back so far.
        figures: quantiles, and the mean under MEAN, with the number of changes
            that they were computed after.
        demoted: the class was declared short and its tasks run long.
    """

    counts: list[int] = dataclasses.field(default_factory=lambda: [0] * BUCKETS)
    total: int = 0
    observed_s: float = float("-inf")
    demoted: bool = False
    changes: int = 0
    figures: dict[float, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, elapsed_s: float, now_s: float) -> None:
        """Records a run time."""
        self.counts[bucket_of(elapsed_s)] += 1
        self.total += 1
        self.changes += 1
        self.observed_s = now_s
        if self.total >= HALVE_AT:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def take_back(self, elapsed_s: float) -> None:
        """Removes a provisional observation if it still counts."""
        bucket = bucket_of(elapsed_s)
        if self.counts[bucket] > 0:
            self.counts[bucket] -= 1
            self.total -= 1
            self.changes += 1

    def quantile(self, share: float) -> float:
        """Returns the run time that a share of the tasks does not exceed."""
        return self._figure(share, self._quantile)

    def mean(self) -> float:
        """Returns the mean run time; stragglers count in full.

        Waiting times are sums of run times, which a median understates.
        """
        return self._figure(MEAN, self._mean)

    def _figure(self, name: float, compute: Callable[[float], float]) -> float:
        held = self.figures.get(name)
        if held is not None:
            age = self.changes - held[0]
            well_known = self.total >= WELL_KNOWN_SAMPLES
            if age == 0 or (well_known and age < REFRESH_OBSERVATIONS):
                return held[1]
        value = compute(name)
        self.figures[name] = (self.changes, value)
        return value

    def _quantile(self, share: float) -> float:
        rank = max(1, math.ceil(share * self.total))
        seen = 0
        for bucket, count in enumerate(self.counts):
            seen += count
            if seen >= rank:
                return SMALLEST_S * GROWTH ** (bucket + 0.5)
        return 0.0

    def _mean(self, name: float) -> float:
        if not self.total:
            return 0.0
        sum_s = sum(
            count * SMALLEST_S * GROWTH ** (bucket + 0.5)
            for bucket, count in enumerate(self.counts)
            if count
        )
        return sum_s / self.total

    def fastest(self) -> float:
        """Returns a lower bound of every run time that still counts."""
        for bucket, count in enumerate(self.counts):
            if count:
                return SMALLEST_S * GROWTH**bucket if bucket else 0.0
        return 0.0


def bucket_of(elapsed_s: float) -> int:
    """Returns the bucket of a run time."""
    if elapsed_s <= SMALLEST_S:
        return 0
    bucket = int(math.log(elapsed_s / SMALLEST_S) / math.log(GROWTH))
    return min(bucket, BUCKETS - 1)


class Estimates:
    """Run times of all classes, the least recently used ones dropped.

    Attributes:
        mean_s: moving mean over all classes; 0 before the first observation.
    """

    def __init__(self) -> None:
        self.classes: collections.OrderedDict[ClassKey, Histogram] = (
            collections.OrderedDict()
        )
        self.mean_s = 0.0

    def of(self, key: ClassKey) -> Histogram:
        """Returns the histogram of a class, new if there is none."""
        histogram = self.classes.get(key)
        if histogram is None:
            histogram = self.classes[key] = Histogram()
            if len(self.classes) > MAX_CLASSES:
                self.classes.popitem(last=False)
        self.classes.move_to_end(key)
        return histogram

    def observe(self, key: ClassKey, elapsed_s: float, now_s: float) -> None:
        """Records the run time of a task that ended."""
        self.of(key).add(elapsed_s, now_s)
        if self.mean_s == 0.0:
            self.mean_s = elapsed_s
        self.mean_s += LANE_MEAN_WEIGHT * (elapsed_s - self.mean_s)

    def known(self, key: ClassKey, now_s: float) -> Histogram | None:
        """Returns the histogram if it has enough recent observations."""
        histogram = self.classes.get(key)
        if histogram is None or histogram.total < MIN_SAMPLES:
            return None
        if now_s - histogram.observed_s > FRESH_S:
            return None
        return histogram

    def expected_s(self, key: ClassKey, declared_s: float) -> float:
        """Returns the mean run time of a class.

        For a class without observations it is the declared run time, but not
        above the mean of all classes, because declarations can be far off and
        requests are refused by this figure; 0 if nothing was observed at all.
        """
        histogram = self.classes.get(key)
        if histogram is not None and histogram.total:
            return histogram.mean()
        return min(declared_s, self.mean_s)

    def is_short(
        self, key: ClassKey, declared: bool, short_max_s: float
    ) -> bool:
        """Returns whether a class counts as short.

        A class that the operators did not permit the slots for short work is
        never short. One that they did loses them while its tasks run long. It
        regains them at half the limit, so that it does not alternate.
        """
        histogram = self.classes.get(key)
        if not declared or histogram is None:
            return declared
        if histogram.total >= MIN_SAMPLES:
            high_s = histogram.quantile(SHORT_QUANTILE)
            limit_s = short_max_s / 2 if histogram.demoted else short_max_s
            histogram.demoted = high_s > limit_s
        return not histogram.demoted
