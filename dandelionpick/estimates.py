"""Run-time statistics of each organisation's job classes.

Each (organisation, class) has a logarithmic histogram of constant size. Its
counts are halved periodically, so that old observations lose weight.
"""

import collections
import dataclasses
import math
from collections.abc import Callable

from dandelionpick import ids

ClassKey = tuple[ids.OrganisationId, ids.ClassName]

MAX_CLASSES = 4096
# Bucket i begins at BUCKET_BASE_S * BUCKET_RATIO**i; bucket 0 also holds all
# shorter run times.
BUCKET_BASE_S = 0.001
BUCKET_RATIO = 1.25
# 72 buckets with ratio 1.25 cover 1 ms to 2.6 hours.
BUCKETS = 72
HALVE_AT_TOTAL = 256
# Quantiles of fewer observations are not used.
MIN_SAMPLES = 8
# Older observations may be outdated. If requests of a class were refused
# because of them, the class would never be observed again.
MAX_AGE_S = 60.0
SHORT_QUANTILE = 0.9
# Weight of one observation in the moving average over all classes.
MEAN_WEIGHT = 0.02
# Statistics of a class with at least STABLE_SAMPLES are recomputed only after
# this many observations; doing so for each request took half of the reducer's
# time.
REFRESH_OBSERVATIONS = 8
STABLE_SAMPLES = 64
# Cache key of the mean; quantiles are cached under their share.
MEAN_KEY = -1.0


@dataclasses.dataclass(slots=True)
class Histogram:
    """Histogram of the run times of one class.

    Attributes:
        total: sum of counts.
        observed_s: monotonic seconds of the last observation.
        changes: observations added or removed so far.
        cached: quantiles by share, and the mean under MEAN_KEY, each with the
            value of `changes` when it was computed.
        demoted: whether the class is declared short but its tasks run long.
    """

    counts: list[int] = dataclasses.field(default_factory=lambda: [0] * BUCKETS)
    total: int = 0
    observed_s: float = float("-inf")
    demoted: bool = False
    changes: int = 0
    cached: dict[float, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, elapsed_s: float, now_s: float) -> None:
        """Records a run time."""
        self.counts[bucket_of(elapsed_s)] += 1
        self.total += 1
        self.changes += 1
        self.observed_s = now_s
        if self.total >= HALVE_AT_TOTAL:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def remove(self, elapsed_s: float) -> None:
        """Removes a provisional observation if its bucket is not empty."""
        bucket = bucket_of(elapsed_s)
        if self.counts[bucket] > 0:
            self.counts[bucket] -= 1
            self.total -= 1
            self.changes += 1

    def quantile(self, share: float) -> float:
        """Returns the run time that a given share of tasks does not exceed."""
        return self._cached_value(share, self._quantile)

    def mean(self) -> float:
        """Returns the mean run time, including stragglers.

        Waiting times are sums of run times, and a median understates them.
        """
        return self._cached_value(MEAN_KEY, self._mean)

    def _cached_value(
        self, name: float, compute: Callable[[float], float]
    ) -> float:
        entry = self.cached.get(name)
        if entry is not None:
            age = self.changes - entry[0]
            stable = self.total >= STABLE_SAMPLES
            if age == 0 or (stable and age < REFRESH_OBSERVATIONS):
                return entry[1]
        value = compute(name)
        self.cached[name] = (self.changes, value)
        return value

    def _quantile(self, share: float) -> float:
        rank = max(1, math.ceil(share * self.total))
        cumulative = 0
        for bucket, count in enumerate(self.counts):
            cumulative += count
            if cumulative >= rank:
                return BUCKET_BASE_S * BUCKET_RATIO ** (bucket + 0.5)
        return 0.0

    def _mean(self, name: float) -> float:
        if not self.total:
            return 0.0
        sum_s = sum(
            count * BUCKET_BASE_S * BUCKET_RATIO ** (bucket + 0.5)
            for bucket, count in enumerate(self.counts)
            if count
        )
        return sum_s / self.total

    def fastest(self) -> float:
        """Returns a lower bound of all run times that are still recorded."""
        for bucket, count in enumerate(self.counts):
            if count:
                return BUCKET_BASE_S * BUCKET_RATIO**bucket if bucket else 0.0
        return 0.0


def bucket_of(elapsed_s: float) -> int:
    """Returns the index of a run time's bucket."""
    if elapsed_s <= BUCKET_BASE_S:
        return 0
    bucket = int(math.log(elapsed_s / BUCKET_BASE_S) / math.log(BUCKET_RATIO))
    return min(bucket, BUCKETS - 1)


class Estimates:
    """Run-time histograms of all classes, with LRU eviction.

    Attributes:
        mean_s: exponential moving average over all classes; 0 before the first
            observation.
    """

    def __init__(self) -> None:
        self.classes: collections.OrderedDict[ClassKey, Histogram] = (
            collections.OrderedDict()
        )
        self.mean_s = 0.0

    def histogram_of(self, key: ClassKey) -> Histogram:
        """Returns the histogram of a class, and creates it if needed."""
        histogram = self.classes.get(key)
        if histogram is None:
            histogram = self.classes[key] = Histogram()
            if len(self.classes) > MAX_CLASSES:
                self.classes.popitem(last=False)
        self.classes.move_to_end(key)
        return histogram

    def observe(self, key: ClassKey, elapsed_s: float, now_s: float) -> None:
        """Records the run time of a finished task."""
        self.histogram_of(key).add(elapsed_s, now_s)
        if self.mean_s == 0.0:
            self.mean_s = elapsed_s
        self.mean_s += MEAN_WEIGHT * (elapsed_s - self.mean_s)

    def recent_histogram(self, key: ClassKey, now_s: float) -> Histogram | None:
        """Returns the histogram if it has enough recent observations."""
        histogram = self.classes.get(key)
        if histogram is None or histogram.total < MIN_SAMPLES:
            return None
        if now_s - histogram.observed_s > MAX_AGE_S:
            return None
        return histogram

    def expected_s(self, key: ClassKey, declared_s: float) -> float:
        """Returns the mean run time of a class.

        For a class without observations it is the declared run time, capped
        at the mean of all classes, because declarations can be far off and
        requests are refused by this estimate; 0 if no class was observed.
        """
        histogram = self.classes.get(key)
        if histogram is not None and histogram.total:
            return histogram.mean()
        return min(declared_s, self.mean_s)

    def is_short(
        self, key: ClassKey, declared: bool, short_max_s: float
    ) -> bool:
        """Returns whether a class is treated as short.

        A class that operators did not declare short never is. A declared one
        is demoted while its tasks run too long, and promoted again at half the
        limit; this hysteresis keeps it from alternating.
        """
        histogram = self.classes.get(key)
        if not declared or histogram is None:
            return declared
        if histogram.total >= MIN_SAMPLES:
            quantile_s = histogram.quantile(SHORT_QUANTILE)
            limit_s = short_max_s / 2 if histogram.demoted else short_max_s
            histogram.demoted = quantile_s > limit_s
        return not histogram.demoted
