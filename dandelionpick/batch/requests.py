"""Receives callers' requests and dispatches, retries and expires them."""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick.batch import admission
from dandelionpick.batch import inspection
from dandelionpick.batch import messages
from dandelionpick.batch import open_requests
from dandelionpick.batch import relaying
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import submission

# A request without a result is ended this long before its caller's deadline, so
# that the response still arrives in time.
RESPONSE_MARGIN_S = 0.15


def _receive(
    message: messages.Request,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
    relayed: bool = False,
) -> None:
    now_s = step.moment.now_s
    time_left_s = max(0.0, message.deadline_s - RESPONSE_MARGIN_S)
    request = state_lib.OpenRequest(
        exchange_id, message, now_s, now_s + time_left_s, step.trace, relayed
    )
    state.open_requests[exchange_id] = request
    handle(state, step, request)


for _message_type in (messages.Submit, messages.Inspect, messages.Cancel):
    dispatch.on_message.register(_message_type, _receive)


@dispatch.on_message.register
def _(
    message: messages.Relay,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    if not inspection.is_ready_scheduler(state):
        step.respond(exchange_id, messages.NotScheduler())
        return
    _receive(message.request, state, step, exchange_id, relayed=True)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Ends requests that have reached their deadline; retries delayed ones."""
    now_s = step.moment.now_s
    for request in list(state.open_requests.values()):
        if now_s >= request.deadline_s:
            _expire(state, step, request)
    for _ in range(len(state.delayed_requests)):
        delayed = state.delayed_requests.popleft()
        if not open_requests.is_open(state, delayed.request):
            continue
        if now_s >= delayed.retry_at_s:
            handle(state, step, delayed.request)
        else:
            state.delayed_requests.append(delayed)


def handle(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Handles a request locally, or relays it to the scheduler."""
    step.trace = request.trace
    decision: Any = admission.check(state, request.request, step.moment.now_s)
    if isinstance(decision, admission.StaleConfiguration):
        _handle_stale(state, step, request)
    elif isinstance(decision, messages.Refused):
        open_requests.finish(state, step, request, decision)
    elif isinstance(request.request, messages.Submit):
        submission.submit(state, step, request, decision)
    elif isinstance(request.request, messages.Cancel):
        submission.cancel(state, step, request, decision)
    else:
        inspection.inspect(state, step, request, decision)


def _handle_stale(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Relays a request to the scheduler, whose configuration may be fresh."""
    if not request.relayed and not request.skip_relay:
        request.skip_relay = True
        if relaying.relay(state, step, request):
            return
    open_requests.refuse_store_unavailable(state, step, request)


def _expire(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Ends a request whose deadline is near."""
    open_requests.refuse_store_unavailable(state, step, request)
