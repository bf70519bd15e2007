"""Tests of the operator routes of a running process."""

import json
import pathlib
import tempfile
import unittest
import urllib.error
import urllib.request

from standins import deployment
from tests import builders

TIMEOUT_S = 30.0
CHANGE = {"path": "branches/ward/share", "value": 2.0}


class OperatorHttpTest(unittest.TestCase):
    """Guards against a missing route and one that decodes the wrong message."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        running = deployment.Deployment(pathlib.Path(folder.name))
        cls.addClassCleanup(running.stop)
        plan = deployment.DomainPlan("a", "r", 1, 0, 0)
        running.start([plan], builders.TREE)
        cls.address = running.entry_addresses()[0]

    def ask(self, path, body=None):
        """Sends a request; returns the status and decoded body of its reply."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self.address}{path}", data=data
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as reply:
                return reply.status, json.load(reply)
        except urllib.error.HTTPError as error:
            with error:
                return error.code, json.load(error)

    def test_operator_routes(self):
        edit = {"edit_id": "e1", "changes": [CHANGE], "operator": "mori"}
        wrong = {"edit_id": "e2", "changes": [{"path": "oops", "value": 1}]}
        cases = (
            ("/v1/tree", None, 200, "Tree"),
            ("/v1/simulated-edits", {"edit": edit}, 200, "EditSimulated"),
            ("/v1/edits", edit, 200, "EditAccepted"),
            ("/v1/edits", wrong, 400, "EditRefused"),
            ("/v1/edits", {"edit_id": "e3"}, 400, "Refused"),
            ("/v1/simulated-edits", {"edit": wrong}, 400, "EditRefused"),
            ("/v1/edits", None, 200, "Edits"),
            ("/v1/status", None, 200, "Status"),
        )
        for path, body, status, kind in cases:
            with self.subTest(path=path, body=body):
                found, reply = self.ask(path, body)
                self.assertEqual((found, reply["type"]), (status, kind))
        _, reply = self.ask("/v1/edits")
        self.assertEqual(
            [(e["edit_id"], e["revision"]) for e in reply["edits"]],
            [("e1", 2)],
        )


if __name__ == "__main__":
    unittest.main()
