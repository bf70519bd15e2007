"""Confines an unexpected error to the job or target that causes it.

A loop over jobs or targets that an exception leaves serves none of the items
after the one that caused it, and fails again at the next tick, under every
scheduler. Each item is therefore guarded by itself. A job that causes an error
is isolated: it is shown, can be cancelled, and its runs go on, but nothing of
it is started until it is tried again.
"""

import dataclasses
from types import TracebackType

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids

# An error that was due to a passing state is over by then.
RETRY_S = 30.0
MAX_CAUSE_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Isolated:
    """Why a job is isolated, and when it is tried again; inf if never."""

    cause: str
    until_s: float


@dataclasses.dataclass(slots=True)
class Isolation:
    """The jobs of which nothing is started because of an error.

    Attributes:
        jobs: isolated jobs, by id; some of them may have ended since.
    """

    jobs: dict[ids.JobId, Isolated] = dataclasses.field(default_factory=dict)

    def holds(self, job_id: ids.JobId, now_s: float) -> bool:
        """Returns whether nothing of a job may be started now."""
        isolated = self.jobs.get(job_id)
        return isolated is not None and now_s < isolated.until_s

    def guard_job(
        self, step: dispatch.Step, job_id: ids.JobId, part: str
    ) -> "JobGuard":
        """Returns a context manager that isolates a job if its body fails.

        Args:
            step: the current step.
            job_id: the job that the body is about.
            part: what the body does, for the log, as in "placing".
        """
        return JobGuard(step, part, job_id, self)

    def isolate(
        self,
        step: dispatch.Step,
        job_id: ids.JobId,
        cause: str,
        until_s: float = float("inf"),
    ) -> None:
        """Isolates a job, and logs that unless it is known."""
        cause = cause[:MAX_CAUSE_CHARACTERS]
        earlier = self.jobs.get(job_id)
        if earlier is not None:
            until_s = max(until_s, earlier.until_s)
        self.jobs[job_id] = Isolated(cause, until_s)
        if earlier is None or earlier.cause != cause:
            step.count("jobs_isolated_total")
            step.note(
                effects.Component.SCHEDULER,
                f"job isolated, nothing of it is started: {cause}",
                warning=True,
                job=job_id,
            )


@dataclasses.dataclass(slots=True)
class Guard:
    """Context manager that reports an exception instead of raising it.

    Attributes:
        part: what the body does.
        item: the job or target that the body is about.
        failed: whether the body has raised an exception.
    """

    step: dispatch.Step
    part: str
    item: str
    failed: bool = dataclasses.field(default=False, init=False)

    def __enter__(self) -> None:
        """Begins the guarded part."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Reports an exception; returns whether it is suppressed."""
        if not isinstance(error, Exception):
            return False
        self.failed = True
        self.step.contained.append(
            dispatch.ContainedFault(self.part, self.item, error)
        )
        return True


@dataclasses.dataclass(slots=True)
class JobGuard(Guard):
    """Context manager that also isolates the job."""

    isolation: Isolation

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Reports an exception; returns whether it is suppressed."""
        if isinstance(error, Exception):
            self.isolation.isolate(
                self.step,
                ids.JobId(self.item),
                f"{type(error).__name__}: {error} ({self.part})",
                self.step.moment.now_s + RETRY_S,
            )
        return Guard.__exit__(self, kind, error, trace)


def guard_target(
    step: dispatch.Step, target_id: ids.TargetId, part: str
) -> Guard:
    """Returns a context manager for a body that is about one target."""
    return Guard(step, part, target_id)
