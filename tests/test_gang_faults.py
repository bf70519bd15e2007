"""Tests that inject one fault at each message of the gang protocol in turn."""

import unittest
from collections.abc import Callable

from dandelionpick import caller_messages
from dandelionpick import kinds
from dandelionpick import store_messages
from dandelionpick import worker_messages
from standins import store
from tests import builders
from tests import fabric
from tests import gang_oracle

INSTANCES = ("a1", "a2")
WORKERS = ("w1", "w2", "w3")
# Highest number of a message that is disturbed. One run sends writes, holds,
# starts, confirms and renewals; the highest numbers are beyond its end.
MAX_POSITION = 20
DELAY_S = 3.5
PARTITION_S = 90.0
# Allows for a lease of 60 s, a change of scheduler and another run.
END_S = 200.0
CLASSES = ("assessment", "scan", "stretch")


class FaultyFabric(fabric.Fabric):
    """Counts the messages of the gang protocol and disturbs one of them.

    Attributes:
        position: number of the message to disturb, from 1.
        fault: called with the sender and the call when that message is sent;
            returns True if the message must not be sent normally.
        disturbed_call: the disturbed call; None before it is sent.
    """

    def __init__(self, position: int, fault: Callable):
        super().__init__(seed=3)
        self.position = position
        self.fault = fault
        self.sent_count = 0
        self.disturbed_call = None

    def _call(self, name, state, call):
        message = call.message
        if isinstance(message, worker_messages.RenewLeases):
            counted = bool(message.gang_ids)
        else:
            counted = call.destination.service is kinds.Service.WORKER or (
                isinstance(message, store_messages.Write)
                and message.key.startswith("jobs/")
            )
        self.sent_count += counted
        if counted and self.sent_count == self.position:
            self.disturbed_call = call
            if self.fault(self, name, state, call):
                return
        super()._call(name, state, call)


def crash_before(built, name, state, call):
    """The scheduler crashes; the message is never sent."""
    built.crash(name)
    built.at(20.0, lambda: built.start_instance(name))
    return True


def crash_after(built, name, state, call):
    """The scheduler crashes while the message is in flight."""
    built.at(0.0005, lambda: built.crash(name))
    built.at(20.0, lambda: built.start_instance(name))
    return False


def pause(built, name, state, call):
    """The scheduler pauses for longer than any lease."""
    built.at(0.0005, lambda: built.pause(name))
    built.at(70.0, lambda: built.resume(name))
    return False


def pause_briefly(built, name, state, call):
    """The scheduler pauses for longer than holds and initial leases."""
    built.at(0.0005, lambda: built.pause(name))
    built.at(6.0, lambda: built.resume(name))
    return False


def partition_worker(built, name, state, call):
    """The receiver, or the first worker, is cut off for longer than a lease."""
    worker = call.destination.name or WORKERS[0]
    built.silent.add(worker)
    built.at(PARTITION_S, lambda: built.silent.discard(worker))
    return False


def partition_domain(built, name, state, call):
    """A network partition separates the failure domain from the platform."""
    built.cut("a", fabric.PLATFORM)
    built.at(PARTITION_S, built.heal)
    return False


def lose_reply(built, name, state, call):
    """The message takes effect, but its reply is lost."""
    built.at(0.003, lambda: built._arrive(call, lambda reply: None))
    built.at(call.timeout_s, lambda: fail_call(built, name, state, call))
    return True


def delay_message(built, name, state, call):
    """The message arrives after the call has timed out."""
    built.at(DELAY_S, lambda: built._arrive(call, lambda reply: None))
    built.at(call.timeout_s, lambda: fail_call(built, name, state, call))
    return True


def duplicate_message(built, name, state, call):
    """A duplicate of the message arrives late."""
    built.at(DELAY_S, lambda: built._arrive(call, lambda reply: None))
    return False


def restart_worker(built, name, state, call):
    """The receiver, or the first worker, restarts after the message arrives."""
    worker = call.destination.name or WORKERS[0]
    model = built.targets[worker]
    restart = built.new_incarnation()
    built.at(0.02, lambda: model.restart(restart, built.now_s))
    return False


def fail_call(built, name, state, call):
    """Ends a call without a reply."""
    event = fabric.events.Failed
    failure = kinds.CallFailure.LOST
    built._finish(
        name, state, lambda: event(built.moment(), call.call_id, failure)
    )


FAULTS = (
    crash_before,
    crash_after,
    pause,
    pause_briefly,
    partition_worker,
    partition_domain,
    lose_reply,
    delay_message,
    duplicate_message,
    restart_worker,
)


class GangFaults(unittest.TestCase):
    """The oracle's invariants hold with a fault at any message."""

    def run_case(self, fault: Callable, position: int, job_class: str) -> bool:
        """Runs one job with one fault; returns whether the fault occurred."""
        built = FaultyFabric(position, fault)
        built.store.entries["config/tree"] = store.Entry(1, builders.document())
        built.store.versions = 1
        models = {name: built.add_worker(name, "a") for name in WORKERS}
        oracle = gang_oracle.Oracle(models)
        for name in INSTANCES:
            built.add_instance(name, "a")
        built.run_for(8.0)
        job = builders.job(
            builders.uuid7(1, fabric.START_UNIX_MS),
            job_class,
            tasks=3,
            accelerators=8,
            payload='{"run_s": 20}',
        )
        oracle.submitted(job, job_class != "stretch")
        built.send("a1", job)
        ended = self.await_end(built, oracle, job)
        self.assertIsNotNone(ended, "the job did not end")
        if job_class != "stretch" and ended.state is kinds.JobState.UNKNOWN:
            # The submission itself may have been lost in the crash of the
            # instance that received it.
            self.assertIn(
                built.disturbed_call.message.__class__, (store_messages.Write,)
            )
        return built.disturbed_call is not None

    def await_end(self, built, oracle, job):
        """Returns the last status of a job; None if it does not end in time."""
        message = caller_messages.FetchJob(
            organisation=job.organisation, key=job.key
        )
        while built.now_s < END_S + PARTITION_S:
            for _ in range(10):
                built.run_for(0.5)
                oracle.check(built.now_s)
            name = next(n for n in INSTANCES if built.instances[n].state)
            if built.instances[name].paused:
                continue
            status = built.ask(name, message, limit_s=10.0)
            oracle.answered(status)
            if status and status.outcome is not kinds.Outcome.PENDING:
                problem = status.problem and status.problem.kind.value
                if problem != "store_unavailable":
                    return status
        return None

    def test_each_fault_at_each_message(self):
        for fault in FAULTS:
            for job_class in CLASSES:
                hits = 0
                # Non-idempotent jobs are tested with every message, others
                # with every second one.
                step = 1 if job_class == "stretch" else 2
                for position in range(1, MAX_POSITION + 1, step):
                    with self.subTest(
                        fault=fault.__name__,
                        position=position,
                        job_class=job_class,
                    ):
                        hits += self.run_case(fault, position, job_class)
                self.assertGreater(
                    hits, 9 // step, "the run sent too few messages"
                )


if __name__ == "__main__":
    unittest.main()
