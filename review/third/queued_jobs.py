"""Forty accepted jobs that wait for room end every process in turn.

A finding beside the cases, run as they are:
`PYTHONPATH=target/deps:. python3 review/third/queued_jobs.py` writes
`queued-jobs/record.txt` here and exits with 3 if the rule was broken.
"""

import pathlib
import sys

import rig

FOLDER = pathlib.Path(__file__).resolve().parent / "queued-jobs"
# No executor has the label, so that no work item ever starts.
BODY = {
    "spec": "{}",
    "phases": [
        {
            "count": 20_000,
            "cpu": 1000,
            "gpu": 1,
            "requirements": "none-has-it",
            "estimate_ms": 5000,
        }
    ],
}

if __name__ == "__main__":
    FOLDER.mkdir(exist_ok=True)
    case = rig.LoadCase(40, BODY, 95.0)
    sys.exit(rig.run_case(rig.load(case, FOLDER)))
