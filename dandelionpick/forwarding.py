"""Forwards requests, at most once, to another failure domain."""

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
# Bounds the work of one tick when the queue is long and there is no executor.
MAX_FORWARDS_PER_TICK = 100
# Base64 in JSON takes 4/3 of the body's size. OVERHEAD_BYTES covers headers
# and the other fields.
BASE64_RATIO = 4 / 3
OVERHEAD_BYTES = 1024
# Timeout of an idempotent forward, as a multiple of the expected run time.
TIMEOUT_RUN_TIMES = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Context of a forwarded request.

    Attributes:
        may_have_run_elsewhere: whether another instance may have run it before
            this forward.
    """

    name: request_state.RequestName
    peer: ids.InstanceId
    may_have_run_elsewhere: bool
    other_region: bool


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Forwards requests that would wait too long.

    Without a local executor all queued requests are forwarded.
    """
    candidates, state.routing.forward_candidates = (
        state.routing.forward_candidates,
        [],
    )
    if state.routing.starts_paused:
        return
    if not routing.executors_in_use(state):
        names = itertools.islice(
            state.routing.queue.items, MAX_FORWARDS_PER_TICK
        )
        for name in list(names):
            _forward_to_any(state, step, name)
        return
    for name in candidates:
        _forward_if_sooner(state, step, name)


def _forwardable_request(
    state: state_lib.State, name: request_state.RequestName
) -> request_state.Request | None:
    """Returns the request if it is queued and may be forwarded, else None.

    A non-idempotent request that was sent before may have run, so it is not
    forwarded.
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
    request = _forwardable_request(state, name)
    if request is None:
        return
    draw = retries.derive_draw(step.moment.random_value, *name)
    peer = forward_choice.choose_peer(
        state, request, step.moment.now_s, draw, free_only=False
    )
    if peer is not None:
        send(state, step, name, request, peer)


def _forward_if_sooner(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
) -> None:
    """Forwards a request if its wait is long and a peer has a free slot."""
    request = _forwardable_request(state, name)
    if request is None:
        return
    now_s = step.moment.now_s
    item = state.routing.queue.items[name]
    wait_s = admission.expected_wait_s(state, item, now_s)
    draw = retries.derive_draw(step.moment.random_value, *name)
    peer = forward_choice.choose_peer(
        state, request, now_s, draw, free_only=True
    )
    if peer is None or wait_s < admission.FORWARD_WAIT_S:
        return
    same_region = forward_choice.is_same_region(state, peer)
    if same_region or wait_s >= FORWARD_WAIT_OTHER_REGION_S:
        send(state, step, name, request, peer)


def send(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    request: request_state.Request,
    peer: state_lib.Peer,
) -> None:
    """Forwards a queued request with the time left until its deadline."""
    now_s = step.moment.now_s
    remaining_s = request.deadline_s - now_s
    if remaining_s <= 0:
        return
    other_region = not forward_choice.is_same_region(state, peer)
    if other_region:
        size = _message_size(request.submission.body)
        if not forward_choice.inter_region_budget(state, now_s).spend(
            size, now_s, debt=True
        ):
            return
    lanes.withdraw(state, name)
    context = Forwarded(
        name, peer.entry.id, request.may_have_run_elsewhere, other_region
    )
    request.phase = request_state.Phase.RUNNING
    request.may_have_run_elsewhere = True
    request.target = peer.entry.id
    state.routing.forwards[name] = peer.entry.id
    state.routing.forward_counts[peer.entry.id] = (
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
                request.submission, deadline_s=remaining_s, wait=True
            ),
            hops=request.hops + 1,
            lost_calls=request.lost_calls,
        ),
        context,
        _timeout_s(state, request, remaining_s),
    )


def _message_size(body: bytes) -> float:
    return len(body) * BASE64_RATIO + OVERHEAD_BYTES


def _timeout_s(
    state: state_lib.State, request: request_state.Request, remaining_s: float
) -> float:
    """Returns the timeout of a forward.

    An idempotent request times out early enough to be retried elsewhere,
    because the connection to another failure domain may be lost.
    """
    if not request.job_class.idempotent:
        return remaining_s
    expected_s = state.routing.run_times.expected_s(
        routing.class_key(request), request.job_class.run_s
    )
    allowed_s = TIMEOUT_RUN_TIMES * max(expected_s, request.job_class.run_s)
    return min(remaining_s, max(state.limits.call_timeout_s, allowed_s))


def _end_forward(
    state: state_lib.State, context: Forwarded
) -> request_state.Request | None:
    """Removes a forward; returns the request if it still has no answer."""
    state.routing.forwards.pop(context.name, None)
    remaining = state.routing.forward_counts.get(context.peer, 1) - 1
    state.routing.forward_counts[context.peer] = remaining
    if not remaining:
        del state.routing.forward_counts[context.peer]
    request = state.requests.by_name.get(context.name)
    if request is None or request.answer is not None:
        return None
    return request


@dispatch.on_reply.register
def _(
    context: Forwarded,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = _end_forward(state, context)
    if request is None:
        record_late_answer(state, context, reply)
    if context.other_region and isinstance(reply, caller_messages.Answer):
        # The response uses the same link and is charged when it arrives.
        forward_choice.inter_region_budget(
            state, step.moment.now_s
        ).tokens -= _message_size(reply.body)
    if request is None:
        return
    if isinstance(reply, peer_messages.Refused):
        requeue_declined(state, step, context, request)
    elif not is_answer_to(request, reply):
        handle_lost(state, step, context, request)
    elif reply.outcome is kinds.Outcome.NOT_RUN:
        requeue_declined(state, step, context, request)
    elif (
        reply.outcome is kinds.Outcome.UNKNOWN
        and request.job_class.idempotent
        and not has_lost_targets(reply)
    ):
        handle_lost(state, step, context, request)
    else:
        outcomes.finish(state, step, request, reply)


@dispatch.on_failure.register
def _(
    context: Forwarded,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    membership.record_failed_call(state, context.peer, step.moment.now_s)
    request = _end_forward(state, context)
    if request is None:
        return
    if failure is kinds.CallFailure.NOT_SENT:
        requeue_declined(state, step, context, request)
    else:
        handle_lost(state, step, context, request)


def has_lost_targets(answer: caller_messages.Answer) -> bool:
    """Returns whether a peer gave up a request that may crash its executors."""
    return (
        answer.problem is not None
        and answer.problem.kind is errors.ProblemKind.TARGET_LOST
    )


def is_answer_to(
    request: request_state.Request, answer: caller_messages.Answer
) -> bool:
    """Returns whether a peer's answer is intact and matches the request."""
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


