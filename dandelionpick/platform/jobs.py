"""Decodes and validates submitted jobs."""

from typing import Annotated

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick.batch import job_limits
from dandelionpick.batch import model

MAX_SPEC_BYTES = 4_000
MAX_TASKS = job_limits.MAX_TASKS

# A decoder names the field and the bound in its error.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_TASKS)]
Index = Annotated[int, msgspec.Meta(ge=0)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=job_limits.MAX_UNIX_MS)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=job_limits.MAX_DURATION_MS)]
EstimateMs = Annotated[float, msgspec.Meta(ge=0, le=job_limits.MAX_DURATION_MS)]
CpuMillis = Annotated[int, msgspec.Meta(ge=0, le=job_limits.MAX_CPU_MILLIS)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=job_limits.MAX_MEMORY_MB)]
Accelerators = Annotated[
    int, msgspec.Meta(ge=0, le=job_limits.MAX_ACCELERATORS)
]


class Phase(msgspec.Struct):
    """A step of a job: a number of identical tasks.

    Attributes:
        count: number of tasks.
        cpu: thousandths of a core for each task.
        gpu: accelerators for each task.
        after: indices of earlier phases that must finish first.
        affinity: rack that holds the tasks' data.
        anti_affinity: maximum number of the step's tasks on one target.
        requirements: label that the target must have.
        long_running: the tasks run until the job is cancelled.
        fills: the step's `cpu` is not counted against the capacity.
        missable: maximum number of serving tasks that may be down at the same
            time.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cpu: CpuMillis = 0
    mem_mb: MemoryMb = 0
    gpu: Accelerators = 0
    estimate_ms: EstimateMs = 0
    after: tuple[Index, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    affinity: str = ""
    anti_affinity: Count = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: DurationMs = 0
    fills: bool = False
    missable: Count = 0


class Submission(msgspec.Struct):
    """A submitted job."""

    phases: tuple[Phase, ...]
    spec: str = ""
    repeat_count: Count = 0
    start_at_ms: UnixMs = 0
    interval_ms: UnixMs = 0


_decoder = msgspec.json.Decoder(Submission)


def decode(body: bytes) -> Result[model.JobSpec, str]:
    """Returns the job, or a message that says why the body is invalid."""
    try:
        job = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))
    problem = _find_problem(job)
    if problem:
        return Failure(problem)
    return Success(
        model.JobSpec(
            payload=job.spec,
            steps=tuple(map(_to_step, job.phases)),
            occurrences=job.repeat_count,
            first_due_ms=job.start_at_ms,
            interval_ms=job.interval_ms,
        )
    )


def _find_problem(job: Submission) -> str:
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    if not job.phases:
        return "phases is empty"
    last_ms = job_limits.last_due_ms(
        job.start_at_ms, job.interval_ms, job.repeat_count
    )
    if last_ms > job_limits.MAX_UNIX_MS:
        return (
            "start_at_ms and interval_ms put the last of repeat_count"
            f" occurrences after {job_limits.MAX_UNIX_MS} ms"
        )
    occurrences = max(1, job.repeat_count)
    if occurrences * sum(phase.count for phase in job.phases) > MAX_TASKS:
        return f"the job has more than {MAX_TASKS} tasks"
    problems = map(_find_phase_problem, range(len(job.phases)), job.phases)
    return next(filter(None, problems), "")


def _find_phase_problem(number: int, phase: Phase) -> str:
    if phase.gang and phase.count > job_limits.MAX_GANG_TASKS:
        return (
            f"phase {number} is a gang with a count above"
            f" {job_limits.MAX_GANG_TASKS}"
        )
    if any(earlier >= number for earlier in phase.after):
        return f"phase {number} depends on a phase that is not earlier"
    return ""


def _to_step(phase: Phase) -> model.StepSpec:
    return model.StepSpec(
        tasks=phase.count,
        needs=model.Resources(phase.cpu, phase.mem_mb, phase.gpu),
        estimate_ms=int(phase.estimate_ms),
        after=tuple(dict.fromkeys(phase.after)),
        checkpoints=phase.checkpointing,
        gang=phase.gang,
        one_rack=phase.same_rack,
        data_rack=phase.affinity,
        required_label=phase.requirements,
        max_per_target=phase.anti_affinity,
        duplicates_allowed=phase.allow_duplicates,
        until_cancelled=phase.long_running,
        image=phase.image,
        tail_target_ms=phase.target_ms,
        filler=phase.fills,
        tolerated_absent=phase.missable,
    )
