"""End-to-end test of the platform mode with real processes on loopback."""

import pathlib
import tempfile
import unittest

from standins import platform_demo


class DemoTest(unittest.TestCase):
    """Guards against components that only work in virtual time."""

    def test_jobs_complete_although_the_scheduler_is_killed(self):
        with tempfile.TemporaryDirectory() as folder:
            status = platform_demo.main([folder])
            logs = "\n".join(
                path.read_text()[-4_000:]
                for path in pathlib.Path(folder).glob("*.log")
            )
        self.assertEqual(status, 0, logs)


if __name__ == "__main__":
    unittest.main()
