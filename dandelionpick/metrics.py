"""Metrics of an entry instance, declared in one place."""

import prometheus_client

COUNTERS = {
    "requests_total": prometheus_client.Counter(
        "dandelionpick_requests_total",
        "Requests answered, by outcome.",
        ["outcome"],
    ),
    "quarantines_total": prometheus_client.Counter(
        "dandelionpick_quarantines_total",
        "Executors taken out of use because requests fail or run slowly.",
    ),
    "refusals_total": prometheus_client.Counter(
        "dandelionpick_refusals_total",
        "Requests refused at admission or displaced, by problem.",
        ["problem"],
    ),
    "hedges_total": prometheus_client.Counter(
        "dandelionpick_hedges_total",
        "Second tasks started for slow idempotent requests.",
    ),
    "forwards_total": prometheus_client.Counter(
        "dandelionpick_forwards_total",
        "Requests forwarded to another failure domain, by region.",
        ["same_region"],
    ),
}
HISTOGRAMS = {
    "request_seconds": prometheus_client.Histogram(
        "dandelionpick_request_seconds",
        "Seconds from receipt of a request to its answer, by class.",
        ["job_class"],
    ),
}


def add(metric: str, labels: tuple[str, ...], amount: float) -> None:
    """Adds to a counter."""
    counter = COUNTERS[metric]
    (counter.labels(*labels) if labels else counter).inc(amount)


def observe(metric: str, labels: tuple[str, ...], value: float) -> None:
    """Records a value in a histogram."""
    histogram = HISTOGRAMS[metric]
    (histogram.labels(*labels) if labels else histogram).observe(value)


def render() -> tuple[bytes, str]:
    """Returns the exposition text and its content type."""
    return (
        prometheus_client.generate_latest(),
        prometheus_client.CONTENT_TYPE_LATEST,
    )
