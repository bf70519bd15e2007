"""Tests of the tree: inheritance, validation and changes."""

import math
import unittest

import msgspec
from returns.result import Failure

from dandelionpick import errors
from dandelionpick import operator_messages as messages
from dandelionpick import tree
from dandelionpick import tree_state
from tests import builders

GUARANTEE = {"failure_domain": "a", "tasks": 2, "accelerators": 4}


def deep(levels: int) -> dict:
    """Builds branches nested in each other."""
    root: dict = {}
    for _ in range(levels):
        root = {"branches": {"x": root}}
    return root


# Name of the case, tree, part of the message that names the path.
INVALID_TREES = (
    ("unknown setting", {"shares": 1.0}, '"shares" is not a known'),
    (
        "unknown class setting",
        {"classes": {"c": {"wort": 1}}},
        "classes/c/wort",
    ),
    ("wrong type", {"classes": {"c": {"worth": "1"}}}, "classes/c/worth"),
    ("boolean for number", {"share": True}, '"share"'),
    ("number for boolean", {"classes": {"c": {"short": 1}}}, "classes/c/short"),
    ("NaN", {"share": math.nan}, '"share"'),
    ("infinite", {"classes": {"c": {"worth": math.inf}}}, "classes/c/worth"),
    ("negative", {"classes": {"c": {"run_s": -1.0}}}, "classes/c/run_s"),
    ("unit", {"accounting_unit": "hour"}, "accounting_unit"),
    ("classes a list", {"classes": []}, '"classes" is not an object'),
    ("branch a number", {"branches": {"x": 1}}, '"branches/x" is not'),
    ("branches null", {"branches": None}, '"branches" is not an object'),
    ("name with slash", {"branches": {"x/y": {}}}, "invalid name"),
    ("empty name", {"branches": {"": {}}}, "invalid name"),
    (
        "below a branch",
        {"branches": {"x": {"classes": {"c": {"oops": 1}}}}},
        "branches/x/classes/c/oops",
    ),
    (
        "organisation twice",
        {
            "branches": {
                "north": {"branches": {"ward": {}}},
                "south": {"branches": {"ward": {}}},
            }
        },
        '"branches/south/branches/ward" has the name of the organisation at'
        ' "branches/north/branches/ward"',
    ),
    (
        "guarantee without tasks",
        {
            "guarantees": {"g": {"failure_domain": "a", "accelerators": 1}},
            "branches": {"x": {}},
        },
        'branches/x/guarantees/g" lacks tasks',
    ),
    ("no tasks", {"guarantees": {"g": {**GUARANTEE, "tasks": 0}}}, "g/tasks"),
    (
        "fraction",
        {"guarantees": {"g": {**GUARANTEE, "accelerators": 0.5}}},
        "g/accelerators",
    ),
    (
        "negative count",
        {"guarantees": {"g": {**GUARANTEE, "count": -1}}},
        "g/count",
    ),
    (
        "too many shapes",
        {
            "guarantees": {"g": {**GUARANTEE, "count": 9_000}},
            "branches": {"x": {}, "y": {}},
        },
        "18000 shapes",
    ),
    ("too deep", deep(30), "levels deep"),
    ("far too deep", deep(2_000), "levels deep"),
    ("not an object", [], "is not an object"),
)

# Name of the case, path, value, remove, part of the message.
INVALID_CHANGES = (
    ("empty path", "", 1, False, "empty name"),
    ("leading slash", "/share", 1, False, "empty name"),
    ("branch that does not exist", "branches/wrad/share", 1, False, "wrad"),
    ("remove what is not set", "branches/ward/share", 0, True, "not set"),
    ("below a value", "classes/scan/run_s/x", 1, False, "not an object"),
    ("long path", "x" * 201, 1, False, "longer"),
    ("many names", "a/" * 60 + "b", 1, False, "longer"),
)


class TreeTest(unittest.TestCase):
    """Invalid trees and changes are refused with the path and a remedy."""

    def test_refuses_invalid_trees_naming_the_path(self):
        for name, root, part in INVALID_TREES:
            with self.subTest(name):
                result = tree.resolve(root)
                self.assertIsInstance(result, Failure)
                problem = result.failure()
                self.assertIs(problem.kind, errors.ProblemKind.EDIT_INVALID)
                self.assertIn(part, problem.message)
                self.assertTrue(problem.remedy)

    def test_branches_inherit_override_and_drop_settings(self):
        root = {
            "share": 2.0,
            "classes": {"scan": {"worth": 3.0, "run_s": 9.0}, "old": {}},
            "branches": {
                "north": {
                    "classes": {"scan": {"worth": 4.0}, "old": None},
                    "branches": {"ward": {}, "clinic": {"share": None}},
                },
                "station": {},
            },
        }
        found = tree.resolve(root).unwrap()
        self.assertEqual(set(found), {"ward", "clinic", "station"})
        ward = found["ward"]
        self.assertEqual(ward.share, 2.0)
        self.assertEqual(set(ward.classes), {"scan"})
        self.assertEqual(ward.classes["scan"].worth, 4.0)
        self.assertEqual(ward.classes["scan"].run_s, 9.0)
        self.assertEqual(found["clinic"].share, 1.0)
        self.assertEqual(set(found["station"].classes), {"scan", "old"})

    def test_accepts_every_setting_at_every_level(self):
        """Guards against a setting that only one of the two checks accepts."""
        organisation = msgspec.to_builtins(
            tree_state.Organisation(
                classes={"c": tree_state.JobClass()},
                guarantees={"g": tree_state.Guarantee(**GUARANTEE)},
            )
        )
        root = {**organisation, "branches": {"x": organisation}}
        found = tree.resolve(root).unwrap()
        self.assertEqual(msgspec.to_builtins(found["x"]), organisation)
        for name in organisation:
            with self.subTest(name):
                tree.resolve({"branches": {"x": {name: None}}}).unwrap()

    def test_applies_changes_to_a_copy(self):
        before = tree.merge({}, builders.TREE)
        changes = [
            messages.Change("branches/clinic", {}),
            messages.Change("branches/clinic/classes/scan/worth", 7.0),
            messages.Change("classes/stretch", remove=True),
        ]
        after = tree.apply(builders.TREE, changes).unwrap()
        found = tree.resolve(after).unwrap()
        self.assertEqual(builders.TREE, before)
        self.assertEqual(found["clinic"].classes["scan"].worth, 7.0)
        self.assertEqual(found["ward"].classes["scan"].worth, 1.0)
        self.assertNotIn("stretch", found["ward"].classes)

    def test_refuses_changes_that_cannot_be_applied(self):
        for name, path, value, remove, part in INVALID_CHANGES:
            with self.subTest(name):
                change = messages.Change(path, value, remove)
                result = tree.apply(builders.TREE, [change])
                self.assertIsInstance(result, Failure)
                self.assertIn(part, result.failure().message)


if __name__ == "__main__":
    unittest.main()
