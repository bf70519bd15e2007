"""Finds the answer of a key that any instance may have taken.

A fetch asks its own memory, then the peers' memories, then every executor by
label, then the claim. It is answered as soon as one of them has the response.
Otherwise the answer is `pending` or `unknown`; UNKNOWN_KEY is told only if
every place was asked and none knows the key.
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

ASK_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 1.0
ROUND_PERIOD_S = 0.3
MAX_WAIT_S = 60.0

# Which of several findings is told: a higher one outweighs the others. A
# submission that was not run says nothing about the other submissions.
WEIGHTS = {
    kinds.Outcome.NOT_RUN: 1,
    kinds.Outcome.UNKNOWN: 2,
    kinds.Outcome.PENDING: 3,
    kinds.Outcome.COMPLETED: 4,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsked:
    """Context of a question to a peer."""

    lookup: lookup_state.Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class TasksListed:
    """Context of a question which tasks of the key an executor has."""

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


@dispatch.receive.register
def _(
    message: caller_messages.FetchAnswer,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    begin(state, step, message, exchange_id, message.wait_s)


@dispatch.receive.register
def _(
    message: peer_messages.FetchPeerAnswer,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    own = outcomes.own_answer(state, message.organisation, message.key)
    if own is None:
        problem = problems.unknown_key()
        own = outcomes.unknown(message.organisation, message.key, problem)
    step.respond(exchange_id, own)


def begin(
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
    ask_peers(state, step, lookup)


def ask_peers(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Begins a round with this instance's memory and the peers'."""
    lookup.stage = lookup_state.Stage.PEERS
    lookup.gap = False
    lookup.found = None
    own = outcomes.own_answer(state, lookup.organisation, lookup.key)
    if own is not None:
        find(lookup, own)
        if own.outcome in (kinds.Outcome.COMPLETED, kinds.Outcome.PENDING):
            conclude(state, step, lookup)
            return
    message = peer_messages.FetchPeerAnswer(
        organisation=lookup.organisation, key=lookup.key
    )
    lookup.calls = 1
    for peer in state.members.peers.values():
        destination = membership.peer_destination(peer.entry)
        context = PeerAsked(lookup)
        ask(state, step, lookup, destination, message, context)
    end_call(state, step, lookup)


def ask(
    state: state_lib.State,
    step: dispatch.Step,
    lookup: lookup_state.Lookup,
    destination: effects.Destination,
    message: Any,
    context: PeerAsked | TasksListed | TaskRead,
) -> None:
    """Sends one question of the current stage."""
    lookup.calls += 1
    step.trace = lookup.trace
    dispatch.call(state, step, destination, message, context, ASK_TIMEOUT_S)


def find(lookup: lookup_state.Lookup, answer: caller_messages.Answer) -> None:
    """Keeps an answer if it outweighs what was found before."""
    best = lookup.found
    weight = WEIGHTS[answer.outcome]
    if best is None or weight > WEIGHTS[best.outcome]:
        lookup.found = answer


