"""A request whose body arrives slowly, so that a planned stop falls into it."""

import asyncio
import json

from soak import processes
from standins import platform_demo

ANSWER_TIMEOUT_S = 5.0
# Refused for its body, so that no job comes of it.
BODY = b'{"phases": []}'


class SlowRequest:
    """A submission of which the second half of the body is sent later."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def begin(cls, instance: processes.Instance) -> "SlowRequest":
        """Sends the headers and the first half of the body.

        Raises:
            OSError: the instance can't be reached.
        """
        reader, writer = await asyncio.open_connection(
            *instance.callers.rsplit(":", 1)
        )
        head = (
            "POST /normal/0000000000000000 HTTP/1.1\r\n"
            f"host: {processes.HOST}\r\n"
            f"authorization: Bearer {platform_demo.KEY}\r\n"
            f"content-length: {len(BODY)}\r\n"
            "connection: close\r\n\r\n"
        )
        writer.write(head.encode() + BODY[: len(BODY) // 2])
        await writer.drain()
        return cls(reader, writer)

    async def finish(self) -> bool:
        """Sends the rest; returns whether a whole answer arrives."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self.writer.write(BODY[len(BODY) // 2 :])
                await self.writer.drain()
                answer = await self.reader.read()
        except (OSError, TimeoutError):
            return False
        finally:
            self.writer.transport.abort()
        _, _, text = answer.partition(b"\r\n\r\n")
        try:
            return "problem" in json.loads(text)
        except ValueError:
            return False
