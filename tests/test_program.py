"""Tests of the commands that call no running instance."""

import pathlib
import socket
import tempfile
import unittest

from dandelionpick.status import ExitStatus
from tests import program


class RunCommandTest(unittest.TestCase):
    """An instance that fails to start reports the reason."""

    def test_address_in_use(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "entry.ini"
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            holder.listen()
            address = f"127.0.0.1:{holder.getsockname()[1]}"
            path.write_text(
                "[instance]\nname = e\nfailure_domain = a\nregion = r\n"
                f"listen = {address}\n"
                "[platform]\nstore = 127.0.0.1:1\n"
                "instance_list = 127.0.0.1:2\n"
            )
            ran = program.CommandRun(["run", str(path)])
        self.assertEqual(ran.status, ExitStatus.FAILURE)
        self.assertIn(f"{address}: cannot listen", ran.errors)


class CompletionTest(unittest.TestCase):
    """The completion script lists the commands of this program."""

    def test_bash_completion_names_commands_and_options(self):
        ran = program.CommandRun(["completions", "bash"])
        self.assertEqual(ran.status, ExitStatus.OK)
        self.assertIn("request submit", ran.output.replace("'", ""))
        self.assertIn("--organisation", ran.output)


if __name__ == "__main__":
    unittest.main()
