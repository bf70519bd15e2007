"""Tests of the commands that call an entry instance."""

import json
import pathlib
import tempfile
import unittest
from typing import Any

from dandelionpick import caller_messages as caller
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import operator_messages as operator
from dandelionpick import peer_messages as peer
from dandelionpick.status import ExitStatus
from tests import fake_server
from tests import program

ORG = ids.OrganisationId("ward")
KEY = ids.RequestKey("k1")
REQUEST_PATH = "/v1/requests/ward/k1"
JOB_PATH = "/v1/jobs/ward/k1"
PROBLEM = errors.Problem(
    errors.ProblemKind.OVERLOADED, "The queue is full.", "Wait <a bit>."
)
TREE = {"classes": {"scan": {"worth": 1}}, "branches": {"ward": {}}}


def answer(outcome: kinds.Outcome, **fields: Any) -> caller.Answer:
    """Builds an answer to k1."""
    return caller.Answer(organisation=ORG, key=KEY, outcome=outcome, **fields)


def job(state: kinds.JobState, outcome: kinds.Outcome) -> caller.JobStatus:
    """Builds the status of job k1."""
    return caller.JobStatus(
        organisation=ORG, key=KEY, outcome=outcome, state=state
    )


class RequestCommandsTest(unittest.TestCase):
    """The exit status reports the outcome of a request to scripts."""

    SUBMIT = "request submit --organisation ward --class scan --body x"

    def test_prints_the_generated_key_and_the_answer(self):
        reply = answer(kinds.Outcome.COMPLETED, body=b"out <b>put</b>")
        replies = {("POST", "/v1/requests"): [reply]}
        with fake_server.FakeServer(replies) as server:
            ran = program.run(self.SUBMIT, address=server.address)
        self.assertEqual(ran.status, ExitStatus.OK)
        self.assertEqual(ran.output.strip(), "out <b>put</b>")
        sent = json.loads(server.received[0][2])
        self.assertIsNotNone(ids.key_timestamp_ms(sent["key"]))
        self.assertIn(sent["key"], ran.errors)
        self.assertEqual(sent["attempt"], 1)

    def test_exit_status_follows_the_outcome(self):
        expected = {
            kinds.Outcome.COMPLETED: ExitStatus.OK,
            kinds.Outcome.PENDING: ExitStatus.OK,
            kinds.Outcome.NOT_RUN: ExitStatus.REFUSED,
            kinds.Outcome.UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
        }
        for outcome, status in expected.items():
            replies = {("POST", "/v1/requests"): [answer(outcome)]}
            with (
                self.subTest(outcome),
                fake_server.FakeServer(replies) as server,
            ):
                ran = program.run(self.SUBMIT, address=server.address)
                self.assertEqual(ran.status, status)

    def test_cancelling_succeeds_only_if_the_request_did_not_run(self):
        expected = {
            kinds.Outcome.NOT_RUN: ExitStatus.OK,
            kinds.Outcome.COMPLETED: ExitStatus.REFUSED,
            kinds.Outcome.UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
            kinds.Outcome.PENDING: ExitStatus.OUTCOME_UNKNOWN,
        }
        for outcome, status in expected.items():
            replies = {("DELETE", REQUEST_PATH): [answer(outcome)]}
            with (
                self.subTest(outcome),
                fake_server.FakeServer(replies) as server,
            ):
                ran = program.run(
                    "request cancel k1 --organisation ward",
                    address=server.address,
                )
                self.assertEqual(ran.status, status)

    def test_fetch_quotes_the_key_and_asks_to_wait(self):
        key = "a/b ?#%"
        replies = {
            ("GET", f"/v1/requests/ward/{key}"): [
                answer(kinds.Outcome.COMPLETED)
            ]
        }
        with fake_server.FakeServer(replies) as server:
            ran = program.run(
                "request fetch --organisation ward --wait-s 2",
                key,
                address=server.address,
            )
        self.assertEqual(ran.status, ExitStatus.OK)
        self.assertIn("wait_s=2.0", server.received[0][1])

    def test_prints_problem_and_remedy(self):
        reply = answer(kinds.Outcome.NOT_RUN, problem=PROBLEM)
        replies = {("POST", "/v1/requests"): [reply]}
        with fake_server.FakeServer(replies) as server:
            ran = program.run(self.SUBMIT, address=server.address)
        self.assertIn("overloaded: The queue is full.", ran.errors)
        self.assertIn("Wait <a bit>.", ran.errors)

    def test_refusal_leaves_outcome_unknown_only_on_internal_errors(self):
        for kind, status in (
            (errors.ProblemKind.MALFORMED, ExitStatus.REFUSED),
            (errors.ProblemKind.INTERNAL, ExitStatus.OUTCOME_UNKNOWN),
        ):
            refused = peer.Refused(errors.Problem(kind, "m", "r"))
            replies = {("POST", "/v1/requests"): [refused]}
            with self.subTest(kind), fake_server.FakeServer(replies) as server:
                ran = program.run(self.SUBMIT, address=server.address)
                self.assertEqual(ran.status, status)


