"""Contract tests of the ingress: callers' requests and health checks."""

import asyncio
import json
import unittest
from typing import Any

from dandelionpick import errors
from dandelionpick import events
from dandelionpick import http_bodies
from dandelionpick import tracing
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.platform import configuration
from dandelionpick.platform import ingress
from tests import batch_builders as builders

PATH = builders.PREFIXES[1] + builders.job_id(1)


class FakeRuntime:
    """Returns the same reply to each message and records the messages."""

    def __init__(self, reply: Any = None):
        self.state = builders.state("e0")
        self.tracer = tracing.Tracer("e0", 0.0)
        self.reply = reply or messages.Accepted()
        self.messages: list[Any] = []

    async def exchange(self, message: Any, trace: str) -> Any:
        """Records a message and returns the reply."""
        self.messages.append(message)
        return self.reply

    def moment(self) -> events.Moment:
        """Returns a fixed time."""
        return events.Moment(10.0, 0, 0.5)


class IngressTest(unittest.TestCase):
    """Base class that calls the ASGI applications without a network."""

    def call(
        self,
        runtime: FakeRuntime,
        method: str = "POST",
        path: str = PATH,
        body: bytes = b"",
        health: bool = False,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        build = ingress.build_health_app if health else ingress.build_caller_app
        budget = http_bodies.Budget()
        app = build(runtime) if health else build(runtime, 0.05, budget)
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": b"",
            "headers": [
                (name.replace("_", "-").encode(), value.encode())
                for name, value in {"host": builders.HOST, **headers}.items()
            ],
        }
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            if body is None:
                await asyncio.sleep(60.0)
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        asyncio.run(app(scope, receive, send))
        raw = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
        content = b"".join(part.get("body", b"") for part in sent[1:])
        return sent[0]["status"], raw, content


class RequestTest(IngressTest):
    """Guards against requests and replies that are translated wrongly."""

    def test_requests_become_messages(self):
        runtime = FakeRuntime()
        headers = {
            "authorization": "Bearer k",
            "x_deadline_ms": "1500",
        }
        self.call(runtime, body=builders.body(), **headers)
        self.call(runtime, "GET", **headers)
        self.call(runtime, "DELETE", **headers)
        types = [type(message) for message in runtime.messages]
        expected = [messages.Submit, messages.Inspect, messages.Cancel]
        self.assertEqual(types, expected)
        for message in runtime.messages:
            self.assertEqual(message.host, builders.HOST)
            self.assertEqual(message.path, PATH)
            self.assertEqual(message.credential, "k")
            self.assertEqual(message.deadline_s, 1.5)

    def test_invalid_deadlines_fall_back_to_the_default(self):
        for text in ("", "x", "-1", "0", "nan", "inf"):
            with self.subTest(text):
                runtime = FakeRuntime()
                self.call(runtime, "GET", x_deadline_ms=text)
                deadline_s = runtime.messages[0].deadline_s
                self.assertEqual(deadline_s, ingress.DEFAULT_DEADLINE_S)

    def test_invalid_bodies_are_refused_before_the_reducer(self):
        runtime = FakeRuntime()
        value = builders.configuration_value(
            1, limits={"max_body_bytes": 1_000}
        )
        catalog = configuration.decode(value).unwrap()
        runtime.state.catalog.current = catalog
        cases = ((b"{", 400), (b"\xff\xfe", 400), (b"x" * 1_001, 413))
        for body, status in (*cases, (None, 408)):
            with self.subTest(status=status):
                got = self.call(runtime, body=body)
                self.assertEqual(got[0], status)
                self.assertIn("remedy", json.loads(got[2]))
        self.assertEqual(runtime.messages, [])

    def test_replies_have_the_status_that_the_platform_expects(self):
        kind = errors.ProblemKind
        cases = (
            (messages.Accepted(), 200, {}),
            (
                messages.JobView(model.JobState.ACTIVE),
                200,
                {"state": "active"},
            ),
            (messages.QueueView(12), 200, {"pending": 12}),
            (kind.UNAUTHENTICATED, 401, None),
            (kind.UNKNOWN_PATH, 404, None),
            (kind.UNKNOWN_KEY, 410, None),
            (kind.OVERLOADED, 429, None),
            (kind.STORE_UNAVAILABLE, 503, None),
            (kind.NO_CONFIGURATION, 503, None),
            (kind.OUTCOME_UNKNOWN, 504, None),
            (kind.INTERNAL, 504, None),
        )
        for reply, status, body in cases:
            with self.subTest(reply=reply):
                if isinstance(reply, errors.ProblemKind):
                    problem = errors.Problem(reply, "message", "remedy")
                    reply = messages.Refused(problem, 1.2)
                got = self.call(FakeRuntime(reply), "GET")
                self.assertEqual(got[0], status)
                if body is None:
                    self.assertEqual(got[1]["retry-after"], "2")
                else:
                    self.assertEqual(json.loads(got[2]), body)


class HealthTest(IngressTest):
    """Guards against readiness of an instance that can't serve."""

    def probe(self, runtime: FakeRuntime) -> int:
        return self.call(runtime, "GET", "/readyz", health=True)[0]

    def test_not_ready_without_configuration_or_while_draining(self):
        runtime = FakeRuntime()
        self.assertEqual(self.probe(runtime), 503)
        value = builders.configuration_value()
        runtime.state.catalog.current = configuration.decode(value).unwrap()
        self.assertEqual(self.probe(runtime), 503)
        watch = ingress.readiness.admission.watches.CatalogWatch("op/", 1.0)
        watch.confirmed_s = 9.0
        runtime.state.watches[type(watch)] = watch
        self.assertEqual(self.probe(runtime), 200)
        runtime.state.drain.requested_s = 9.5
        self.assertEqual(self.probe(runtime), 503)


if __name__ == "__main__":
    unittest.main()
