"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import time
import urllib.parse
from typing import Any

from review.small_platform import http_server

ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500


class Store:
    """Keys, transactions, watches and leases.

    Attributes:
        late_s: writes that `loses` names get no answer and are carried out
            this much later, if their conditions still hold.
        loses: decides whether a transaction is lost; None for none.
        writes: number of transactions so far.
        lost: number of those that were lost.
    """

    def __init__(self, record: Any):
        self.record = record
        self.server = http_server.Server(self._handle)
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.history: list[tuple[float, dict[str, Any]]] = []
        self.forgotten = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.late_s = 0.0
        self.loses: Any = None
        self.writes = 0
        self.lost = 0

    async def run(self) -> None:
        """Ends leases and drops old history."""
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            for lease, (_, ends_s) in list(self.leases.items()):
                if now_s >= ends_s:
                    await self._end_lease(lease)
            while self.history and now_s - self.history[0][0] > HISTORY_S:
                self.forgotten = self.history.pop(0)[1]["revision"]

    async def put(self, key: str, value: bytes) -> None:
        """Writes a key on behalf of the operator or an executor."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), 0)
        await self._wake()

    async def remove(self, key: str) -> None:
        """Removes a key on behalf of an executor."""
        self.revision += 1
        self._remove(key)
        await self._wake()

    def value_of(self, key: str) -> bytes:
        """Returns a value, or b"" if there is no such key."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else b""

    async def _wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _write(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((time.monotonic(), item))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append((time.monotonic(), event))

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            await self._wake()

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path != "/kv-watch":
            await asyncio.sleep(ANSWER_S)
        if path == "/kv-key":
            item = self.items.get(fields["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if path == "/kv-range":
            return self._range(fields)
        if path == "/kv-watch":
            return await self._watch(fields)
        if path == "/kv-txn":
            return await self._transact(body)
        return await self._lease(method, path, body)

    def _range(self, fields: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        )
        return 200, {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, Any]:
        after = int(fields["after"])
        ends_s = time.monotonic() + int(fields["wait_ms"]) / 1_000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after
                and event["key"].startswith(fields["prefix"])
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    "events": events,
                    "store_revision": self.revision,
                }
            try:
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, body: Any) -> tuple[int, Any] | None:
        self.writes += 1
        if self.loses is not None and self.loses(body):
            self.lost += 1
            keys = [write["key"] for write in body["writes"]]
            self.record(f"store: a write of {keys} gets no answer")
            asyncio.get_running_loop().call_later(
                self.late_s, self._carry_out_late, body, keys
            )
            return None
        return await self._commit(body)

    def _carry_out_late(self, body: Any, keys: list[str]) -> None:
        async def carry_out() -> None:
            status, _ = await self._commit(body)
            self.record(f"store: the late write of {keys} ends with {status}")

        asyncio.ensure_future(carry_out())

    async def _commit(self, body: Any) -> tuple[int, Any]:
        conditions = body.get("expected_rev", [])
        current = [self.items.get(row["key"]) for row in conditions]
        for row, item in zip(conditions, current, strict=True):
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in current if item]}
        writes = body.get("writes", [])
        if any(
            write.get("lease") and write["lease"] not in self.leases
            for write in writes
        ):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        await self._wake()
        return 200, {"revision": self.revision}

    async def _lease(
        self, method: str, path: str, body: Any
    ) -> tuple[int, Any]:
        now_s = time.monotonic()
        if path == "/kv-lease":
            self.last_lease += 1
            ttl_s = body["ttl_ms"] / 1_000
            self.leases[self.last_lease] = (ttl_s, now_s + ttl_s)
            return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, now_s + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1_000)}
