"""Instances of a region without the store read the configuration from a few.

The load replayed is a configuration that grows by a thousand routes while fifty
instances share one link to the store.
"""

import unittest
from unittest import mock

from dandelionpick import errors
from dandelionpick.batch import catalog_sources
from dandelionpick.batch import monitoring
from dandelionpick.batch import monitoring_state
from dandelionpick.batch import readiness
from dandelionpick.platform import keys
from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

INSTANCES = 8
FAR_RTT_S = 0.028
# The scheduler's first assignment, and a Monitor call that brings it.
ASSIGNED_S = catalog_sources.MIN_TENURE_S + 2.5
# Bound on a change of the configuration at the small deployments.
APPLY_S = 2.5
# A read of the store by an instance of another region that is busy.
STORE_READ_S = 0.3
STORE = "store"


class CatalogCopyTest(test_batch_jobs.BatchTest):
    """Eight instances that are all far from the store."""

    def build_far(self, rtt_s: float = FAR_RTT_S) -> batch_fabric.Fabric:
        fabric = self.build(instances=INSTANCES)
        far = mock.patch.object(monitoring, "_store_rtt_s", lambda _: rtt_s)
        self.enterContext(far)
        fabric.run_for(ASSIGNED_S)
        return fabric

    def copying(self, fabric) -> list[batch_fabric.Instance]:
        return [
            instance
            for instance in fabric.instances.values()
            if instance.up and instance.state.catalog.copying
        ]

    def change(self, fabric, version: int = 2, **fields) -> None:
        value = builders.configuration_value(version, **fields)
        fabric.store.put(keys.CONFIGURATION_KEY, value)

    def versions(self, fabric) -> set[int]:
        return {
            instance.state.catalog.current.version
            for instance in fabric.instances.values()
            if instance.up and not instance.frozen
        }

    def test_all_but_two_read_from_another_instance(self):
        """Guards against one copy for each instance over a narrow link."""
        fabric = self.build_far()
        expected = INSTANCES - 1 - catalog_sources.SOURCES_PER_REGION
        self.assertEqual(len(self.copying(fabric)), expected)
        self.change(fabric)
        fabric.run_until(lambda: self.versions(fabric) == {2}, APPLY_S)

    def test_instances_near_the_store_read_from_it(self):
        """Guards against a needless hop in the region of the store."""
        fabric = self.build_far(rtt_s=0.004)
        self.assertEqual(self.copying(fabric), [])

    def test_lost_sources_are_replaced_by_the_store(self):
        """Guards against instances that miss a change with their source."""
        for fault in ("kill", "freeze", "cut_power"):
            with self.subTest(fault):
                fabric = self.build_far()
                readers = self.copying(fabric)
                for source in {
                    reader.state.catalog.source.partition(":")[0]
                    for reader in readers
                }:
                    getattr(fabric, fault)(source)
                self.change(fabric)
                fabric.run_until(lambda f=fabric: self.versions(f) == {2}, 4.0)

    def test_source_that_the_store_refuses_is_left(self):
        """Guards against keys that are checked against an old copy."""
        fabric = self.build_far()
        readers = self.copying(fabric)
        source = readers[0].state.catalog.source.partition(":")[0]
        fabric.store.outages[source] = platform_store.Outage.BUSY
        # The call that is waiting at the store would still tell of a change.
        fabric.run_for(1.0)
        tenants = [builders.tenant(builders.ORGANISATION, "key-2", 8)]
        self.change(fabric, tenants=tenants)
        fabric.run_for(5.0)
        for reader in readers:
            self.assertEqual(reader.state.catalog.current.version, 2)
            message = builders.submit(1, builders.one_task())
            reply = fabric.ask(reader.name, message)
            self.assertIs(
                reply.problem.kind, errors.ProblemKind.UNAUTHENTICATED
            )

    def all_copying(self, fabric, number: int) -> list[batch_fabric.Instance]:
        """Waits until all readers copy, and a little longer."""
        expected = INSTANCES - 1 - catalog_sources.SOURCES_PER_REGION
        fabric.run_until(lambda: len(self.copying(fabric)) == expected, 20.0)
        fabric.run_for(1.0 + 0.07 * number)
        return self.copying(fabric)

    def lateness_s(self, fabric, readers, version: int) -> float:
        """Changes the configuration; returns when the readers have it."""
        self.change(fabric, version)
        changed_s = fabric.now_s
        while any(
            reader.state.catalog.current.version < version for reader in readers
        ):
            self.assertLess(fabric.now_s, changed_s + 10.0)
            fabric.run_for(0.01)
        return fabric.now_s - changed_s

    def test_change_while_a_source_is_cut_from_the_store(self):
        """Guards against readers that wait too long for their source.

        The change and the cut come at various moments of the calls between
        readers, source and store.
        """
        fabric = self.build_far()
        version = 1
        for before_s in (0.03, 0.4):
            for number in range(12):
                readers = self.all_copying(fabric, number)
                source = readers[0].state.catalog.source.partition(":")[0]
                fabric.part(source, STORE)
                fabric.run_for(before_s)
                version += 1
                late_s = self.lateness_s(fabric, readers, version)
                self.assertLess(late_s, APPLY_S - STORE_READ_S)
                fabric.cut.clear()

    def test_change_while_the_store_refuses_a_source(self):
        """Guards against the same if the store answers with an error."""
        fabric = self.build_far()
        version = 1
        for before_s in (0.6, 1.0):
            for number in range(12):
                readers = self.all_copying(fabric, number)
                source = readers[0].state.catalog.source.partition(":")[0]
                fabric.store.outages[source] = platform_store.Outage.BUSY
                fabric.run_for(before_s)
                version += 1
                late_s = self.lateness_s(fabric, readers, version)
                self.assertLess(late_s, APPLY_S - STORE_READ_S)
                fabric.store.outages.clear()

    def test_change_while_a_source_does_not_answer(self):
        """Guards against readers that wait too long for a silent source."""
        fabric = self.build_far()
        version = 1
        for number in range(12):
            readers = self.all_copying(fabric, number)
            source = readers[0].state.catalog.source.partition(":")[0]
            for name in fabric.instances:
                fabric.part(source, name)
            version += 1
            late_s = self.lateness_s(fabric, readers, version)
            self.assertLess(late_s, APPLY_S - STORE_READ_S)
            fabric.cut.clear()

    def test_readers_stay_ready(self):
        """Guards against instances that leave the balancer while reading."""
        fabric = self.build_far()
        readers = self.copying(fabric)
        for _ in range(80):
            fabric.run_for(0.1)
            for reader in readers:
                reason = readiness.reason_not_ready(reader.state, fabric.now_s)
                self.assertEqual(reason, "")

    def test_new_scheduler_reads_from_the_store(self):
        """Guards against a scheduler that depends on another instance."""
        fabric = self.build_far()
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 3.0)
        fabric.run_for(ASSIGNED_S)
        self.assertFalse(fabric.scheduler().state.catalog.copying)

    def test_leaving_source_releases_its_readers(self):
        """Guards against readers that wait for a process that is stopping."""
        fabric = self.build_far()
        readers = self.copying(fabric)
        source = readers[0].state.catalog.source.partition(":")[0]
        fabric.stop(source)
        fabric.run_for(1.0)
        for reader in readers:
            if reader.state.catalog.source.startswith(f"{source}:"):
                self.assertFalse(reader.state.catalog.copying)


