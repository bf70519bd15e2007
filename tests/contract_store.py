"""Contract of the configuration store, for any implementation of it.

A test class mixes StoreContract in and provides `service`, an object with
`call(message) -> Result`, `control(changes)` and `wait_until(condition)`.
"""

import dataclasses
import enum

from returns.result import Failure

from dandelionpick import store_messages as messages
from standins import faults


class Expects(enum.Enum):
    """Which version a write expects."""

    ABSENT = "absent"
    CURRENT = "current"
    OLDER = "older"


@dataclasses.dataclass(frozen=True)
class Put:
    """A write, the type of its reply and the value that is then read."""

    value: str | None
    expects: Expects
    reply: type
    then: str | None


CREATED = Put("one", Expects.ABSENT, messages.Written, "one")
CASES = (
    ("create", (CREATED,)),
    (
        "create what exists",
        (CREATED, Put("two", Expects.ABSENT, messages.Conflict, "one")),
    ),
    (
        "replace",
        (CREATED, Put("two", Expects.CURRENT, messages.Written, "two")),
    ),
    (
        "replace with a stale version",
        (
            CREATED,
            Put("two", Expects.CURRENT, messages.Written, "two"),
            Put("three", Expects.OLDER, messages.Conflict, "two"),
        ),
    ),
    (
        "the same value again",
        (
            CREATED,
            Put("one", Expects.CURRENT, messages.Written, "one"),
            Put("two", Expects.OLDER, messages.Conflict, "one"),
        ),
    ),
    (
        "delete and create again",
        (
            CREATED,
            Put(None, Expects.CURRENT, messages.Written, None),
            CREATED,
            Put("two", Expects.OLDER, messages.Conflict, "one"),
        ),
    ),
    (
        "delete with a stale version",
        (
            CREATED,
            Put("two", Expects.CURRENT, messages.Written, "two"),
            Put(None, Expects.OLDER, messages.Conflict, "two"),
        ),
    ),
    (
        "a value of 1 MB with characters of several bytes",
        (Put("ō" * 500_000, Expects.ABSENT, messages.Written, "ō" * 500_000),),
    ),
)
# Fault, whether a write under it takes effect.
FAULT_CASES = (
    (faults.Fault.REFUSES, False),
    (faults.Fault.SILENT, False),
    (faults.Fault.LOSES_REPLIES, True),
)


class StoreContract:
    """Failures of the store that would break claims or edits."""

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
                            Expects.ABSENT: 0,
                            Expects.CURRENT: versions[-1],
                            Expects.OLDER: versions[1],
                        }[put.expects]
                        if len(versions) > 1
                        else 0
                    )
                    reply = self.put(key, put.value, expected).unwrap()
                    self.assertIsInstance(reply, put.reply)
                    found = self.value(key)
                    self.assertEqual(found.value, put.then)
                    self.assertEqual(found.version, reply.version)
                    if isinstance(reply, messages.Conflict):
                        self.assertEqual(reply.value, put.then)
                    if reply.version not in versions:
                        self.assertGreater(reply.version, max(versions))
                    versions.append(reply.version)

    def test_a_watch_returns_a_value_that_differs(self):
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

    def test_a_key_ends_with_its_lease(self):
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
    """What the injected faults do; a real service has no such control."""

    def test_faults(self):
        for fault, takes_effect in FAULT_CASES:
            with self.subTest(fault):
                key = self.key(f"fault {fault.value}")
                self.service.control({"fault": fault.value, "calls": 1})
                self.assertIsInstance(self.put(key, "one", 0), Failure)
                found = self.value(key)
                self.assertEqual(found.value is not None, takes_effect)

    def test_a_fault_lasts_until_it_is_ended(self):
        self.service.control({"fault": "refuses"})
        for _ in range(3):
            reply = self.service.call(messages.Read(self.key("outage")))
            self.assertIsInstance(reply, Failure)
        self.service.control({"fault": "none"})
        self.value(self.key("outage"))

    def test_a_restore_brings_the_older_value_under_a_new_version(self):
        key = self.key("restore")
        first = self.put(key, "one", 0).unwrap().version
        self.service.control({"backup": True})
        second = self.put(key, "two", first).unwrap().version
        self.service.control({"restore": True})
        found = self.value(key)
        self.assertEqual(found.value, "one")
        self.assertNotIn(found.version, (first, second))