class UnreachableTest(unittest.TestCase):
    """An unreachable instance is not reported as a refusal."""

    def test_no_connection_has_its_own_exit_status(self):
        ran = program.run(
            RequestCommandsTest.SUBMIT, address=program.unused_address()
        )
        self.assertEqual(ran.status, ExitStatus.UNREACHABLE)
        self.assertIn("Nothing was sent", ran.errors)

    def test_a_lost_reply_leaves_the_outcome_unknown(self):
        replies = {("POST", "/v1/requests"): [b"<html>"]}
        with fake_server.FakeServer(replies) as server:
            ran = program.run(
                RequestCommandsTest.SUBMIT, address=server.address
            )
        self.assertEqual(ran.status, ExitStatus.OUTCOME_UNKNOWN)
        self.assertIn("not a dandelionpick message", ran.errors)

    def test_names_the_option_if_no_server_is_given(self):
        ran = program.CommandRun(["status"])
        self.assertEqual(ran.status, ExitStatus.USAGE)
        self.assertIn("--server", ran.errors)

    def test_the_option_takes_precedence_over_the_environment(self):
        replies = {("GET", REQUEST_PATH): [answer(kinds.Outcome.COMPLETED)]}
        with fake_server.FakeServer(replies) as server:
            ran = program.run(
                f"request fetch k1 --organisation ward --server"
                f" {server.address}",
                address=program.unused_address(),
            )
        self.assertEqual(ran.status, ExitStatus.OK)


class UsageTest(unittest.TestCase):
    """Invalid arguments are rejected before anything is sent."""

    def test_wrong_arguments(self):
        lines = {
            "request submit --class scan --body x": "--organisation",
            "request submit --organisation o --class c": "--body",
            "request submit --organisation o --class c --body x"
            " --deadline-s soon": "--deadline-s",
            "tree set a/b nonsense": "JSON",
            "tree set a/b": "--remove",
            "tree diff no-such-file": "no-such-file",
            "no-such-command": "no-such-command",
        }
        tree = operator.Tree(1, TREE)
        for line, hint in lines.items():
            replies = {("GET", "/v1/tree"): [tree]}
            with self.subTest(line), fake_server.FakeServer(replies) as server:
                ran = program.run(line, address=server.address)
                self.assertEqual(ran.status, ExitStatus.USAGE)
                self.assertIn(hint, ran.errors)
                posted = [r for r in server.received if r[0] != "GET"]
                self.assertEqual(posted, [])


class JobCommandsTest(unittest.TestCase):
    """Following a job polls it to its end; the exit status is its result."""

    def test_submits_the_resources_and_follows(self):
        queued = job(kinds.JobState.QUEUED, kinds.Outcome.PENDING)
        finished = job(kinds.JobState.FINISHED, kinds.Outcome.COMPLETED)
        replies = {
            ("POST", "/v1/jobs"): [queued],
            ("GET", JOB_PATH): [finished],
        }
        with fake_server.FakeServer(replies) as server:
            ran = program.run(
                "job submit --organisation ward --class scan --key k1"
                " --tasks 4 --accelerators 2 --follow",
                address=server.address,
            )
        self.assertEqual(ran.status, ExitStatus.OK)
        sent = json.loads(server.received[0][2])
        self.assertEqual((sent["tasks"], sent["accelerators"]), (4, 2))
        self.assertIn("state: finished", ran.errors)

    def test_follow_reports_each_state_once_and_the_failure(self):
        states = [
            job(kinds.JobState.RUNNING, kinds.Outcome.PENDING),
            job(kinds.JobState.FAILED, kinds.Outcome.COMPLETED),
        ]
        replies = {("GET", JOB_PATH): states}
        with fake_server.FakeServer(replies) as server:
            ran = program.run(
                "job follow k1 --organisation ward", address=server.address
            )
        self.assertEqual(ran.status, ExitStatus.FAILURE)
        self.assertEqual(ran.errors.count("state: running"), 1)

    def test_cancel(self):
        cancelled = job(kinds.JobState.CANCELLED, kinds.Outcome.NOT_RUN)
        replies = {("DELETE", JOB_PATH): [cancelled]}
        with fake_server.FakeServer(replies) as server:
            ran = program.run(
                "job cancel k1 --organisation ward", address=server.address
            )
        self.assertEqual(ran.status, ExitStatus.OK)