class SourceChoiceTest(unittest.TestCase):
    """The strongest instances of a region are the sources."""

    def source_for(self, name: str, members: int = 6) -> str:
        state = builders.state("e0")
        for number in range(members):
            state.monitoring.candidates[f"i{number}"] = (
                monitoring_state.Candidate(
                    2.0 if number < 2 else 0.5,
                    0.0,
                    "far",
                    f"i{number}:1",
                    0.028,
                )
            )
        return catalog_sources.source_for(state, name, 1.0)

    def test_strong_instances_are_sources(self):
        """Guards against a weak link that serves a whole region."""
        self.assertEqual(self.source_for("i0"), "")
        self.assertEqual(self.source_for("i1"), "")
        for number in range(2, 6):
            self.assertIn(self.source_for(f"i{number}"), ("i0:1", "i1:1"))

    def test_few_instances_read_from_the_store(self):
        """Guards against another hop where it saves nothing."""
        self.assertEqual(self.source_for("i3", members=4), "")

    def test_new_scheduler_changes_nothing(self):
        """Guards against sources that change with each takeover."""
        state = builders.state("e0")
        state.election.elected_s = 0.0
        self.assertIsNone(catalog_sources.source_for(state, "i0", 1.0))

    def test_unknown_instances_read_from_the_store(self):
        """Guards against an assignment of an instance that never called."""
        self.assertEqual(self.source_for("i9"), "")


if __name__ == "__main__":
    unittest.main()
