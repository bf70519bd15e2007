"""Limits on inbound connections."""

import dataclasses
import resource

# The most connections that a listener accepts in one pass of the event loop.
MAX_ACCEPT_BATCH = 128
# Share of the descriptors that are not meant for connections. An accepted
# connection keeps one for up to four passes before its refusal has closed it,
# and three listeners may accept in each pass.
ACCEPT_SHARE = 1 / 16


@dataclasses.dataclass(slots=True)
class InboundLimits:
    """Limits on inbound connections.

    Attributes:
        max_connections: further connections are refused with `overloaded`.
        max_header_bytes: maximum size of the request line and headers.
        max_header_fields: maximum number of headers.
        header_timeout_s: from the start of a connection or of a request to
            the end of the headers.
        body_timeout_s: from the end of the headers to the end of the body.
        keep_alive_s: how long an idle connection stays open; clients should
            close theirs earlier.
        max_framing_bytes: maximum size of chunk sizes, chunk extensions and
            trailers of a body, beyond 16 bytes for each byte of the body.
        max_unfinished_bytes: what unfinished bodies of all connections may hold
            together, beyond 16 KiB of each.
        write_timeout_s: how long pending output may exceed 16 KiB without 64
            KiB, or all but 4 KiB, being read.
        descriptor_share: inbound connections use at most this share of the
            process's descriptors, whatever `max_connections` is.
    """

    max_connections: int = 2_000
    max_header_bytes: int = 16_384
    max_header_fields: int = 100
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    keep_alive_s: float = 60.0
    max_framing_bytes: int = 16_384
    max_unfinished_bytes: int = 16_777_216
    write_timeout_s: float = 30.0
    descriptor_share: float = 0.5

    def connection_limit(self) -> int:
        """Returns how many connections may be open in this process."""
        descriptors = _descriptor_limit()
        if descriptors is None:
            return self.max_connections
        return min(
            self.max_connections, int(descriptors * self.descriptor_share)
        )

    def accept_batch(self) -> int:
        """Returns how many connections a listener may accept at once."""
        descriptors = _descriptor_limit()
        if descriptors is None:
            return MAX_ACCEPT_BATCH
        spare = descriptors * (1 - self.descriptor_share)
        return max(1, min(MAX_ACCEPT_BATCH, int(spare * ACCEPT_SHARE)))


def _descriptor_limit() -> int | None:
    """Returns how many descriptors this process may open, None if any."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return None
    return descriptors