def end_call(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Goes on to the next stage when the last question is answered."""
    lookup.calls -= 1
    found = lookup.found
    if found is not None and found.outcome is kinds.Outcome.COMPLETED:
        conclude(state, step, lookup)
    elif lookup.calls > 0:
        return
    elif lookup.stage is lookup_state.Stage.PEERS:
        ask_executors(state, step, lookup)
    elif ids.key_time_ms(lookup.key) is None:
        conclude(state, step, lookup)
    else:
        read_claim(state, step, lookup)


def ask_executors(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Asks every executor for tasks with the key's label."""
    lookup.stage = lookup_state.Stage.EXECUTORS
    lookup.calls = 1
    message = executor_messages.ListTasks(lookup.organisation, lookup.key)
    for entry in state.members.entries.values():
        if entry.role is kinds.Role.EXECUTOR:
            destination = runs.destination_of(entry)
            context = TasksListed(lookup, entry)
            ask(state, step, lookup, destination, message, context)
    end_call(state, step, lookup)


def read_claim(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Reads the claim of a key that may name non-idempotent work."""
    lookup.stage = lookup_state.Stage.CLAIM
    step.trace = lookup.trace
    name = (lookup.organisation, lookup.key)
    context = ClaimRead(lookup)
    claims.read(state, step, name, context, timeout_s=CLAIM_TIMEOUT_S)


def is_in(
    state: state_lib.State,
    lookup: lookup_state.Lookup,
    stage: lookup_state.Stage,
) -> bool:
    """Returns whether a lookup still waits for replies of a stage."""
    active = lookup.exchange_id in state.lookups.active
    return active and lookup.stage is stage


@dispatch.returned.register
def _(
    context: PeerAsked,
    state: state_lib.State,
    step: dispatch.Step,
    reply: caller_messages.Answer | peer_messages.Refused,
) -> None:
    lookup = context.lookup
    if not is_in(state, lookup, lookup_state.Stage.PEERS):
        return
    if isinstance(reply, peer_messages.Refused):
        lookup.gap = True
    elif (
        reply.problem is None
        or reply.problem.kind is not errors.ProblemKind.UNKNOWN_KEY
    ):
        find(lookup, reply)
    end_call(state, step, lookup)


@dispatch.returned.register
def _(
    context: TasksListed,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskList,
) -> None:
    lookup = context.lookup
    if not is_in(state, lookup, lookup_state.Stage.EXECUTORS):
        return
    for task_id in reply.task_ids:
        message = executor_messages.QueryTask(task_id)
        destination = runs.destination_of(context.entry)
        read = TaskRead(lookup, task_id)
        ask(state, step, lookup, destination, message, read)
    end_call(state, step, lookup)


@dispatch.returned.register
def _(
    context: TaskRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    lookup = context.lookup
    if not is_in(state, lookup, lookup_state.Stage.EXECUTORS):
        return
    organisation, key = lookup.organisation, lookup.key
    if isinstance(reply, executor_messages.TaskResult):
        if executor_messages.is_whole(reply, context.task_id):
            find(lookup, outcomes.answer_of(organisation, key, reply))
        else:
            lookup.gap = True
    elif isinstance(reply, executor_messages.TaskRunning):
        pending = caller_messages.Answer(
            organisation=organisation, key=key, outcome=kinds.Outcome.PENDING
        )
        find(lookup, pending)
    elif not isinstance(reply, executor_messages.TaskTombstoned):
        lookup.gap = True
    end_call(state, step, lookup)


@dispatch.failed.register(PeerAsked)
@dispatch.failed.register(TasksListed)
@dispatch.failed.register(TaskRead)
def _(
    context: PeerAsked | TasksListed | TaskRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    lookup = context.lookup
    asked_peer = isinstance(context, PeerAsked)
    stages = lookup_state.Stage
    stage = stages.PEERS if asked_peer else stages.EXECUTORS
    if is_in(state, lookup, stage):
        lookup.gap = True
        end_call(state, step, lookup)


@claims.decided.register
def _(
    context: ClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    verdict: claims.Verdict,
) -> None:
    lookup = context.lookup
    if not is_in(state, lookup, lookup_state.Stage.CLAIM):
        return
    record = verdict.record
    organisation, key = lookup.organisation, lookup.key
    if verdict.status is claims.ClaimStatus.UNAVAILABLE:
        lookup.gap = True
    elif record is None:
        if claimed_requests.is_expired(key, step.moment.unix_ms):
            problem = problems.key_expired()
            find(lookup, outcomes.unknown(organisation, key, problem))
    elif record.state is not claim_state.ClaimState.NOT_RUN:
        find(lookup, claim_answers.known_answer(record))
    elif claim_answers.is_exclusive(record):
        lookup.found = claim_answers.cancelled_answer(record)
        lookup.gap = False
    else:
        find(lookup, claim_answers.cancelled_answer(record))
    conclude(state, step, lookup)


def conclude(
    state: state_lib.State, step: dispatch.Step, lookup: lookup_state.Lookup
) -> None:
    """Answers the fetch, or waits for the next round."""
    answer = verdict_of(lookup)
    undecided = answer.outcome in (
        kinds.Outcome.PENDING,
        kinds.Outcome.UNKNOWN,
    ) and not is_nowhere(answer)
    now_s = step.moment.now_s
    if undecided and now_s < lookup.until_s:
        lookup.stage = lookup_state.Stage.WAITING
        lookup.retry_s = now_s + ROUND_PERIOD_S
        return
    del state.lookups.active[lookup.exchange_id]
    step.respond(lookup.exchange_id, answer)


def is_nowhere(answer: caller_messages.Answer) -> bool:
    """Returns whether every place was asked in vain."""
    problem = answer.problem
    return problem is not None and problem.kind in (
        errors.ProblemKind.UNKNOWN_KEY,
        errors.ProblemKind.KEY_EXPIRED,
    )


def verdict_of(lookup: lookup_state.Lookup) -> caller_messages.Answer:
    """Returns what is known at the end of a round."""
    found = lookup.found
    organisation, key = lookup.organisation, lookup.key
    if found is None:
        problem = (
            problems.not_all_asked() if lookup.gap else problems.unknown_key()
        )
        return outcomes.unknown(organisation, key, problem)
    if found.outcome is kinds.Outcome.NOT_RUN and lookup.gap:
        return outcomes.unknown(organisation, key, problems.not_all_asked())
    return found


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts the next round of lookups that wait."""
    for lookup in list(state.lookups.active.values()):
        if lookup.stage is not lookup_state.Stage.WAITING:
            continue
        own = outcomes.own_answer(state, lookup.organisation, lookup.key)
        done = own is not None and own.outcome is kinds.Outcome.COMPLETED
        if done or step.moment.now_s >= lookup.retry_s:
            ask_peers(state, step, lookup)
