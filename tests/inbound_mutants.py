"""Mutants that disable the limits on inbound connections."""

import dataclasses

from dandelionpick import http_protocol
from dandelionpick import inbound_counts
from dandelionpick import inbound_waiting
from tests import mutant

INBOUND = ("tests.test_inbound_limits",)
SERVER = ("tests.test_http_server",)


def close_unanswered() -> None:
    """Closes connections whose requests have no answer to make room."""
    waiting = inbound_waiting.WaitingConnections
    waiting.discard = lambda connections, connection: None


def count_no_headers() -> None:
    """Limits only the bytes of the headers, not their number."""
    protocol = http_protocol.InboundProtocol
    connect = protocol.connection_made

    def connection_made(connection, transport):
        limits = dataclasses.replace(
            connection.limits, max_header_fields=1_000_000
        )
        connection.limits = limits
        connect(connection, transport)

    protocol.connection_made = connection_made


def count_no_framing() -> None:
    """Limits only what the headers of a request hold."""
    inbound_counts.ByteCounts.exceeds = lambda *arguments: False


def keep_after_early_answers() -> None:
    """Keeps connections whose body goes on after the answer."""
    protocol = http_protocol.InboundProtocol
    complete = protocol.on_headers_complete

    def on_headers_complete(connection):
        complete(connection)
        if connection.cycle is not None:
            connection.cycle.keep_alive = connection.keeps_alive

    protocol.on_headers_complete = on_headers_complete


def make_no_room() -> None:
    """Refuses new connections however long others wait."""
    waiting = inbound_waiting.WaitingConnections
    waiting.pop_first = lambda connections: None


def parse_all_input() -> None:
    """Parses pipelined requests before earlier ones have answers."""
    protocol = http_protocol.InboundProtocol
    protocol._answers_are_pending = lambda connection: False


def parse_large_parts() -> None:
    """Feeds the parser with many pipelined requests at a time."""
    http_protocol.PART_BYTES = 2_048


def refuse_handed_over() -> None:
    """Sends refusals while an earlier request waits for its answer."""
    protocol = http_protocol.InboundProtocol
    protocol._is_unanswered = lambda connection: False


def wait_for_readers() -> None:
    """Lets clients leave their answers unread."""
    protocol = http_protocol.InboundProtocol
    protocol._start_write_timer = lambda connection: None


MUTANTS = (
    mutant.Mutant(
        "no connection is closed for room whose request has no answer",
        close_unanswered,
        SERVER,
    ),
    mutant.Mutant(
        "the number of headers is limited",
        count_no_headers,
        SERVER,
    ),
    mutant.Mutant(
        "the connection that waits longest for its client makes room",
        make_no_room,
        SERVER,
    ),
    mutant.Mutant(
        "trailers, chunk extensions and empty lines are limited",
        count_no_framing,
        INBOUND,
    ),
    mutant.Mutant(
        "an answer before the end of its body ends the connection",
        keep_after_early_answers,
        INBOUND,
    ),
    mutant.Mutant(
        "pipelined requests wait outside the process",
        parse_all_input,
        INBOUND,
    ),
    mutant.Mutant(
        "few pipelined requests are parsed at a time",
        parse_large_parts,
        INBOUND,
    ),
    mutant.Mutant(
        "a refusal is never sent in place of an earlier answer",
        refuse_handed_over,
        INBOUND,
    ),
    mutant.Mutant(
        "answers that are not read end the connection",
        wait_for_readers,
        INBOUND,
    ),
)
