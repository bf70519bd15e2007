"""Entries that another writer leaves among those of the targets."""

import json
import unittest

from returns import pipeline

from dandelionpick.platform import jobs
from dandelionpick.platform import keys
from dandelionpick.platform import targets
from tests import batch_builders as builders
from tests import test_batch_jobs

GOOD = {
    "service": "pool",
    "address": "t9:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
    "labels": ["kind", "r9"],
    "born": 5,
}
NESTED = b'{"extra":' + b"[" * 50_000 + b"]" * 50_000 + b"}"
ODD = {
    "nested": NESTED,
    "unreadable": b"\xff\xfe",
    "not a table": b"[]",
    **{
        f"{field}={value}": json.dumps({**GOOD, field: value}).encode()
        for field, value in (
            ("address", "t9:99999"),
            ("address", "t9:0"),
            ("address", "t9:\u00b2"),
            ("address", ":80"),
            ("address", "t9/../x:80"),
            ("address", "t 9:80"),
            ("born", 10**30),
            ("born", 2**53 + 1),
            ("born", -1),
            ("remaining_ms", 1e300),
            ("remaining_ms", -1),
            ("cold_remaining_ms", 1e300),
            ("cold_remaining_ms", -1),
            ("capacity", {"cpu": 10**40}),
            ("capacity", {"cpu": 1, "mem_mb": -1}),
            ("capacity", {"cpu": 1, "gpu": 2**60}),
        )
    },
}


class ForeignEntryTest(test_batch_jobs.BatchTest):
    """One odd entry does not keep the others from being used."""

    def test_odd_entries_are_refused(self):
        """Guards against entries that raise, or that no target can have."""
        good = targets.decode_entry("servers/t9", json.dumps(GOOD).encode())
        self.assertTrue(pipeline.is_successful(good))
        for name, value in ODD.items():
            with self.subTest(name):
                got = targets.decode_entry("servers/t9", value)
                self.assertFalse(pipeline.is_successful(got))

    def test_scheduler_follows_the_entries_after_an_odd_one(self):
        """Guards against a list that is not read on, at once or ever."""
        for name, value in ODD.items():
            with self.subTest(name):
                fabric = self.build(target_count=1)
                fabric.store.put(keys.TARGETS_PREFIX + "a-odd", value)
                fabric.add_target("t8", rack="r8")
                fabric.run_for(0.1)
                schedule = fabric.scheduler().state.schedule
                self.assertIn("t8", schedule.targets)
                fabric.kill(fabric.scheduler().name)
                fabric.run_until(fabric.scheduler, 5.0)
                fabric.submit(1, builders.body(builders.phase(16)), name="e1")
                fabric.until_completed(1, limit_s=6.0)

    def test_odd_entry_of_a_target_at_work_loses_no_runs(self):
        """Guards against an odd entry that is taken for a restart."""
        for name, value in ODD.items():
            with self.subTest(name):
                fabric = self.build(target_count=2)
                fabric.submit(1, builders.body(builders.phase(4), work_s=4.0))
                fabric.run_for(1.0)
                for target in fabric.world.targets.values():
                    if target.runs:
                        fabric.store.put(keys.TARGETS_PREFIX + target.id, value)
                fabric.until_completed(1, limit_s=8.0)
                self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_entry_of_another_service_is_no_restart(self):
        """Guards against a readable entry over the key of a target at work.

        It may name another address, another start or a state as well.
        """
        variants = (
            {},
            {"born": 10**12},
            {"born": 10**12, "address": "t9:80"},
            {"state": "draining"},
        )
        for fields in variants:
            with self.subTest(fields):
                fabric = self.build(target_count=2)
                fabric.run_for(4.0)
                fabric.submit(1, builders.body(builders.phase(4), work_s=6.0))
                fabric.run_for(1.0)
                busy = [t for t in fabric.world.targets.values() if t.runs]
                (target,) = busy
                key = keys.TARGETS_PREFIX + target.id
                foreign = {**GOOD, "address": target.address, **fields}
                foreign["service"] = "nowhere"
                fabric.store.put(key, json.dumps(foreign).encode())
                fabric.run_for(1.4)
                fabric.store.put(key, target.entry())
                fabric.until_completed(1, limit_s=8.0)
                self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_target_of_a_pool_that_is_added_later_is_used(self):
        """Guards against an entry that is refused before its pool is known."""
        fabric = self.build(target_count=1)
        target = fabric.world.targets["t0"]
        target.pool = "added"
        fabric.store.put(keys.TARGETS_PREFIX + "t0", target.entry())
        fabric.run_for(1.0)
        routes = [builders.route(number, service="added") for number in (0, 1)]
        value = builders.configuration_value(2, routes=routes)
        fabric.store.put(keys.CONFIGURATION_KEY, value)
        fabric.run_for(1.0)
        fabric.submit(1, builders.body())
        fabric.until_completed(1, limit_s=5.0)


class NestedBodyTest(unittest.TestCase):
    """A caller sends a body that is nested very deeply."""

    def test_nested_job_is_refused(self):
        """Guards against an internal error for a body that is invalid."""
        self.assertFalse(pipeline.is_successful(jobs.decode(NESTED)))


if __name__ == "__main__":
    unittest.main()
