"""Tests that the documentation is complete."""

import pathlib
import re
import unittest

import dandelionpick
from dandelionpick import api
from dandelionpick import client
from dandelionpick import errors
from dandelionpick import metrics
from dandelionpick import settings
from dandelionpick.status import ExitStatus

PACKAGE = pathlib.Path(dandelionpick.__file__).parent
DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


def read_page(name: str) -> str:
    """Returns the text of a documentation page."""
    return (DOCS / name).read_text()


class ApiPageTest(unittest.TestCase):
    """The API page lists every problem and path."""

    def test_every_problem_kind_is_listed_with_its_status(self):
        listed: dict[str, set[int]] = {}
        for line in read_page("api.md").splitlines():
            row = re.match(r"\| (\d{3}) \| (.*) \|$", line)
            for kind in re.findall(r"`(\w+)`", row[2]) if row else ():
                listed.setdefault(kind, set()).add(int(row[1]))
        for kind in errors.ProblemKind:
            with self.subTest(kind):
                default = api.DEFAULT_PROBLEM_STATUS
                status = api.STATUS_BY_PROBLEM.get(kind, default)
                self.assertIn(status, listed.get(kind.value, ()))

    def test_every_operation_is_listed(self):
        text = read_page("api.md")
        for operation in client.OPERATIONS.values():
            with self.subTest(operation.path):
                self.assertIn(operation.path, text)


class OperationsPageTest(unittest.TestCase):
    """The operations page lists metrics, sections and exit statuses."""

    def test_metrics_sections_and_exit_statuses_are_listed(self):
        text = read_page("OPERATIONS.md")
        names = [
            *(f"`{name}`" for name in metrics.COUNTERS),
            *(f"`{name}`" for name in metrics.HISTOGRAMS),
            *(f"`{name}`" for name in metrics.GAUGES),
            *(f"`[{name}]`" for name in settings.SECTION_TYPES),
            *(f"\n| {status.value} |" for status in ExitStatus),
        ]
        for name in names:
            with self.subTest(name):
                self.assertTrue(name in text, f"{name} is not on the page")


class DesignPageTest(unittest.TestCase):
    """Guards against a module table that omits new or renamed modules."""

    def test_module_table_lists_exactly_the_modules_of_the_package(self):
        section = (
            read_page("design.md").split("### 3.2 ")[1].split("### 3.3 ")[0]
        )
        listed = re.findall(r"^\| `(\w+)` \| \S.*\|$", section, re.MULTILINE)
        modules = {path.stem for path in PACKAGE.glob("*.py")} - {"__init__"}
        self.assertEqual(sorted(modules), sorted(listed))


if __name__ == "__main__":
    unittest.main()
