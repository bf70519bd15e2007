"""Finds the answer for a key that any instance may have accepted.

A fetch queries this instance's memory, then the peers' memories, then every
executor by task label, then the claim. It is answered as soon as one of them
has the response. Otherwise the answer is `pending` or `unknown`; the problem
UNKNOWN_KEY is returned only if every query succeeded and none found the key.
"""

import dataclasses
from typing import Any

from dandelionpick import caller_messages
from dandelionpick import claim_answers
from dandelionpick import claim_state
from dandelionpick import claimed_requests
from dandelionpick import claims
from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import lookup_state
from dandelionpick import membership
from dandelionpick import outcomes
from dandelionpick import peer_messages
from dandelionpick import problems
from dandelionpick import runs
from dandelionpick import state as state_lib

QUERY_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 1.0
ROUND_PERIOD_S = 0.3
MAX_WAIT_S = 60.0

# Which of several answers is returned: the one with the highest number. A
# submission that was not run says nothing about the other submissions.
PRECEDENCE = {
    kinds.Outcome.NOT_RUN: 1,
    kinds.Outcome.UNKNOWN: 2,
    kinds.Outcome.PENDING: 3,
    kinds.Outcome.COMPLETED: 4,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerQueried:
    """Context of a query to a peer."""

    lookup: lookup_state.Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class TasksListed:
    """Context of a query for the tasks of the key on an executor."""

    lookup: lookup_state.Lookup
    entry: list_messages.InstanceEntry


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRead:
    """Context of the read of one task."""

    lookup: lookup_state.Lookup
    task_id: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRead:
    """Context of the read of the key's claim."""

    lookup: lookup_state.Lookup


@dispatch.on_message.register
def _(
    message: caller_messages.FetchAnswer,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    start_lookup(state, step, message, exchange_id, message.wait_s)


@dispatch.on_message.register
def _(
    message: peer_messages.FetchPeerAnswer,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    local = outcomes.local_answer(state, message.organisation, message.key)
    if local is None:
        problem = problems.unknown_key()
        local = outcomes.unknown_answer(
            message.organisation, message.key, problem
        )
    step.respond(exchange_id, local)


def start_lookup(
    state: state_lib.State,
    step: dispatch.Step,
    message: caller_messages.FetchAnswer | caller_messages.CancelRequest,
    exchange_id: ids.ExchangeId,
    wait_s: float,
) -> None:
    """Starts a lookup that answers the exchange."""
    now_s = step.moment.now_s
    lookup = lookup_state.Lookup(
        message.organisation,
        message.key,
        exchange_id,
        now_s + min(max(wait_s, 0.0), MAX_WAIT_S),
        step.trace,
    )
    state.lookups.active[exchange_id] = lookup
    query_peers(state, step, lookup)


def query_peers(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Starts a round with this instance's memory and the peers."""
    lookup.stage = lookup_state.Stage.PEERS
    lookup.incomplete = False
    lookup.best_answer = None
    local = outcomes.local_answer(state, lookup.organisation, lookup.key)
    if local is not None:
        keep_best(lookup, local)
        if local.outcome in (kinds.Outcome.COMPLETED, kinds.Outcome.PENDING):
            finish_round(state, step, lookup)
            return
    message = peer_messages.FetchPeerAnswer(
        organisation=lookup.organisation, key=lookup.key
    )
    lookup.pending_calls = 1
    for peer in state.members.peers.values():
        destination = membership.peer_destination(peer.entry)
        context = PeerQueried(lookup)
        query(state, step, lookup, destination, message, context)
    finish_call(state, step, lookup)


def query(
    state: state_lib.State,
    step: dispatch.Step,
    lookup: lookup_state.Lookup,
    destination: effects.Destination,
    message: Any,
    context: PeerQueried | TasksListed | TaskRead,
) -> None:
    """Sends one query of the current stage."""
    lookup.pending_calls += 1
    step.trace = lookup.trace
    dispatch.call(state, step, destination, message, context, QUERY_TIMEOUT_S)


def keep_best(
    lookup: lookup_state.Lookup, answer: caller_messages.Answer
) -> None:
    """Keeps an answer if it takes precedence over the best so far."""
    best = lookup.best_answer
    precedence = PRECEDENCE[answer.outcome]
    if best is None or precedence > PRECEDENCE[best.outcome]:
        lookup.best_answer = answer


def finish_call(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Starts the next stage when the last query of a stage has ended."""
    lookup.pending_calls -= 1
    found = lookup.best_answer
    if found is not None and found.outcome is kinds.Outcome.COMPLETED:
        finish_round(state, step, lookup)
    elif lookup.pending_calls > 0:
        return
    elif lookup.stage is lookup_state.Stage.PEERS:
        query_executors(state, step, lookup)
    elif ids.key_timestamp_ms(lookup.key) is None:
        finish_round(state, step, lookup)
    else:
        read_claim(state, step, lookup)


def query_executors(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Queries every executor for tasks with the key's label."""
    lookup.stage = lookup_state.Stage.EXECUTORS
    lookup.pending_calls = 1
    message = executor_messages.ListTasks(lookup.organisation, lookup.key)
    for entry in state.members.entries.values():
        if entry.role is kinds.Role.EXECUTOR:
            destination = runs.destination_of(entry)
            context = TasksListed(lookup, entry)
            query(state, step, lookup, destination, message, context)
    finish_call(state, step, lookup)


def read_claim(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Reads the claim of a key that may be non-idempotent work."""
    lookup.stage = lookup_state.Stage.CLAIM
    step.trace = lookup.trace
    name = (lookup.organisation, lookup.key)
    context = ClaimRead(lookup)
    claims.read(state, step, name, context, timeout_s=CLAIM_TIMEOUT_S)


def awaits_stage(
    state: state_lib.State,
    lookup: lookup_state.Lookup,
    stage: lookup_state.Stage,
) -> bool:
    """Returns whether a lookup still waits for replies of a stage."""
    active = lookup.exchange_id in state.lookups.active
    return active and lookup.stage is stage


@dispatch.on_reply.register
def _(
    context: PeerQueried,
    state: state_lib.State,
    step: dispatch.Step,
    reply: caller_messages.Answer | peer_messages.Refused,
) -> None:
    lookup = context.lookup
    if not awaits_stage(state, lookup, lookup_state.Stage.PEERS):
        return
    if isinstance(reply, peer_messages.Refused):
        lookup.incomplete = True
    elif (
        reply.problem is None
        or reply.problem.kind is not errors.ProblemKind.UNKNOWN_KEY
    ):
        keep_best(lookup, reply)
    finish_call(state, step, lookup)


@dispatch.on_reply.register
def _(
    context: TasksListed,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskList,
) -> None:
    lookup = context.lookup
    if not awaits_stage(state, lookup, lookup_state.Stage.EXECUTORS):
        return
    for task_id in reply.task_ids:
        message = executor_messages.QueryTask(task_id)
        destination = runs.destination_of(context.entry)
        read = TaskRead(lookup, task_id)
        query(state, step, lookup, destination, message, read)
    finish_call(state, step, lookup)


@dispatch.on_reply.register
def _(
    context: TaskRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    lookup = context.lookup
    if not awaits_stage(state, lookup, lookup_state.Stage.EXECUTORS):
        return
    organisation, key = lookup.organisation, lookup.key
    if isinstance(reply, executor_messages.TaskResult):
        if executor_messages.is_intact(reply, context.task_id):
            keep_best(
                lookup, outcomes.completed_answer(organisation, key, reply)
            )
        else:
            lookup.incomplete = True
    elif isinstance(reply, executor_messages.TaskRunning):
        pending = caller_messages.Answer(
            organisation=organisation, key=key, outcome=kinds.Outcome.PENDING
        )
        keep_best(lookup, pending)
    elif not isinstance(reply, executor_messages.TaskTombstoned):
        lookup.incomplete = True
    finish_call(state, step, lookup)


@dispatch.on_failure.register(PeerQueried)
@dispatch.on_failure.register(TasksListed)
@dispatch.on_failure.register(TaskRead)
def _(
    context: PeerQueried | TasksListed | TaskRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    lookup = context.lookup
    queried_peer = isinstance(context, PeerQueried)
    stages = lookup_state.Stage
    stage = stages.PEERS if queried_peer else stages.EXECUTORS
    if awaits_stage(state, lookup, stage):
        lookup.incomplete = True
        finish_call(state, step, lookup)


@claims.handle_result.register
def _(
    context: ClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: claims.ClaimResult,
) -> None:
    lookup = context.lookup
    if not awaits_stage(state, lookup, lookup_state.Stage.CLAIM):
        return
    record = result.record
    organisation, key = lookup.organisation, lookup.key
    if result.status is claims.ClaimStatus.UNAVAILABLE:
        lookup.incomplete = True
    elif record is None:
        if claimed_requests.is_expired(key, step.moment.unix_ms):
            problem = problems.key_expired()
            keep_best(
                lookup, outcomes.unknown_answer(organisation, key, problem)
            )
    elif record.state is not claim_state.ClaimState.NOT_RUN:
        keep_best(lookup, claim_answers.uncancelled_answer(record))
    elif claim_answers.is_exclusive(record):
        lookup.best_answer = claim_answers.cancelled_answer(record)
        lookup.incomplete = False
    else:
        keep_best(lookup, claim_answers.cancelled_answer(record))
    finish_round(state, step, lookup)


def finish_round(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Answers the exchange, or waits for the next round."""
    answer = round_answer(lookup)
    undecided = answer.outcome in (
        kinds.Outcome.PENDING,
        kinds.Outcome.UNKNOWN,
    ) and not is_proved_absent(answer)
    now_s = step.moment.now_s
    if undecided and now_s < lookup.wait_until_s:
        lookup.stage = lookup_state.Stage.WAITING
        lookup.next_round_s = now_s + ROUND_PERIOD_S
        return
    del state.lookups.active[lookup.exchange_id]
    step.respond(lookup.exchange_id, answer)


def is_proved_absent(answer: caller_messages.Answer) -> bool:
    """Returns whether every query succeeded without finding the key."""
    problem = answer.problem
    return problem is not None and problem.kind in (
        errors.ProblemKind.UNKNOWN_KEY,
        errors.ProblemKind.KEY_EXPIRED,
    )


def round_answer(lookup: lookup_state.Lookup) -> caller_messages.Answer:
    """Returns the answer that results from a round."""
    found = lookup.best_answer
    organisation, key = lookup.organisation, lookup.key
    if found is None:
        problem = (
            problems.lookup_incomplete()
            if lookup.incomplete
            else problems.unknown_key()
        )
        return outcomes.unknown_answer(organisation, key, problem)
    if found.outcome is kinds.Outcome.NOT_RUN and lookup.incomplete:
        return outcomes.unknown_answer(
            organisation, key, problems.lookup_incomplete()
        )
    return found


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts the next round of waiting lookups."""
    for lookup in list(state.lookups.active.values()):
        if lookup.stage is not lookup_state.Stage.WAITING:
            continue
        local = outcomes.local_answer(state, lookup.organisation, lookup.key)
        done = local is not None and local.outcome is kinds.Outcome.COMPLETED
        if done or step.moment.now_s >= lookup.next_round_s:
            query_peers(state, step, lookup)
