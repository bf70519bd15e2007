"""Faults that operators of similar systems have reported.

One class for each report that no other module covers: what a suspended
process does when it resumes, hand-overs, malformed messages, restarts, and lost
answers.
"""

import asyncio
import unittest
from typing import Any

import msgspec

from dandelionpick import errors
from dandelionpick import http_bodies
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import runtime as runtime_lib
from dandelionpick import tracing
from dandelionpick.batch import leadership
from dandelionpick.batch import messages
from dandelionpick.batch import peer_api
from dandelionpick.batch import reducer
from dandelionpick.platform import keys
from tests import batch_builders as builders
from tests import batch_fabric
from tests import http_instance
from tests import test_batch_jobs


class SuspendedSchedulerTest(test_batch_jobs.BatchTest):
    """A scheduler is suspended, replaced, and resumes."""

    def test_nothing_is_started_where_the_successor_could_not_list(self):
        """Guards against starts under a lease that ran out meanwhile.

        The target answers the suspended scheduler and not its successor, so
        that no higher epoch protects it. The store has become silent too.
        """
        fabric = self.build(target_count=1)
        first = fabric.scheduler()
        for name in fabric.instances:
            if name != first.name:
                fabric.part(name, "t0")
        steps = (
            builders.phase(1, gpu=8),
            builders.phase(1, gpu=8, after=[0]),
        )
        fabric.submit(1, builders.body(*steps, work_s=0.9), name=first.name)
        fabric.run_for(0.3)
        fabric.freeze(first.name)
        fabric.run_for(3.0)
        self.assertIsNot(fabric.scheduler(), first)
        held = first.held_events
        first.held_events = [
            event for event in held if not _is_store_reply(first, event)
        ]
        fabric.part(first.name, "store")
        fabric.thaw(first.name)
        fabric.run_for(0.3)
        self.assertNotIn(f"{builders.job_id(1)}.0.1.0", fabric.world.starts)


def _is_store_reply(instance: batch_fabric.Instance, event) -> bool:
    """Returns whether an event is a reply of the store, which comes late."""
    call = instance.state.calls.get(getattr(event, "call_id", None))
    return call is not None and call.destination.service is kinds.Service.STORE


class HandOverTest(test_batch_jobs.BatchTest):
    """The scheduler hands over while its starts are on their way."""

    def test_orders_are_sent_once(self):
        """Guards against two processes that both act around a hand-over."""
        for delay_s in (0.0, 0.002, 0.01, 0.05):
            with self.subTest(delay_s):
                fabric = self.build(target_count=4)
                first = fabric.scheduler()
                for number in range(1, 4):
                    body = builders.body(builders.phase(6), work_s=2.0)
                    fabric.submit(number, body, name=first.name)
                fabric.run_for(delay_s)
                state = first.state
                step = builders.step(fabric.moment())
                leadership.hand_over(state, step)
                for effect in step.emitted:
                    fabric._perform(first, effect)
                fabric.until_completed(1, 2, 3, limit_s=12.0)
                self.assertEqual(set(fabric.world.starts.values()), {1})


class MalformedMessageTest(unittest.TestCase):
    """Frames that no process sends, on the listener for other instances."""

    FRAMES = (
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe",
        b'{"type":"unknown"}',
        b'{"type":"monitor"}',
        b'{"type":"monitor","epoch":"x","wait_s":1}',
        b'{"type":"monitor","epoch":1,"wait_s":null}',
        b'{"type":"relay"}',
        b'{"type":"relay","request":{"type":"submit"}}',
        b'{"type":"relay","request":{"type":"inspect","host":1}}',
        b'{"type":"monitor","epoch":1,"wait_s":1}' + b"}" * 1_000,
    )

    def test_each_frame_is_refused_and_the_process_goes_on(self):
        """Guards against one frame that takes a process down."""
        asyncio.run(self.post_frames())

    async def post_frames(self) -> None:
        runtime = runtime_lib.Runtime(
            builders.state("e0"),
            reducer.reduce_guarded,
            http_instance.send_unreachable,
            tracing.Tracer("e0", 0.0),
        )
        app = peer_api.build(runtime, http_bodies.Budget())
        for frame in self.FRAMES:
            with self.subTest(frame[:40]):
                self.assertEqual((await self.post(app, frame))[0], 400)
        message = msgspec.json.encode(messages.Monitor(ids.Epoch(1), 0.0))
        self.assertEqual(
            await self.post(app, message), (200, b'{"type":"not_scheduler"}')
        )

    async def post(self, app: Any, frame: bytes) -> tuple[int, bytes]:
        """Posts a frame; returns the status and the body of the reply."""
        scope = {
            "type": "http",
            "method": "POST",
            "path": peer_api.PEER_PATH,
            "query_string": b"",
            "headers": [],
        }
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": frame, "more_body": False}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        await app(scope, receive, send)
        body = b"".join(part.get("body", b"") for part in sent[1:])
        return sent[0]["status"], body


class RestartTest(test_batch_jobs.BatchTest):
    """All processes restart after a target has left and a key was withdrawn."""

    def test_target_that_left_and_withdrawn_key_stay_out(self):
        """Guards against state from before a restart that is used again."""
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(builders.phase(2), work_s=1.0))
        fabric.until_completed(1)
        fabric.drain_target("t1", leaves_s=1.0)
        tenants = [builders.tenant(builders.ORGANISATION, "key-2", 8)]
        value = builders.configuration_value(2, tenants=tenants)
        fabric.store.put(keys.CONFIGURATION_KEY, value)
        fabric.run_for(2.0)
        for name in list(fabric.instances):
            fabric.kill(name)
        fabric.run_for(0.5)
        fabric.world.targets["t1"].boot(fabric.now_s)
        for name in list(fabric.instances):
            fabric.start_instance(name)
        fabric.run_until(fabric.scheduler, 5.0)
        reply = fabric.ask("e0", builders.submit(2, builders.one_task()))
        self.assertIs(reply.problem.kind, errors.ProblemKind.UNAUTHENTICATED)
        body = builders.body(builders.phase(16), work_s=0.5)
        fabric.register(3, body)
        spec = batch_fabric.jobs.decode(body).unwrap()
        fabric.ask("e0", builders.submit(3, spec, credential="key-2"))
        fabric.run_for(6.0)
        self.assertFalse(fabric.world.targets["t1"].last_ended_attempt)
        self.assertFalse(fabric.world.targets["t1"].runs)


class LostAnswerTest(test_batch_jobs.BatchTest):
    """Targets carry orders out, and some of their answers are lost."""

    def test_done_work_is_not_repeated(self):
        """Guards against work that runs again after a lost answer."""
        for seed in range(1, 9):
            with self.subTest(seed):
                fabric = self.build(seed=seed, target_count=4)
                for number in range(1, 5):
                    body = builders.body(builders.phase(4), work_s=1.5)
                    fabric.submit(number, body)
                for _ in range(12):
                    muted = fabric.random.choice(sorted(fabric.world.targets))
                    fabric.muted_targets = {muted}
                    fabric.run_for(0.4)
                fabric.muted_targets = set()
                fabric.until_completed(1, 2, 3, 4, limit_s=15.0)
                self.assertEqual(set(fabric.world.starts.values()), {1})


if __name__ == "__main__":
    unittest.main()
