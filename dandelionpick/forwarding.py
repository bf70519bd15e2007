"""Forwards requests once to an instance of another failure domain."""

import dataclasses
import itertools
from typing import Any

import msgspec

from dandelionpick import admission
from dandelionpick import caller_messages
from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import forward_choice
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import lanes
from dandelionpick import membership
from dandelionpick import outcomes
from dandelionpick import peer_messages
from dandelionpick import problems
from dandelionpick import progress
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import requests
from dandelionpick import retries
from dandelionpick import routing
from dandelionpick import state as state_lib

FORWARD_WAIT_OTHER_REGION_S = 1.0
# Bounds the work of a tick with a long queue and no executor.
MAX_PER_TICK = 100
# Base64 in JSON takes 4/3 of the body; the rest is headers and fields.
BODY_FACTOR = 4 / 3
OVERHEAD_BYTES = 1024
RUNS_BEFORE_TIMEOUT = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Context of a forwarded request.

    Attributes:
        foreign: whether another instance may have run it before.
    """

    name: request_state.RequestName
    peer: ids.InstanceId
    foreign: bool
    other_region: bool


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Forwards what waits too long, or everything without an executor."""
    offers, state.routing.offers = state.routing.offers, []
    if state.routing.hold:
        return
    if not routing.executors_in_use(state):
        names = itertools.islice(state.routing.queue.items, MAX_PER_TICK)
        for name in list(names):
            _forward_to_any(state, step, name)
        return
    for name in offers:
        _forward_if_sooner(state, step, name)


def _waiting(
    state: state_lib.State, name: request_state.RequestName
) -> request_state.Request | None:
    """Returns a queued request that may be forwarded.

    A non-idempotent one that was sent before may have run and stays here.
    """
    request = state.requests.by_name.get(name)
    if request is None or request.answer is not None:
        return None
    if request.may_have_run() and not request.job_class.idempotent:
        return None
    return request if name in state.routing.queue else None


def _forward_to_any(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
) -> None:
    request = _waiting(state, name)
    if request is None:
        return
    draw = retries.derive(step.moment.draw, *name)
    peer = forward_choice.choose(
        state, request, step.moment.now_s, draw, free_only=False
    )
    if peer is not None:
        send(state, step, name, request, peer)


def _forward_if_sooner(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
) -> None:
    """Forwards a request if a peer has a free slot and the wait is long."""
    request = _waiting(state, name)
    if request is None:
        return
    now_s = step.moment.now_s
    item = state.routing.queue.items[name]
    wait_s = admission.expected_wait_s(state, item, now_s)
    draw = retries.derive(step.moment.draw, *name)
    peer = forward_choice.choose(state, request, now_s, draw, free_only=True)
    if peer is None or wait_s < admission.FORWARD_WAIT_S:
        return
    near = forward_choice.is_same_region(state, peer)
    if near or wait_s >= FORWARD_WAIT_OTHER_REGION_S:
        send(state, step, name, request, peer)


def send(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    request: request_state.Request,
    peer: state_lib.Peer,
) -> None:
    """Forwards a queued request with its remaining time."""
    now_s = step.moment.now_s
    left_s = request.deadline_s - now_s
    if left_s <= 0:
        return
    other_region = not forward_choice.is_same_region(state, peer)
    if other_region:
        size = _size_of(request.submission.body)
        if not forward_choice.region_bytes(state, now_s).spend(
            size, now_s, debt=True
        ):
            return
    lanes.withdraw(state, name)
    context = Forwarded(name, peer.entry.id, request.foreign, other_region)
    request.phase = request_state.Phase.RUNNING
    request.foreign = True
    request.target = peer.entry.id
    state.routing.forwards[name] = peer.entry.id
    state.routing.forwards_to[peer.entry.id] = (
        forward_choice.outstanding(state, peer) + 1
    )
    step.count("forwards_total", str(not other_region).lower())
    step.trace = request.trace
    dispatch.call(
        state,
        step,
        membership.peer_destination(peer.entry),
        peer_messages.ForwardRequest(
            request=msgspec.structs.replace(
                request.submission, deadline_s=left_s, wait=True
            ),
            hops=request.hops + 1,
        ),
        context,
        _timeout_s(state, request, left_s),
    )


def _size_of(body: bytes) -> float:
    return len(body) * BODY_FACTOR + OVERHEAD_BYTES


def _timeout_s(
    state: state_lib.State, request: request_state.Request, left_s: float
) -> float:
    """Returns how long to wait for a forwarded request.

    An idempotent one is given up early enough to be tried elsewhere, because
    the connection to another failure domain may be cut.
    """
    if not request.job_class.idempotent:
        return left_s
    expected_s = state.routing.run_times.expected_s(
        routing.class_key(request), request.job_class.run_s
    )
    patience_s = RUNS_BEFORE_TIMEOUT * max(expected_s, request.job_class.run_s)
    return min(left_s, max(state.limits.call_timeout_s, patience_s))


