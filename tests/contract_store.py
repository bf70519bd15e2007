"""Contract tests for any implementation of the configuration store.

A test class inherits from StoreContract and provides `service`, an object with
`call(message) -> Result`, `control(changes)` and `wait_until(condition)`.
"""

import dataclasses
import enum

from returns.result import Failure

from dandelionpick import store_messages as messages
from standins import faults


class ExpectedVersion(enum.Enum):
    """The version that a write expects, relative to the current one."""

    ABSENT = "absent"
    CURRENT = "current"
    OLDER = "older"


@dataclasses.dataclass(frozen=True)
class Put:
    """A write, the expected type of its reply and the value read after it."""

    value: str | None
    expects: ExpectedVersion
    reply_type: type
    value_after: str | None


CREATED = Put("one", ExpectedVersion.ABSENT, messages.Written, "one")
CASES = (
    ("create", (CREATED,)),
    (
        "create what exists",
        (CREATED, Put("two", ExpectedVersion.ABSENT, messages.Conflict, "one")),
    ),
    (
        "replace",
        (CREATED, Put("two", ExpectedVersion.CURRENT, messages.Written, "two")),
    ),
    (
        "replace with a stale version",
        (
            CREATED,
            Put("two", ExpectedVersion.CURRENT, messages.Written, "two"),
            Put("three", ExpectedVersion.OLDER, messages.Conflict, "two"),
        ),
    ),
    (
        "the same value again",
        (
            CREATED,
            Put("one", ExpectedVersion.CURRENT, messages.Written, "one"),
            Put("two", ExpectedVersion.OLDER, messages.Conflict, "one"),
        ),
    ),
    (
        "delete and create again",
        (
            CREATED,
            Put(None, ExpectedVersion.CURRENT, messages.Written, None),
            CREATED,
            Put("two", ExpectedVersion.OLDER, messages.Conflict, "one"),
        ),
    ),
    (
        "delete with a stale version",
        (
            CREATED,
            Put("two", ExpectedVersion.CURRENT, messages.Written, "two"),
            Put(None, ExpectedVersion.OLDER, messages.Conflict, "two"),
        ),
    ),
    (
        "a value of 1 MB with characters of several bytes",
        (
            Put(
                "ō" * 500_000,
                ExpectedVersion.ABSENT,
                messages.Written,
                "ō" * 500_000,
            ),
        ),
    ),
)
# Pairs of a fault and whether a write takes effect during it.
FAULT_CASES = (
    (faults.Fault.REFUSES, False),
    (faults.Fault.SILENT, False),
    (faults.Fault.LOSES_REPLIES, True),
)


class StoreContract:
    """Properties of the store on which claims and edits depend."""

    def key(self, name: str) -> str:
        return f"contract/{name}"

    def put(self, key, value, version, lease_id=""):
        write = messages.Write(key, version, value, "contract", lease_id)
        return self.service.call(write)

    def value(self, key):
        return self.service.call(messages.Read(key)).unwrap()

    def test_compare_and_swap(self):
        for name, puts in CASES:
            with self.subTest(name):
                key = self.key(name)
                versions = [0]
                for put in puts:
                    expected = (
                        {
                            ExpectedVersion.ABSENT: 0,
                            ExpectedVersion.CURRENT: versions[-1],
                            ExpectedVersion.OLDER: versions[1],
                        }[put.expects]
                        if len(versions) > 1
                        else 0
                    )
                    reply = self.put(key, put.value, expected).unwrap()
                    self.assertIsInstance(reply, put.reply_type)
                    found = self.value(key)
                    self.assertEqual(found.value, put.value_after)
                    self.assertEqual(found.version, reply.version)
                    if isinstance(reply, messages.Conflict):
                        self.assertEqual(reply.value, put.value_after)
                    if reply.version not in versions:
                        self.assertGreater(reply.version, max(versions))
                    versions.append(reply.version)

    def test_a_watch_returns_a_value_of_another_version(self):
        key = self.key("watch")
        version = self.put(key, "one", 0).unwrap().version
        for after in (0, version + 1):
            with self.subTest(after=after):
                watch = messages.Watch(key, after, 0.2)
                found = self.service.call(watch).unwrap()
                self.assertEqual(found, messages.Value(key, version, "one"))

    def test_a_watch_of_an_unchanged_key_returns_no_value(self):
        key = self.key("unchanged")
        version = self.put(key, "one", 0).unwrap().version
        for name, after in ((key, version), (self.key("never written"), 0)):
            for wait_s in (0.0, 0.05):
                with self.subTest(name=name, wait_s=wait_s):
                    watch = messages.Watch(name, after, wait_s)
                    found = self.service.call(watch).unwrap()
                    self.assertEqual(found, messages.Unchanged(name, after))

    def test_a_key_is_deleted_when_its_lease_expires(self):
        key = self.key("leased")
        lease = self.service.call(messages.GrantLease(0.05)).unwrap()
        reply = self.put(key, "one", 0, lease.lease_id).unwrap()
        self.assertIsInstance(reply, messages.Written)
        self.service.wait_until(lambda: self.value(key).value is None)
        self.assertEqual(
            self.service.call(messages.RenewLease(lease.lease_id)).unwrap(),
            messages.LeaseEnded(lease.lease_id),
        )
        reply = self.put(key, "two", 0, lease.lease_id).unwrap()
        self.assertIsInstance(reply, messages.LeaseEnded)
        self.assertIsNone(self.value(key).value)

    def test_a_renewed_lease_keeps_its_key(self):
        key = self.key("renewed")
        lease = self.service.call(messages.GrantLease(60.0)).unwrap()
        self.put(key, "one", 0, lease.lease_id)
        renewed = self.service.call(messages.RenewLease(lease.lease_id))
        self.assertEqual(renewed.unwrap(), lease)
        self.assertEqual(self.value(key).value, "one")


class StoreFaultContract:
    """Effects of injected faults, which a real service doesn't offer."""

    def test_faults(self):
        for fault, takes_effect in FAULT_CASES:
            with self.subTest(fault):
                key = self.key(f"fault {fault.value}")
                self.service.control({"fault": fault.value, "calls": 1})
                self.assertIsInstance(self.put(key, "one", 0), Failure)
                found = self.value(key)
                self.assertEqual(found.value is not None, takes_effect)

    def test_a_fault_lasts_until_it_is_cleared(self):
        self.service.control({"fault": "refuses"})
        for _ in range(3):
            reply = self.service.call(messages.Read(self.key("outage")))
            self.assertIsInstance(reply, Failure)
        self.service.control({"fault": "none"})
        self.value(self.key("outage"))

    def test_a_restore_returns_the_older_value_with_a_new_version(self):
        key = self.key("restore")
        first = self.put(key, "one", 0).unwrap().version
        self.service.control({"backup": True})
        second = self.put(key, "two", first).unwrap().version
        self.service.control({"restore": True})
        found = self.value(key)
        self.assertEqual(found.value, "one")
        self.assertNotIn(found.version, (first, second))
