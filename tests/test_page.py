"""Tests of the status page."""

import unittest
from unittest import mock

from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick import operator_messages as operator
from dandelionpick import runtime as runtime_lib
from tests import http_instance
from tests import limited

STATUS = operator.Status(
    instance=ids.InstanceId("entry-1"),
    failure_domain=ids.FailureDomain("a"),
    revision=7,
    preferred=ids.InstanceId("entry-2"),
    leaving=False,
    members=[
        operator.MemberStatus(
            ids.InstanceId("<b>executor</b>"),
            "executor",
            ids.FailureDomain("a"),
            "live",
        )
    ],
)


class PageTest(limited.TimeoutTestCase):
    """The status page shows an instance's state without the command line."""

    async def fetch(self, reply) -> tuple[int, str]:
        """Fetches the page while the reducer returns the given reply."""

        def receive(message, state, step, exchange_id):
            self.assertIsInstance(message, operator.ReadStatus)
            step.respond(exchange_id, reply)

        runtime = await http_instance.runtime_with()
        with mock.patch.object(dispatch, "on_message", receive):
            async with http_instance.serve(runtime) as served:
                status, headers, text = await served.converse(
                    http_instance.get("/")
                )
        self.assertIn("text/html", headers["content-type"])
        return status, text

    async def test_shows_the_status_and_escapes_names(self):
        status, text = await self.fetch(STATUS)
        self.assertEqual(status, 200)
        self.assertIn("<td>7</td>", text)
        self.assertIn("&lt;b&gt;executor&lt;/b&gt;", text)
        self.assertNotIn("<b>", text)

    async def test_shows_why_there_is_no_status(self):
        status, text = await self.fetch(runtime_lib.INTERNAL_ERROR)
        self.assertEqual(status, 500)
        self.assertIn("internal", text)


if __name__ == "__main__":
    unittest.main()