def _take_back(
    state: state_lib.State, context: Forwarded
) -> request_state.Request | None:
    """Ends a forward; returns the request if it still has no answer."""
    state.routing.forwards.pop(context.name, None)
    left = state.routing.forwards_to.get(context.peer, 1) - 1
    state.routing.forwards_to[context.peer] = left
    if not left:
        del state.routing.forwards_to[context.peer]
    request = state.requests.by_name.get(context.name)
    if request is None or request.answer is not None:
        return None
    return request


@dispatch.returned.register
def _(
    context: Forwarded,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = _take_back(state, context)
    if request is None:
        revise(state, context, reply)
    if context.other_region and isinstance(reply, caller_messages.Answer):
        # The response uses the same link, and is charged when it is here.
        forward_choice.region_bytes(
            state, step.moment.now_s
        ).tokens -= _size_of(reply.body)
    if request is None:
        return
    if isinstance(reply, peer_messages.Refused):
        decline(state, step, context, request)
    elif not is_answer_to(request, reply):
        lose(state, step, context, request)
    elif reply.outcome is kinds.Outcome.NOT_RUN:
        decline(state, step, context, request)
    elif (
        reply.outcome is kinds.Outcome.UNKNOWN and request.job_class.idempotent
    ):
        lose(state, step, context, request)
    else:
        outcomes.finish(state, step, request, reply)


@dispatch.failed.register
def _(
    context: Forwarded,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    membership.note_failed(state, context.peer, step.moment.now_s)
    request = _take_back(state, context)
    if request is None:
        return
    if failure is kinds.CallFailure.NOT_SENT:
        decline(state, step, context, request)
    else:
        lose(state, step, context, request)


def is_answer_to(
    request: request_state.Request, answer: caller_messages.Answer
) -> bool:
    """Returns whether a peer's answer is whole and belongs to the request."""
    submission = request.submission
    if (answer.organisation, answer.key) != (
        submission.organisation,
        submission.key,
    ):
        return False
    if answer.outcome is not kinds.Outcome.COMPLETED or answer.problem:
        return True
    return answer.length == len(
        answer.body
    ) and answer.digest == executor_messages.digest_of(answer.body)


def decline(
    state: state_lib.State,
    step: dispatch.Step,
    context: Forwarded,
    request: request_state.Request,
) -> None:
    """Queues a request again that the peer certainly did not run."""
    request.tried.append(context.peer)
    request.foreign = context.foreign
    if request.cancelled:
        progress.finish_if_cancelled(state, step, request)
        return
    request_queue.enqueue(state, request)
    requests.dispatch_queued(state, step)


def lose(
    state: state_lib.State,
    step: dispatch.Step,
    context: Forwarded,
    request: request_state.Request,
) -> None:
    """Handles a forward that may have taken effect.

    A non-idempotent request must not be started anywhere else.
    """
    request.tried.append(context.peer)
    request.losses += 1
    if request.cancelled or not request.job_class.idempotent:
        problem = problems.forward_lost()
        outcomes.end_without_result(state, step, request, problem)
        return
    progress.try_again(state, step, request)


def revise(state: state_lib.State, context: Forwarded, reply: Any) -> None:
    """Keeps a late answer for later fetches."""
    request = state.requests.by_name.get(context.name)
    if request is None or request.answer is None:
        return
    if request.answer.outcome is kinds.Outcome.COMPLETED:
        return
    completed = isinstance(reply, caller_messages.Answer) and (
        reply.outcome is kinds.Outcome.COMPLETED
    )
    if completed and is_answer_to(request, reply):
        outcomes.revise(state, request, reply)


@dispatch.receive.register
def _(
    message: peer_messages.ForwardRequest,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    problem = check(state, message)
    if problem is not None:
        step.respond(exchange_id, peer_messages.Refused(problem))
        return
    requests.submit(
        state, step, message.request, exchange_id, max(1, message.hops)
    )


def check(
    state: state_lib.State, message: peer_messages.ForwardRequest
) -> errors.Problem | None:
    """Returns why a forwarded request can't be taken, or None.

    An instance that leaves refuses at once: its peers were told. A request
    that is itself waiting for a peer is refused, because two instances that
    forward the same key to each other would wait until the deadline.
    """
    if state.drain.requested_s is not None:
        return errors.Problem(
            errors.ProblemKind.LEAVING,
            "This instance is about to stop.",
            "Forward the request to another instance.",
        )
    name = (message.request.organisation, message.request.key)
    if message.hops > forward_choice.MAX_HOPS or name in state.routing.forwards:
        return errors.Problem(
            errors.ProblemKind.NO_TARGET,
            "The request was already forwarded.",
            "Forward the request to another instance.",
        )
    if not routing.executors_in_use(state):
        return errors.Problem(
            errors.ProblemKind.NO_TARGET,
            "This failure domain has no executor in use.",
            "Forward the request to another failure domain.",
        )
    return None
