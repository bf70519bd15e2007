"""Mutants that disable safety mechanisms, with the tests that should fail.

A patch replaces attributes of loaded modules, or handlers, in a process that
is started for it. `tests.mutants` runs the tests.
"""

import dataclasses

import msgspec

from dandelionpick import adoption
from dandelionpick import claimed_requests
from dandelionpick import claims
from dandelionpick import configuration
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import executor_messages
from dandelionpick import gangs
from dandelionpick import guarantee_fit
from dandelionpick import kinds
from dandelionpick import outcomes
from dandelionpick import placement
from dandelionpick import progress
from dandelionpick import proposals
from dandelionpick import routing
from dandelionpick import runs
from dandelionpick import schedule
from dandelionpick import stalls
from dandelionpick import store_messages
from tests import inbound_mutants
from tests import mutant

# Fast and specific modules come first, because a run ends at the first failing
# test.
REQUESTS = (
    "tests.test_claims",
    "tests.test_requests",
    "tests.test_outcomes",
    "tests.test_lookup",
    "tests.test_request_fuzz",
)
ROUTING = ("tests.test_routing", "tests.test_requests")
EDITS = (
    "tests.test_edits",
    "tests.test_distribution",
    "tests.test_configuration_fuzz",
)
GANGS = ("tests.test_gangs", "tests.test_gang_faults", "tests.test_gang_fuzz")
PLACEMENT = ("tests.test_placement", "tests.test_plan", *GANGS)


def no_op(*arguments, **options) -> None:
    """Replaces a function that returns nothing."""


def dispatch_unclaimed() -> None:
    """Sends the start together with the claim and ignores its result."""
    claim = claims.claim

    def claim_and_start(state, step, record, context, **options):
        claim(state, step, record, context, **options)
        if isinstance(context, claimed_requests.ClaimWritten):
            claimed_requests._start_claimed(
                state, step, context.request, context.entry, record
            )

    claims.claim = claim_and_start
    claims.handle_result.register(claimed_requests.ClaimWritten, no_op)


def confirm_lost_write() -> None:
    """Handles a lost reply to a bucket's write like a confirmation."""
    failed = dispatch.on_failure.dispatch(claims.BucketWritten)
    returned = dispatch.on_reply.dispatch(claims.BucketWritten)

    def assume_written(context, state, step, failure):
        if failure is not kinds.CallFailure.LOST:
            failed(context, state, step, failure)
            return
        version = state.claims.buckets[context.key].version + 1
        returned(
            context, state, step, store_messages.Written(context.key, version)
        )

    dispatch.on_failure.register(claims.BucketWritten, assume_written)


def trust_exclusive_refusal() -> None:
    """Takes any refusal of a non-idempotent start as proof of no run."""
    refuse = progress.handle_refusal

    def refuse_finally(state, step, request, run):
        if request.job_class.idempotent or request.answer is not None:
            refuse(state, step, request, run)
        else:
            progress.close_run(state, step, request, run, runs.NOT_RUN)

    progress.handle_refusal = refuse_finally


def settle_untold() -> None:
    """Treats refused idempotent starts as not run at the deadline."""

    def settle(state, step, request):
        for run in list(request.runs):
            if run.state is runs.REFUSED:
                run.state = runs.NOT_RUN
                request.runs.remove(run)

    progress.tombstone_refused_runs = settle


def trust_other_incarnation() -> None:
    """Evaluates replies as if the run's own incarnation had sent them."""
    judge = runs.classify_reply

    def judge_any(run, reply, unix_ms):
        same = msgspec.structs.replace(reply, incarnation=run.incarnation)
        return judge(run, same, unix_ms)

    runs.classify_reply = judge_any


def accept_damaged() -> None:
    """Checks neither the length nor the digest of a result."""
    executor_messages.is_intact = lambda result, task_id: True


def tell_retries_not_run() -> None:
    """Answers retries with what is proved only for the first submission."""
    outcomes.answer_for_attempt = lambda request, answer, attempt: answer


def adopt_lower_from_peer() -> None:
    """Adopts any document that another instance sends."""

    def adopt(state, step, text, source):
        document = adoption.decode_document(text)
        if document is not None and text != state.configuration.text:
            adoption._check_and_adopt(state, step, document, text, source)

    adoption.adopt = adopt


def adopt_lower_from_store() -> None:
    """Adopts valid documents of the store with any revision."""
    take_from_store = adoption.adopt_from_store

    def take(state, step, text):
        document = adoption.decode_document(text)
        held = state.configuration.document.revision
        if document is None or document.revision >= held:
            return take_from_store(state, step, text)
        adoption._check_and_adopt(
            state, step, document, text, adoption.STORE_SOURCE
        )
        return document.revision

    adoption.adopt_from_store = take


def leave_store_restored() -> None:
    """Doesn't write the newer document to a restored store."""
    configuration.repair_stale_store = no_op


def forget_edits() -> None:
    """Never finds an edit in the document after a lost reply."""
    proposals.find_edit = lambda document, message: None


def accept_unfit_guarantees() -> None:
    """Accepts guarantees that don't fit on the workers."""
    guarantee_fit.check_guarantees = lambda before, after, entries: None


def confirm_early() -> None:
    """Confirms the started parts while others are only held."""
    start = gangs.start

    def start_and_confirm(state, step, gang):
        start(state, step, gang)
        gangs.confirm(state, step, gang)

    gangs.start = start_and_confirm


