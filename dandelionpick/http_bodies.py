"""Reads the bodies of requests up to a limit."""

from starlette import requests as http


async def read(request: http.Request, limit_bytes: int) -> bytes | None:
    """Returns the body, or None if it exceeds the limit.

    Also returns None if the connection is lost, after which no response can be
    sent.
    """
    # One buffer, because a list of parts of one byte takes 50 times their size.
    body = bytearray()
    try:
        async for part in request.stream():
            if len(body) + len(part) > limit_bytes:
                return None
            body += part
    except http.ClientDisconnect:
        return None
    return bytes(body)