class TreeCommandsTest(unittest.TestCase):
    """The tree commands show and send exactly the intended changes."""

    def setUp(self):
        accepted = operator.EditAccepted(
            edit_id=ids.EditId("e1"), revision=8, in_force=["a"]
        )
        self.replies = {
            ("GET", "/v1/tree"): [operator.Tree(7, TREE)],
            ("POST", "/v1/edits"): [accepted],
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "tree.json"
        server = fake_server.FakeServer(self.replies)
        self.server = self.enterContext(server)

    def posted(self) -> dict[str, Any]:
        return json.loads(self.server.received[-1][2])

    def test_show_prints_a_file_that_edit_accepts(self):
        shown = program.run("tree show", address=self.server.address)
        self.file.write_text(shown.output)
        ran = program.run(
            "tree edit", str(self.file), address=self.server.address
        )
        self.assertEqual(ran.status, ExitStatus.OK)
        self.assertIn("changes nothing", ran.errors)

    def test_get_prints_a_branch_or_says_that_there_is_none(self):
        ran = program.run("tree get classes/scan", address=self.server.address)
        self.assertEqual(json.loads(ran.output), {"worth": 1})
        ran = program.run("tree get classes/none", address=self.server.address)
        self.assertEqual(ran.status, ExitStatus.REFUSED)

    def test_set_sends_one_change(self):
        ran = program.run(
            "tree set classes/scan/worth 2 --base-revision 7 --edit-id e1",
            address=self.server.address,
        )
        self.assertEqual(ran.status, ExitStatus.OK)
        self.assertIn("revision: 8", ran.output)
        posted = self.posted()
        self.assertEqual(posted["base_revision"], 7)
        self.assertEqual(
            posted["changes"],
            [{"path": "classes/scan/worth", "value": 2, "remove": False}],
        )

    def test_edit_sends_the_difference_based_on_the_files_revision(self):
        edited = {"classes": {"scan": {"worth": 3}}, "share": 2}
        self.file.write_text(json.dumps({"revision": 5, "tree": edited}))
        program.run("tree edit", str(self.file), address=self.server.address)
        posted = self.posted()
        self.assertEqual(posted["base_revision"], 5)
        self.assertEqual(
            [(c["path"], c["value"], c["remove"]) for c in posted["changes"]],
            [
                ("branches", None, True),
                ("classes/scan/worth", 3, False),
                ("share", 2, False),
            ],
        )

    def test_diff_shows_both_values_and_sends_nothing(self):
        edited = {**TREE, "classes": {"scan": {"worth": 3}}}
        self.file.write_text(json.dumps({"revision": 7, "tree": edited}))
        ran = program.run(
            "tree diff", str(self.file), address=self.server.address
        )
        self.assertEqual(
            ran.output.split("\n")[:2],
            ["- classes/scan/worth = 1", "+ classes/scan/worth = 3"],
        )
        self.assertEqual(len(self.server.received), 1)

    def test_a_refused_edit_has_its_exit_status(self):
        problem = errors.Problem(errors.ProblemKind.EDIT_CONFLICT, "m", "r")
        refused = operator.EditRefused(
            edit_id=ids.EditId("e1"), problem=problem, revision=9
        )
        self.replies[("POST", "/v1/edits")] = [refused]
        ran = program.run("tree set a 1", address=self.server.address)
        self.assertEqual(ran.status, ExitStatus.REFUSED)
        self.assertIn("current revision: 9", ran.errors)


class StatusCommandTest(unittest.TestCase):
    """The status command prints an instance's view as a table or JSON."""

    def setUp(self):
        member = operator.MemberStatus(
            ids.InstanceId("executor-1"),
            "executor",
            ids.FailureDomain("a"),
            "live",
        )
        self.reply = operator.Status(
            instance=ids.InstanceId("entry-1"),
            failure_domain=ids.FailureDomain("a"),
            revision=7,
            preferred=ids.InstanceId("entry-2"),
            leaving=True,
            members=[member],
        )

    def test_table_and_json(self):
        replies = {("GET", "/v1/status"): [self.reply]}
        with fake_server.FakeServer(replies) as server:
            table = program.run("status", address=server.address)
            text = program.run("status --json", address=server.address)
        self.assertIn("executor-1", table.output)
        self.assertIn("entry-1 in a, revision 7", table.output)
        self.assertIn("leaving", table.output)
        self.assertEqual(json.loads(text.output)["preferred"], "entry-2")


if __name__ == "__main__":
    unittest.main()