def requeue_declined(
    state: state_lib.State,
    step: dispatch.Step,
    context: Forwarded,
    request: request_state.Request,
) -> None:
    """Queues a request again that the peer did not run."""
    request.tried.append(context.peer)
    request.may_have_run_elsewhere = context.may_have_run_elsewhere
    if request.cancelled:
        progress.finish_if_cancelled(state, step, request)
        return
    request_queue.enqueue(state, request)
    requests.dispatch_queued(state, step)


def handle_lost(
    state: state_lib.State,
    step: dispatch.Step,
    context: Forwarded,
    request: request_state.Request,
) -> None:
    """Handles a forward whose request may have run.

    A non-idempotent request must not be started anywhere else.
    """
    request.tried.append(context.peer)
    request.lost_calls += 1
    if request.cancelled or not request.job_class.idempotent:
        problem = problems.forward_reply_lost()
        outcomes.end_without_result(state, step, request, problem)
        return
    progress.schedule_retry(state, step, request)


def record_late_answer(
    state: state_lib.State, context: Forwarded, reply: Any
) -> None:
    """Stores a completed answer that arrived late, for later fetches."""
    request = state.requests.by_name.get(context.name)
    if request is None or request.answer is None:
        return
    if request.answer.outcome is kinds.Outcome.COMPLETED:
        return
    completed = isinstance(reply, caller_messages.Answer) and (
        reply.outcome is kinds.Outcome.COMPLETED
    )
    if completed and is_answer_to(request, reply):
        outcomes.revise_answer(state, request, reply)


@dispatch.on_message.register
def _(
    message: peer_messages.ForwardRequest,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    problem = refusal_of(state, message)
    if problem is not None:
        step.respond(exchange_id, peer_messages.Refused(problem))
        return
    requests.submit(
        state,
        step,
        message.request,
        exchange_id,
        max(1, message.hops),
        message.lost_calls,
    )


def refusal_of(
    state: state_lib.State, message: peer_messages.ForwardRequest
) -> errors.Problem | None:
    """Returns why a forwarded request is refused, or None.

    A leaving instance refuses at once, because its peers were notified. A
    request that this instance has forwarded itself is refused, because two
    instances that forward the same key to each other would wait until the
    deadline.
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
