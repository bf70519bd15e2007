"""Tests of the settings file and its validation."""

import dataclasses
import pathlib
import tempfile
import unittest

import msgspec
from returns import pipeline

from dandelionpick import core
from dandelionpick import settings
from dandelionpick import settings_file
from dandelionpick import state as state_lib
from dandelionpick.batch import settings as batch_settings
from dandelionpick.status import ExitStatus

ROOT = pathlib.Path(__file__).resolve().parent.parent
VALID = {
    "instance": {
        "name": "entry-1",
        "failure_domain": "a",
        "region": "r",
        "listen": "127.0.0.1:0",
    },
    "platform": {"store": "127.0.0.1:1", "instance_list": "127.0.0.1:2"},
}


def text_of(sections: dict[str, dict[str, str]]) -> str:
    """Formats sections as an INI file."""
    lines = []
    for name, values in sections.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines)


class SettingsTest(unittest.TestCase):
    """Each settings error tells what to correct and where."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "entry.ini"

    def errors_of(self, text: str) -> list[settings_file.SettingsError]:
        self.path.write_text(text)
        loaded = settings.load(str(self.path))
        return [] if pipeline.is_successful(loaded) else loaded.failure()

    def text_with(self, section: str, key: str, value: str | None) -> str:
        sections = {name: dict(values) for name, values in VALID.items()}
        values = sections.setdefault(section, {})
        if value is None:
            del values[key]
        else:
            values[key] = value
        return text_of(sections)

    def test_accepts_the_smallest_file(self):
        self.assertEqual(self.errors_of(text_of(VALID)), [])

    def test_each_error_names_file_section_key_and_remedy(self):
        cases = [
            ("instance", "name", "Entry 1", "lower-case letters"),
            ("instance", "listen", "localhost:80", "10.0.0.1:8080"),
            ("instance", "region", None, "lower-case letters"),
            ("platform", "store", "10.0.0.1", "10.0.0.1:8080"),
            ("limits", "call_timeout_s", "0", "above 0"),
            ("limits", "call_timeout_s", "inf", "at most a year"),
            ("limits", "max_body_bytes", "1.5", "whole number"),
            ("limits", "call_timeout", "1", "call_timeout_s"),
            ("limits", "suspect_after_s", "0.5", "heartbeat_period_s"),
            ("server", "max_connections", "-1", "above 0"),
            ("tracing", "sampled_share", "1.1", "from 0 to 1"),
            ("log", "level", "loud", "debug, info, warning or error"),
        ]
        for section, key, value, remedy in cases:
            with self.subTest(f"{section}.{key} = {value}"):
                found = self.errors_of(self.text_with(section, key, value))
                self.assertEqual(len(found), 1)
                line = str(found[0])
                self.assertIn(f"{self.path}: [{section}] {key}: ", line)
                self.assertIn(remedy, line)

    def test_refuses_unknown_sections(self):
        for section in ("limit", "DEFAULT"):
            with self.subTest(section):
                found = self.errors_of(self.text_with(section, "a", "1"))
                self.assertEqual(found[0].section, section)
                self.assertIn("limits", found[0].remedy)

    def test_reports_every_error_at_once(self):
        sections = {"instance": {}, "platform": {}, "log": {"level": "x"}}
        self.assertEqual(len(self.errors_of(text_of(sections))), 7)

    def test_syntax_errors_and_unreadable_files(self):
        cases = {
            "no section": "name = x",
            "duplicate key": text_of(VALID) + "\nstore = 1.1.1.1:1",
            "no key": "[instance]\n= 1",
        }
        for name, text in cases.items():
            with self.subTest(name):
                found = self.errors_of(text)
                self.assertIn("correct the INI syntax", str(found[0]))
        self.path.write_bytes(b"\xff\xfe")
        loaded = settings.load(str(self.path))
        self.assertIn("UTF-8", str(loaded.failure()[0]))
        loaded = settings.load(str(self.path.parent))
        self.assertIn("readable", str(loaded.failure()[0]))

    def test_every_limit_of_the_reducer_can_be_set(self):
        for field in dataclasses.fields(state_lib.Limits):
            value = 7 if isinstance(field.default, int) else 4.5
            if field.name.endswith(("_period_s", "_share", "_ratio")):
                value = 0.5
            with self.subTest(field.name):
                text = self.text_with("limits", field.name, str(value))
                self.path.write_text(text)
                loaded = settings.load(str(self.path))
                limits = settings.limits_of(loaded.unwrap())
                self.assertEqual(getattr(limits, field.name), value)


class ExamplesTest(unittest.TestCase):
    """The example settings files are valid and list every setting."""

    def examples(self) -> list[pathlib.Path]:
        found = sorted((ROOT / "examples").glob("*.ini"))
        self.assertEqual(len(found), 2)
        return found

    def test_examples_pass_the_check(self):
        for path in self.examples():
            with self.subTest(path.name):
                status = core.main(
                    ["dandelionpick", "check-settings", str(path)], {}
                )
                self.assertEqual(status, ExitStatus.OK)

    def test_examples_list_every_key(self):
        for path in self.examples():
            text = path.read_text()
            for name, section in settings.SECTION_TYPES.items():
                for field in msgspec.structs.fields(section):
                    with self.subTest(f"{path.name} {name}.{field.name}"):
                        self.assertIn(f"\n{field.name} = ", text)

    def test_check_settings_exits_with_its_status(self):
        status = core.main(["dandelionpick", "check-settings", "none"], {})
        self.assertEqual(status, ExitStatus.INVALID_SETTINGS)


SCHEDULER = {
    "instance": {"name": "e1", "failure_domain": "a", "region": "r"},
    "listen": dict.fromkeys(("callers", "health", "peers"), "127.0.0.1:0"),
    "store": {"address": "127.0.0.1:1"},
    "bounds": {
        "revoke_ms": "5000",
        "run_lease_ms": "10000",
        "restore_ms": "600",
        "stop_ms": "400",
        "early_ms": "250",
        "retention_s": "120",
        "drain_s": "6",
    },
}


class SchedulerSettingsTest(unittest.TestCase):
    """Settings of an instance that schedules batch jobs."""

    def load(self, heartbeat_ms: str | None = None, **scheduling: str):
        sections = SCHEDULER | {"scheduling": scheduling}
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text_of(sections))
            file.flush()
            env = {batch_settings.HEARTBEAT_ENV_VAR: heartbeat_ms}
            return batch_settings.load(file.name, env if heartbeat_ms else {})

    def test_environment_sets_the_heartbeat(self):
        """Guards against an interval that is assumed instead of given."""
        for text, expected_s in ((None, 0.0), ("1500", 1.5)):
            with self.subTest(text=text):
                limits = batch_settings.limits_of(self.load(text).unwrap())
                self.assertEqual(limits.heartbeat_s, expected_s)

    def test_invalid_heartbeat_is_reported(self):
        """Guards against a wrong variable that ends the process in a trace."""
        (error,) = self.load("soon").failure()
        self.assertEqual((error.section, error.key), ("bounds", "heartbeat_ms"))

    def test_part_without_the_one_that_it_needs_is_reported(self):
        """Guards against a part that is switched on and does nothing."""
        for part, needed in batch_settings.NEEDED_PARTS.items():
            with self.subTest(part):
                (error,) = self.load(**{part: "true"}).failure()
                self.assertEqual(
                    (error.section, error.key), ("scheduling", part)
                )
                self.assertIn(needed, error.remedy)
                both = {part: "true", needed: "true"}
                scheduling = self.load(**both).unwrap().scheduling
                self.assertTrue(getattr(scheduling, part))


if __name__ == "__main__":
    unittest.main()
