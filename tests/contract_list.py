"""Contract tests that every implementation of the instance list passes."""

from returns.result import Failure

from dandelionpick import list_messages as messages
from tests import builders


class ListContract:
    """The behaviour that membership relies on.

    The list is changed with `service.control`.
    """

    def read(self) -> list[str]:
        """Returns the ids of the listed entries."""
        reply = self.service.call(messages.ReadInstances()).unwrap()
        return [entry.id for entry in reply.entries]

    def publish(self, *names: str) -> None:
        entries = [builders.instance_entry(name, "a") for name in names]
        self.service.control({"entries": builders.to_json_values(entries)})

    def test_keeps_every_field_of_every_role(self):
        entries = [
            builders.instance_entry("entry", "a"),
            builders.executor_entry("executor", "b", slots=3),
            builders.worker_entry("worker", "c", "rack-9", accelerators=4),
        ]
        self.service.control({"entries": builders.to_json_values(entries)})
        self.service.wait_until(lambda: len(self.read()) == 3)
        reply = self.service.call(messages.ReadInstances()).unwrap()
        self.assertEqual(reply.entries, entries)

    def test_tells_a_reader_that_nothing_has_changed(self):
        self.publish("x1")
        self.service.wait_until(lambda: self.read() == ["x1"])
        etag = self.service.call(messages.ReadInstances()).unwrap().etag
        same = self.service.call(messages.ReadInstances(etag)).unwrap()
        self.assertEqual(same, messages.InstancesUnchanged(etag))
        self.publish("x1", "x2")
        self.service.wait_until(lambda: self.read() == ["x1", "x2"])
        changed = self.service.call(messages.ReadInstances(etag)).unwrap()
        self.assertIsInstance(changed, messages.Instances)
        self.assertNotEqual(changed.etag, etag)

    def test_shows_changes_after_the_lag_in_their_order(self):
        self.publish("x1")
        self.publish("x1", "x2")
        self.service.wait_until(lambda: self.read() == ["x1", "x2"])
        self.service.control({"lag_s": 600.0})
        self.publish()
        self.assertEqual(self.read(), ["x1", "x2"])
        self.service.control({"lag_s": 0.0})
        self.assertEqual(self.read(), [])

    def test_faults(self):
        for fault in ("refuses", "silent", "loses_replies"):
            with self.subTest(fault):
                self.service.control({"fault": fault, "calls": 1})
                reply = self.service.call(messages.ReadInstances())
                self.assertIsInstance(reply, Failure)
                self.read()
