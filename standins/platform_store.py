"""A stand-in for the platform's key-value store, without the transport.

The model is passed the time and answers through callbacks, so that the same
implementation serves both tests in virtual time and a process on loopback.
"""

import base64
import dataclasses
import enum
import random
import urllib.parse
from collections.abc import Callable
from typing import Any

PAGE_ITEMS = 500
MAX_TRANSACTION_ENTRIES = 32

Reply = tuple[int, dict[str, Any]]
ReplyCallback = Callable[[Reply], None]


class Outage(enum.Enum):
    """How the store treats a caller that it does not serve.

    BUSY answers with status 503, SILENT does not answer.
    """

    BUSY = "busy"
    SILENT = "silent"


@dataclasses.dataclass
class Item:
    """A stored item, with its value as base64 text."""

    key: str
    value: str
    revision: int
    created: int
    lease: int = 0

    def to_wire(self) -> dict[str, Any]:
        """Returns the item in its wire format."""
        return dataclasses.asdict(self)


@dataclasses.dataclass
class Lease:
    """A lease and its expiry time."""

    ttl_s: float
    expires_s: float


@dataclasses.dataclass
class WaitingWatch:
    """A watch that waits for its first event."""

    prefix: str
    after: int
    expires_s: float
    done: ReplyCallback


class PlatformStore:
    """A key-value store with transactions, leases, watches and paging.

    Attributes:
        history: events with their revisions, oldest first.
        compacted_revision: revisions up to this one are no longer in the
            history.
        outages: callers that are not served; "" stands for all callers.
        lapse: whether leases expire during an outage for all callers.
        lost_share: share of the transactions whose reply is lost.
        lost_key: if set, only replies to writes of this key are lost.
        late_s: delay after which transactions with a lost reply take
            effect.
        calls: number of calls by path.
    """

    def __init__(self, seed: int = 0):
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.compacted_revision = 0
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 0
        self.watches: list[WaitingWatch] = []
        self.outages: dict[str, Outage] = {}
        self.lapse = True
        self.lost_share = 0.0
        self.lost_key = ""
        self.late_s = 0.0
        self.delayed_writes: list[tuple[float, dict[str, Any]]] = []
        self.calls: dict[str, int] = {}
        self.random = random.Random(seed)
        self.now_s = 0.0

    def serve(
        self,
        method: str,
        target: str,
        body: Any,
        now_s: float,
        done: ReplyCallback,
        caller: str = "",
    ) -> None:
        """Serves a call; `done` is not called if the reply is lost."""
        self.advance(now_s)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name = "/" + path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        outage = self.outages.get("", self.outages.get(caller))
        if outage is Outage.SILENT:
            return
        if outage is Outage.BUSY:
            done((503, {}))
            return
        if name == "/kv-watch":
            self._watch(fields, done)
            return
        if name == "/kv-txn" and self._loses_reply(body):
            return
        done(self._answer(name, path, fields, body or {}))

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key directly, on behalf of operators and targets."""
        text = base64.b64encode(value).decode()
        self.revision += 1
        self._write(key, text, lease)
        self._notify_watches()
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key directly."""
        self.revision += 1
        self._remove(key)
        self._notify_watches()

    def forget_history(self) -> None:
        """Drops the history and ends all watches with status 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.done((410, {}))

    def advance(self, now_s: float) -> None:
        """Expires leases and watches, and applies delayed transactions."""
        self.now_s = max(self.now_s, now_s)
        if "" in self.outages and not self.lapse:
            for lease in self.leases.values():
                lease.expires_s = max(lease.expires_s, now_s + lease.ttl_s)
        for lease_id in [
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_s <= now_s
        ]:
            self._end_lease(lease_id)
        due = [body for at_s, body in self.delayed_writes if at_s <= now_s]
        self.delayed_writes = [
            pair for pair in self.delayed_writes if pair[0] > now_s
        ]
        for body in due:
            self._commit(body)
        ended = [watch for watch in self.watches if watch.expires_s <= now_s]
        self.watches = [watch for watch in self.watches if watch not in ended]
        for watch in ended:
            watch.done((200, {"events": [], "store_revision": self.revision}))

    def _loses_reply(self, body: dict[str, Any]) -> bool:
        if self.random.random() >= self.lost_share:
            return False
        written = {write["key"] for write in body.get("writes", ())}
        if self.lost_key and self.lost_key not in written:
            return False
        if self.late_s:
            self.delayed_writes.append((self.now_s + self.late_s, body))
        else:
            self._commit(body)
        return True

    def _answer(
        self,
        name: str,
        path: str,
        fields: dict[str, str],
        body: dict[str, Any],
    ) -> Reply:
        if name == "/kv-key":
            item = self.items.get(fields["key"])
            status = 200 if item else 404
            found = item.to_wire() if item else {}
            return status, {**found, "store_revision": self.revision}
        if name == "/kv-range":
            return self._range(fields)
        if name == "/kv-txn":
            return self._commit(body)
        return self._answer_lease(name, path, body)

    def _answer_lease(
        self, name: str, path: str, body: dict[str, Any]
    ) -> Reply:
        if name == "/kv-lease":
            self.last_lease_id += 1
            ttl_s = body["ttl_ms"] / 1_000
            self.leases[self.last_lease_id] = Lease(ttl_s, self.now_s + ttl_s)
            return 200, {"lease": self.last_lease_id, "ttl_ms": body["ttl_ms"]}
        lease_id = int(path.rpartition("/")[2])
        lease = self.leases.get(lease_id)
        if lease is None:
            return 404, {}
        if name == "/kv-keep":
            lease.expires_s = self.now_s + lease.ttl_s
            return 200, {"ttl_ms": lease.ttl_s * 1_000}
        self._end_lease(lease_id)
        return 200, {}

    def _range(self, fields: dict[str, str]) -> Reply:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        )
        return 200, {
            "items": [self.items[key].to_wire() for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    def _commit(self, body: dict[str, Any]) -> Reply:
        conditions = body.get("expected_rev", [])
        writes = body.get("writes", [])
        removals = body.get("remove", [])
        if (
            len(conditions) + len(writes) + len(removals)
            > MAX_TRANSACTION_ENTRIES
        ):
            return 400, {}
        current = [self.items.get(row["key"]) for row in conditions]
        if any(
            (item.revision if item else 0) != row["revision"]
            for row, item in zip(conditions, current, strict=True)
        ):
            return 412, {"items": [item.to_wire() for item in current if item]}
        leases = {write.get("lease", 0) for write in writes} - {0}
        if not leases <= set(self.leases):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in removals:
            self._remove(key)
        self._notify_watches()
        return 200, {"revision": self.revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.history.append((self.revision, item.to_wire()))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append((self.revision, event))

    def _end_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        keys = [key for key in self.items if self.items[key].lease == lease_id]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify_watches()

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event in self.history
            if revision > after and event["key"].startswith(prefix)
        ]

    def _watch(self, fields: dict[str, str], done: ReplyCallback) -> None:
        after = int(fields["after"])
        if after < self.compacted_revision:
            done((410, {}))
            return
        ends_s = self.now_s + int(fields["wait_ms"]) / 1_000
        self.watches.append(WaitingWatch(fields["prefix"], after, ends_s, done))
        self._notify_watches()

    def _notify_watches(self) -> None:
        watches, self.watches = self.watches, []
        for watch in watches:
            events = self._events(watch.prefix, watch.after)
            if events:
                watch.done(
                    (200, {"events": events, "store_revision": self.revision})
                )
            else:
                self.watches.append(watch)
