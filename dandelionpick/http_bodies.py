"""Reads the bodies of requests up to limits.

Each body has a limit of its own. A budget limits what the unfinished bodies of
all connections hold together, because clients can leave as many unfinished as
there are connections.
"""

import dataclasses

from starlette import requests as http

# The first bytes of each body are outside the budget, so that ordinary requests
# are read while large ones use it up.
FREE_BYTES = 16_384


class BudgetExceededError(Exception):
    """The unfinished bodies hold as much as they may."""


@dataclasses.dataclass(slots=True)
class Budget:
    """Limit on what unfinished bodies hold in this process.

    Attributes:
        max_bytes: the limit; the first FREE_BYTES of each body don't count.
        held_bytes: what they hold now.
    """

    max_bytes: int = 16_777_216
    held_bytes: int = 0

    def add(self, count: int) -> None:
        """Adds bytes.

        Raises:
            BudgetExceededError: the limit would be exceeded.
        """
        if self.held_bytes + count > self.max_bytes:
            raise BudgetExceededError
        self.held_bytes += count


async def read(
    request: http.Request, limit_bytes: int, budget: Budget
) -> bytes | None:
    """Returns the body, or None if it exceeds the limit.

    Also returns None if the connection is lost, after which no response can be
    sent.

    Raises:
        BudgetExceededError: other unfinished bodies leave no room for it.
    """
    # One buffer, because a list of parts of one byte takes 50 times their size.
    body = bytearray()
    counted = 0
    try:
        async for part in request.stream():
            size = len(body) + len(part)
            if size > limit_bytes:
                return None
            more = max(0, size - FREE_BYTES) - counted
            budget.add(more)
            counted += more
            body += part
    except http.ClientDisconnect:
        return None
    finally:
        budget.held_bytes -= counted
    return bytes(body)
