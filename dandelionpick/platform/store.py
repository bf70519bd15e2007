"""Client of the platform's key-value store."""

import base64
import binascii
import functools
import urllib.parse
from typing import Any

import msgspec
from absl import logging
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import http_pools
from dandelionpick import http_requests
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import store_api

# Added to the requested wait of a watch to get the timeout of the call.
WATCH_MARGIN_S = 0.6


class WireItem(msgspec.Struct):
    """An item, or its removal.

    Attributes:
        value: encoded as base64.
        revision: store revision of the item's last change.
        lease: id of the lease the item is attached to; 0 for none.
        deleted: whether this is the removal of the item.
    """

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    deleted: bool = False


class WireItems(msgspec.Struct):
    """Body of a reply to a range read, a watch or a failed transaction."""

    items: list[WireItem] = []
    events: list[WireItem] = []
    has_more: bool = False
    store_revision: int = 0


class WireChange(msgspec.Struct):
    """Body of a reply to a transaction or a lease request."""

    revision: int = 0
    lease: int = 0
    ttl_ms: float = 0


_item_decoder = msgspec.json.Decoder(WireItem)
_items_decoder = msgspec.json.Decoder(WireItems)
_change_decoder = msgspec.json.Decoder(WireChange)

Outcome = Result[Any, kinds.CallFailure]
# Replies that are determined by the message type and the status alone.
_REPLY_BY_STATUS: dict[tuple[type, int], Any] = {
    (store_api.Watch, 410): store_api.HistoryLost(),
    (store_api.KeepLease, 404): store_api.LeaseEnded(),
    (store_api.EndLease, 404): store_api.LeaseEnded(),
    (store_api.Commit, 404): store_api.LeaseEnded(),
}


async def send(
    pools: http_pools.Pools, address: str, message: Any, timeout_s: float
) -> Outcome:
    """Sends a call to the store and waits for its reply.

    Returns:
        The reply, or NOT_SENT or LOST if there is none.
    """
    method, path, body = encode_request(message)
    if isinstance(message, store_api.Watch):
        timeout_s = message.wait_s + WATCH_MARGIN_S
    result = await http_requests.request(
        pools, address, method, path, timeout_s, body
    )
    return result.bind(functools.partial(decode_reply, message))


def decode_reply(message: Any, response: http_requests.RawResponse) -> Outcome:
    """Decodes the status and the body of a response."""
    status, body = response
    known_reply = _REPLY_BY_STATUS.get((type(message), status))
    if known_reply is not None:
        return Success(known_reply)
    try:
        reply = _decode_body(message, status, body)
    except (msgspec.DecodeError, binascii.Error, ValueError) as error:
        logging.warning(
            "store: cannot decode the reply to %s: %s",
            type(message).__name__,
            error,
        )
        return Failure(kinds.CallFailure.LOST)
    if reply is None:
        return Failure(kinds.CallFailure.LOST)
    return Success(reply)


def _decode_body(message: Any, status: int, body: bytes) -> Any:
    """Returns the reply, or None if the outcome of the call is unknown."""
    if status == 200:
        return _decode_success(message, body)
    if isinstance(message, store_api.Read) and status == 404:
        return store_api.Item(message.key)
    if isinstance(message, store_api.Commit) and status == 412:
        return _decode_conflict(message, body)
    if status == 503 or 400 <= status < 500:
        return store_api.Refused(status)
    return None


def _query_string(**fields: Any) -> str:
    return "?" + urllib.parse.urlencode(fields)


@functools.singledispatch
def encode_request(message: Any) -> tuple[str, str, Any]:
    """Returns the HTTP method, path with query, and JSON body of a message."""
    raise TypeError(f"no store request for message {type(message).__name__}")


@encode_request.register
def _(message: store_api.Read) -> tuple[str, str, Any]:
    return "GET", "/kv-key" + _query_string(key=message.key), None


@encode_request.register
def _(message: store_api.List) -> tuple[str, str, Any]:
    fields = {"prefix": message.prefix}
    if message.after:
        fields["after"] = message.after
    return "GET", "/kv-range" + _query_string(**fields), None


@encode_request.register
def _(message: store_api.Watch) -> tuple[str, str, Any]:
    query = _query_string(
        prefix=message.prefix,
        after=message.after_revision,
        wait_ms=round(message.wait_s * 1_000),
    )
    return "GET", "/kv-watch" + query, None


@encode_request.register
def _(message: store_api.Commit) -> tuple[str, str, Any]:
    body = {
        "expected_rev": [
            {"key": condition.key, "revision": condition.revision}
            for condition in message.conditions
        ],
        "writes": [_encode_write(write) for write in message.writes],
        "remove": list(message.removals),
    }
    return "POST", "/kv-txn", body


def _encode_write(write: store_api.Write) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease:
        fields["lease"] = write.lease
    return fields


@encode_request.register
def _(message: store_api.GrantLease) -> tuple[str, str, Any]:
    return "POST", "/kv-lease", {"ttl_ms": round(message.ttl_s * 1_000)}


@encode_request.register
def _(message: store_api.KeepLease) -> tuple[str, str, Any]:
    return "POST", f"/kv-keep/{message.lease}", None


@encode_request.register
def _(message: store_api.EndLease) -> tuple[str, str, Any]:
    return "DELETE", f"/kv-lease-end/{message.lease}", None


def _to_item(wire: WireItem) -> store_api.Item:
    return store_api.Item(
        wire.key,
        base64.b64decode(wire.value, validate=True),
        wire.revision,
        ids.LeaseId(wire.lease),
    )


def _decode_conflict(
    message: store_api.Commit, body: bytes
) -> store_api.Conflict:
    """Decodes a conflict, adding missing keys, which the store may omit."""
    found = {
        wire.key: _to_item(wire) for wire in _items_decoder.decode(body).items
    }
    return store_api.Conflict(
        tuple(
            found.get(condition.key, store_api.Item(condition.key))
            for condition in message.conditions
        )
    )


@functools.singledispatch
def _decode_success(message: Any, body: bytes) -> Any:
    raise TypeError(f"no reply decoder for message {type(message).__name__}")


@_decode_success.register
def _(message: store_api.Read, body: bytes) -> Any:
    return _to_item(_item_decoder.decode(body))


@_decode_success.register
def _(message: store_api.List, body: bytes) -> Any:
    wire = _items_decoder.decode(body)
    items = tuple(map(_to_item, wire.items))
    return store_api.Listed(items, wire.has_more, wire.store_revision)


@_decode_success.register
def _(message: store_api.Watch, body: bytes) -> Any:
    wire = _items_decoder.decode(body)
    return store_api.Changed(
        tuple(map(_to_item, wire.events)),
        frozenset(
            (event.key, event.revision)
            for event in wire.events
            if event.deleted
        ),
        wire.store_revision,
    )


@_decode_success.register
def _(message: store_api.Commit, body: bytes) -> Any:
    return store_api.Committed(_change_decoder.decode(body).revision)


@_decode_success.register
def _(message: store_api.GrantLease, body: bytes) -> Any:
    wire = _change_decoder.decode(body)
    return store_api.LeaseHeld(ids.LeaseId(wire.lease), wire.ttl_ms / 1_000)


@_decode_success.register
def _(message: store_api.KeepLease, body: bytes) -> Any:
    wire = _change_decoder.decode(body) if body else WireChange()
    return store_api.LeaseHeld(message.lease, wire.ttl_ms / 1_000)


@_decode_success.register
def _(message: store_api.EndLease, body: bytes) -> Any:
    return store_api.LeaseEnded()
