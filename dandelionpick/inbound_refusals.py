"""Refusals of inbound connections, with and without a response."""

import enum
import http

from dandelionpick import errors
from dandelionpick import metrics
from dandelionpick import peer_messages
from dandelionpick import wire


def problem_response_bytes(
    status: http.HTTPStatus, problem: errors.Problem
) -> bytes:
    """Builds a complete HTTP response that closes the connection."""
    body = wire.encode(peer_messages.Refused(problem))
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


class CutReason(enum.Enum):
    """Why a connection was closed without a response that says so."""

    CROWDED_OUT = "crowded_out"
    EMPTY_LINES = "empty_lines"
    FRAMING = "framing"
    HANDED_OVER = "handed_over"
    OVERLOADED = "overloaded"
    UNREAD_ANSWERS = "unread_answers"


def count_cut(reason: CutReason) -> None:
    """Counts a connection that was closed without a response."""
    metrics.add("connections_cut_total", (reason.value,), 1.0)
