"""Tests that an interrupted demo leaves no process running."""

import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

LIMIT_S = 60.0
POLL_S = 0.05
ROOT = pathlib.Path(__file__).resolve().parent.parent


def children_of(process_id: int) -> set[int]:
    """Returns the ids of a process's children."""
    path = pathlib.Path(f"/proc/{process_id}/task/{process_id}/children")
    return {int(text) for text in path.read_text().split()}


def is_running(process_id: int) -> bool:
    """Returns whether a process exists and is not a zombie."""
    try:
        stat = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return False
    return stat.rsplit(")", 1)[1].split()[0] != "Z"


class InterruptTest(unittest.TestCase):
    """Guards against processes that keep running after Ctrl-C."""

    def interrupt_demo(self, children: int, signals: int) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        demo = subprocess.Popen(
            [sys.executable, "-m", "standins.demo", folder.name],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(demo.kill)
        end_s = time.monotonic() + LIMIT_S
        started: set[int] = set()
        while len(started) < children and time.monotonic() < end_s:
            self.assertIsNone(demo.poll(), "the demo ended early")
            started |= children_of(demo.pid)
            time.sleep(POLL_S)
        for _ in range(signals):
            started |= children_of(demo.pid)
            demo.send_signal(signal.SIGINT)
            time.sleep(POLL_S)
        self.assertEqual(demo.wait(LIMIT_S), 130)
        self.assertEqual({pid for pid in started if is_running(pid)}, set())

    def test_during_the_start_and_again_during_the_stop(self):
        self.interrupt_demo(children=1, signals=2)

    def test_with_everything_running(self):
        self.interrupt_demo(children=40, signals=1)


if __name__ == "__main__":
    unittest.main()