def start_unplaced() -> None:
    """Starts non-idempotent gangs without a placement in the store."""
    gangs._ensure_placed = lambda state, step, gang, record: True


def trust_old_parts() -> None:
    """Drives gangs with the state known before a stall or a long silence."""
    gangs.is_up_to_date = lambda state, step, gang: True


def keep_claims_after_stall() -> None:
    """Writes buckets with the content known before a stall."""
    claims.mark_buckets_stale = no_op


def keep_workers_after_stall() -> None:
    """Schedules with worker reports from before a stall."""
    schedule.stalled = no_op


def keep_peers_after_stall() -> None:
    """Uses the state of peers and of the list from before a stall."""
    stalls.stalled = no_op


def exit_with_requests() -> None:
    """Exits while requests are in progress."""
    drain.unanswered_requests = lambda state: []


def exit_without_hand_over() -> None:
    """Exits before pending claims are written and work is handed over."""
    drain.hand_over_all = lambda state, step: True


def use_leaving() -> None:
    """Sends work to executors that announced that they are leaving."""

    def is_available(state, entry):
        health = state.routing.health.get(entry.id)
        return health is None or health.unanswered < routing.MAX_UNANSWERED

    routing.is_available = is_available


def stop_any_gang() -> None:
    """Stops gangs that can't run again in favour of a guaranteed shape."""
    is_victim = placement._is_victim

    def is_any_victim(site, gang, shape):
        rerunnable = site.rerunnable | {gang.gang_id}
        every = dataclasses.replace(site, rerunnable=rerunnable)
        return is_victim(every, gang, shape)

    placement._is_victim = is_any_victim


def reclaim_nothing() -> None:
    """Never reclaims a guaranteed shape."""
    placement._claim_shape = lambda site, record, kept, claimed: None


def borrow_for_any_job() -> None:
    """Lets jobs that can't be stopped borrow other organisations' shapes."""
    pools = placement.candidate_pools

    def pools_of_any(site, record):
        return pools(site, msgspec.structs.replace(record, idempotent=True))

    placement.candidate_pools = pools_of_any


MUTANTS = (
    mutant.Mutant(
        "nothing is dispatched before its claim is confirmed",
        dispatch_unclaimed,
        REQUESTS,
    ),
    mutant.Mutant(
        "a lost reply of the store is resolved by reading the bucket",
        confirm_lost_write,
        REQUESTS,
    ),
    mutant.Mutant(
        "a refused non-idempotent start gets a tombstone",
        trust_exclusive_refusal,
        REQUESTS,
    ),
    mutant.Mutant(
        "refused starts get tombstones before not_run is reported",
        settle_untold,
        REQUESTS,
    ),
    mutant.Mutant(
        "another incarnation's reply proves nothing about a run",
        trust_other_incarnation,
        REQUESTS,
    ),
    mutant.Mutant(
        "a damaged reply is treated as a lost one",
        accept_damaged,
        REQUESTS,
    ),
    mutant.Mutant(
        "a retry is answered not_run only if the key is proved not run",
        tell_retries_not_run,
        REQUESTS,
    ),
    mutant.Mutant(
        "a lower revision is not adopted from a peer",
        adopt_lower_from_peer,
        EDITS,
    ),
    mutant.Mutant(
        "a lower revision is not adopted from the store",
        adopt_lower_from_store,
        EDITS,
    ),
    mutant.Mutant(
        "a store that was restored from an older copy is repaired",
        leave_store_restored,
        EDITS,
    ),
    mutant.Mutant(
        "the edit id is looked up after a lost reply",
        forget_edits,
        EDITS,
    ),
    mutant.Mutant(
        "guarantees that do not fit are refused",
        accept_unfit_guarantees,
        EDITS,
    ),
    mutant.Mutant(
        "no part is confirmed before every start is acknowledged",
        confirm_early,
        GANGS,
    ),
    mutant.Mutant(
        "the placement of a non-idempotent job is written before its start",
        start_unplaced,
        GANGS,
    ),
    mutant.Mutant(
        "gangs are driven only with a recent state of their parts",
        trust_old_parts,
        GANGS,
    ),
    mutant.Mutant(
        "claim buckets are read again after a stall",
        keep_claims_after_stall,
        REQUESTS,
    ),
    mutant.Mutant(
        "workers are listed again after a stall",
        keep_workers_after_stall,
        GANGS,
    ),
    mutant.Mutant(
        "peers and the list are polled again after a stall",
        keep_peers_after_stall,
        ("tests.test_membership", *ROUTING),
    ),
    mutant.Mutant(
        "a planned stop waits for requests in progress",
        exit_with_requests,
        ("tests.test_drain",),
    ),
    mutant.Mutant(
        "a planned stop waits until work is handed over",
        exit_without_hand_over,
        ("tests.test_drain", "tests.test_claims", "tests.test_edits"),
    ),
    mutant.Mutant(
        "an executor that is leaving gets no new work",
        use_leaving,
        ROUTING,
    ),
    mutant.Mutant(
        "only gangs that can run again are stopped for a guarantee",
        stop_any_gang,
        PLACEMENT,
    ),
    mutant.Mutant(
        "guaranteed shapes are reclaimed when their organisation needs them",
        reclaim_nothing,
        PLACEMENT,
    ),
    mutant.Mutant(
        "jobs that can't be stopped don't use other organisations' shapes",
        borrow_for_any_job,
        PLACEMENT,
    ),
    *inbound_mutants.MUTANTS,
)
