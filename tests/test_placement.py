"""Tests of guarantees, borrowing, reservations and the queue."""

import unittest

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import reservations
from tests import builders
from tests import fabric
from tests import test_gangs as gangs

TREE = {
    **builders.TREE,
    "branches": {
        "ward": {},
        "station": {},
        "guarded": {
            "guarantees": {
                "wide": {"failure_domain": "a", "tasks": 4, "accelerators": 4}
            }
        },
    },
}
# Limit from the submission of a job to its start on a claimed shape.
CLAIM_S = 6.0


def submit_guarded_job(built: fabric.Fabric, number: int, **fields) -> None:
    """Submits a job of the shape that organisation `guarded` is guaranteed."""
    job = builders.job(
        gangs.job_key(number),
        **{"tasks": 4, "accelerators": 4, **fields},
        organisation=ids.OrganisationId("guarded"),
    )
    built.send("a-entry-1", job)


class PlacementTest(unittest.TestCase):
    def test_reclaims_a_guaranteed_shape_from_borrowers(self):
        """Guards P1 for a guaranteed shape that borrowers occupy.

        The borrowers are stopped, and resume from their checkpoints.
        """
        built = gangs.gang_fabric(tree=TREE)
        gangs.submit_jobs(built, range(1, 4), 40.0, job_class="scan")
        built.run_for(20.0)
        self.assertTrue(all(gangs.running_workers(built, n) for n in (1, 2, 3)))
        submit_guarded_job(built, 9, payload='{"run_s": 5}')
        self.assertTrue(
            built.run_until(lambda: gangs.running_workers(built, 9), CLAIM_S)
        )
        start_s = built.now_s
        for number in (1, 2, 3):
            status = gangs.await_end(built, number)
            self.assertEqual(status.state, kinds.JobState.FINISHED)
        # Without checkpoints two of them would take 40 s more from here.
        self.assertLess(built.now_s - start_s, 40.0)

    def test_jobs_that_cannot_be_rerun_never_borrow(self):
        """Guards P1 against borrowers that can't be stopped for a claim."""
        built = gangs.gang_fabric(tree=TREE)
        gangs.submit_jobs(built, range(1, 4), 40.0, job_class="stretch")
        built.run_for(10.0)
        held = [n for n in (1, 2, 3) if gangs.running_workers(built, n)]
        self.assertEqual(len(held), 1)
        submit_guarded_job(built, 9)
        self.assertTrue(
            built.run_until(lambda: gangs.running_workers(built, 9), CLAIM_S)
        )

    def test_jobs_that_cannot_be_rerun_are_not_preempted(self):
        """Guards against stopping a job that can't be run again."""
        built = gangs.gang_fabric(tree=TREE, workers=2)
        submit_guarded_job(
            built, 1, job_class="stretch", tasks=1, payload='{"run_s": 15}'
        )
        built.run_for(5.0)
        self.assertTrue(gangs.running_workers(built, 1))
        submit_guarded_job(built, 2, payload='{"run_s": 1}')
        status = gangs.await_end(built, 1, "guarded")
        self.assertEqual(status.state, kinds.JobState.FINISHED)
        status = gangs.await_end(built, 2, "guarded")
        self.assertEqual(status.state, kinds.JobState.FINISHED)

    def test_refuses_a_job_that_only_fits_on_guarantees_of_others(self):
        """Guards against accepting a job that can never be placed.

        The fuzz test found this fault.
        """
        built = gangs.gang_fabric(tree=TREE)
        job = builders.job(gangs.job_key(1), "stretch", tasks=3)
        status = built.ask("a-entry-1", job)
        self.assertEqual(
            status.problem.kind, errors.ProblemKind.SHAPE_TOO_LARGE
        )

    def test_a_second_claim_of_a_used_shape_waits_or_borrows(self):
        """Guards against a claim that stops gangs of the same organisation."""
        built = gangs.gang_fabric(tree=TREE, workers=2)
        submit_guarded_job(built, 1, payload='{"run_s": 20}')
        submit_guarded_job(built, 2, payload='{"run_s": 1}')
        built.run_for(2.0)
        for number in (1, 2):
            status = gangs.await_end(built, number, "guarded")
            self.assertEqual(status.run, 1)

    def test_unplanned_accelerators_come_before_borrowed_ones(self):
        """Guards against needless preemption.

        A job that borrows although unplanned accelerators are free would be
        stopped by the next claim.
        """
        built = gangs.gang_fabric(tree=TREE)
        gangs.submit_jobs(built, range(1, 2), 20.0)
        built.run_for(6.0)
        submit_guarded_job(built, 9)
        built.run_for(CLAIM_S)
        self.assertEqual(gangs.await_end(built, 1).run, 1)

    def test_a_wide_gang_is_not_starved_by_short_ones(self):
        """Guards against starvation of wide gangs by fragmentation."""
        built = gangs.gang_fabric()
        wide_start_s = None
        for number in range(1, 80):
            gangs.submit_jobs(built, range(number, number + 1), 9.0)
            if number == 3:
                job = builders.job(
                    gangs.job_key(999), "scan", tasks=3, accelerators=8
                )
                built.send("a-entry-1", job)
            built.run_for(3.0)
            if wide_start_s is None and gangs.part_states(built, 999):
                wide_start_s = built.now_s
        self.assertIsNotNone(wide_start_s)
        self.assertLess(wide_start_s, 9.0 + reservations.MIN_WAIT_S + 60.0)

    def test_the_queue_is_ordered_by_worth(self):
        """Guards against urgent jobs that wait behind a queue of long ones."""
        built = gangs.gang_fabric(workers=1)
        gangs.submit_jobs(built, range(1, 5), 5.0)
        gangs.submit_jobs(built, range(5, 6), 1.0, job_class="confirmation")
        built.run_for(1.0)
        status = gangs.await_end(built, 5)
        self.assertEqual(status.state, kinds.JobState.FINISHED)
        self.assertLess(built.now_s, 8.0 + 2 * 5.0 + 4.0)

    def test_a_smaller_job_overtakes_waiting_larger_jobs(self):
        """Guards against a job that is not tried because larger ones wait."""
        built = gangs.gang_fabric(workers=1)
        gangs.submit_jobs(built, range(1, 2), 30.0, accelerators=6)
        built.run_for(4.0)
        gangs.submit_jobs(built, range(2, 8), 1.0)
        gangs.submit_jobs(built, range(8, 9), 30.0, accelerators=2)
        built.run_for(6.0)
        self.assertTrue(gangs.running_workers(built, 8))

    def test_a_small_job_takes_the_best_fit(self):
        """Guards against small jobs that fragment the room for wide gangs."""
        built = gangs.gang_fabric()
        gangs.submit_jobs(built, range(1, 2), 30.0, accelerators=6)
        built.run_for(4.0)
        gangs.submit_jobs(built, range(2, 3), 30.0, accelerators=2)
        built.run_for(4.0)
        self.assertEqual(
            gangs.running_workers(built, 1), gangs.running_workers(built, 2)
        )


if __name__ == "__main__":
    unittest.main()
