"""Five accepted jobs of 20,000 work items end every process in turn."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "third"))

import rig  # noqa: E402

# Fields whose value is 0 are left out, so that any executor has room.
BODY = {
    "spec": '{"work_s": 60}',
    "phases": [{"count": 20_000, "estimate_ms": 60000}],
}

if __name__ == "__main__":
    case = rig.LoadCase(5, BODY, 95.0)
    sys.exit(rig.run_case(rig.load(case, FOLDER)))
