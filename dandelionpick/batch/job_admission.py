"""Decides whether there is memory for a submitted job.

Any instance can write a job to the store. The scheduler gives each instance a
credit; their sum stays below what is left, and they are renewed with each reply
to a Monitor call. A job beyond the credit, or of an organisation that has used
up its share, is relayed to the scheduler, which knows all jobs.
"""

import dataclasses
import enum

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick.batch import admission
from dandelionpick.batch import inspection
from dandelionpick.batch import job_memory
from dandelionpick.batch import messages
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import succession

# Part of what is left that is given out as credit; the rest is for the
# scheduler, and for jobs that are being written under earlier credits.
CREDIT_SHARE = 0.25
# Largest part of the whole budget that one instance gets as credit. It also has
# as much when it starts, so that jobs are accepted before the first reply.
MAX_CREDIT_SHARE = 1 / 32
# An organisation with less than this part of its share left is listed as
# crowded.
CROWDED_SHARE = 0.5


class Decision(enum.Enum):
    """What to do with a submission; ASK means that the scheduler decides."""

    WRITE = "write"
    ASK = "ask"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A decision, with the refusal if it is one."""

    decision: Decision
    refusal: messages.Refused | None = None


def decide(
    state: state_lib.State,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
    size: int,
    now_s: float,
) -> Verdict:
    """Decides about a submission, and counts it if it is to be written.

    Args:
        state: the state of the instance.
        request: the submission.
        admitted: what the configuration says about it.
        size: bytes that the job takes.
        now_s: monotonic seconds.
    """
    assert admitted.job_id is not None
    if request.uncertain:
        # The same conditions settle an earlier write without a reply.
        return Verdict(Decision.WRITE)
    if inspection.is_ready_scheduler(state):
        assert state.schedule is not None
        return _decide_as_scheduler(state.schedule, admitted, size, now_s)
    credit = state.job_credit
    if credit.left is None or (
        size <= credit.left and admitted.organisation not in credit.crowded
    ):
        if credit.left is not None:
            credit.left -= size
        return Verdict(Decision.WRITE)
    return Verdict(Decision.ASK)


def _decide_as_scheduler(
    schedule: schedule_state.Schedule,
    admitted: admission.Admitted,
    size: int,
    now_s: float,
) -> Verdict:
    ledger = schedule.memory
    assert admitted.job_id is not None
    if admitted.job_id in ledger.held:
        # The write shows whether it is the same job.
        return Verdict(Decision.WRITE)
    if not ledger.can_ever_fit(size):
        refusal = admission.refuse(
            errors.ProblemKind.SHAPE_TOO_LARGE,
            "The job needs more memory than the scheduler has for one"
            " organisation.",
            "Split it into jobs with fewer tasks, steps or occurrences.",
        )
        return Verdict(Decision.REFUSE, refusal)
    missing = ledger.missing(admitted.organisation, size)
    if missing:
        refusal = admission.refuse(
            errors.ProblemKind.OVERLOADED,
            "Accepted jobs use up the scheduler's memory for this"
            " organisation.",
            "Send the job again after the stated time, or with fewer tasks.",
            ledger.retry_after_s(missing),
        )
        return Verdict(Decision.REFUSE, refusal)
    ledger.put(
        admitted.job_id,
        admitted.organisation,
        size,
        now_s,
        now_s + job_memory.RESERVED_S,
    )
    return Verdict(Decision.WRITE)


def initial_credit(limits: state_lib.Limits) -> int:
    """Returns the bytes that an instance may accept before it is told."""
    budget = job_memory.budget_bytes(limits.memory_mb)
    return int(budget * MAX_CREDIT_SHARE)


def credit_for_instances(state: state_lib.State, now_s: float) -> int | None:
    """Returns the credit of each instance, or None during a takeover."""
    if not inspection.is_ready_scheduler(state):
        return None
    assert state.schedule is not None
    ledger = state.schedule.memory
    instances = 1 + len(succession.live_candidates(state, now_s))
    left = max(0, ledger.budget - ledger.total)
    return int(
        min(
            CREDIT_SHARE * left / instances,
            MAX_CREDIT_SHARE * ledger.budget,
        )
    )


def crowded_organisations(
    state: state_lib.State,
) -> tuple[ids.OrganisationId, ...]:
    """Returns the organisations whose jobs the scheduler decides about."""
    if state.schedule is None:
        return ()
    ledger = state.schedule.memory
    crowded = []
    for organisation, own in ledger.used.items():
        others = ledger.total - own
        share = job_memory.ORGANISATION_SHARE * (ledger.budget - others)
        if own > CROWDED_SHARE * share:
            crowded.append(organisation)
    return tuple(crowded)
