"""Tests that every metric that the code records is declared."""

import ast
import inspect
import pathlib
import unittest
from collections.abc import Iterator

import dandelionpick
from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import metrics
from dandelionpick import state as state_lib
from tests import batch_builders
from tests import builders

PACKAGE = pathlib.Path(dandelionpick.__file__).parent

# Each call that records a metric, with the callable whose signature it has and
# the table that declares the metric.
METRIC_CALLS = {
    "step.count": (dispatch.Step.count, metrics.COUNTERS),
    "effects.Count": (effects.Count, metrics.COUNTERS),
    "effects.Observe": (effects.Observe, metrics.HISTOGRAMS),
    "metrics.add": (metrics.add, metrics.COUNTERS),
    "metrics.observe": (metrics.observe, metrics.HISTOGRAMS),
    "metrics.put": (metrics.put, metrics.GAUGES),
}
# Expressions that forward the metric name of another call.
FORWARDED_NAMES = {"metric", "effect.metric"}
# Expression for a gauge name that a state provides; another test checks these
# names.
STATE_GAUGE_NAME = "gauge"


def metric_calls_in(
    scope: ast.AST,
) -> Iterator[tuple[str, inspect.BoundArguments]]:
    """Yields the calls in a module or function that record a metric."""
    for node in ast.walk(scope):
        if not isinstance(node, ast.Call):
            continue
        callee = ast.unparse(node.func)
        if callee not in METRIC_CALLS:
            continue
        receiver = [node.func] if callee == "step.count" else []
        keywords = {word.arg: word.value for word in node.keywords}
        signature = inspect.signature(METRIC_CALLS[callee][0])
        yield callee, signature.bind(*receiver, *node.args, **keywords)


def count_labels(labels: ast.expr | tuple, function: ast.AST) -> int:
    """Returns the number of label values that a call passes.

    Args:
        labels: a tuple expression or a local variable that holds one; a
            Python tuple if the labels are the remaining arguments of the call.
        function: the function that assigns the local variable.

    Raises:
        ValueError: if the number can't be determined from the source.
    """
    if isinstance(labels, tuple):
        return len(labels)
    if isinstance(labels, ast.Tuple):
        return len(labels.elts)
    values = [
        node.value
        for node in ast.walk(function)
        if isinstance(node, ast.Assign)
        and ast.unparse(node.targets[0]) == ast.unparse(labels)
    ]
    if len(values) != 1 or not isinstance(values[0], ast.Tuple):
        raise ValueError(f"{ast.unparse(labels)} is not one literal tuple")
    return len(values[0].elts)


class DeclaredMetricsTest(unittest.TestCase):
    """Guards against an effect that fails with KeyError or ValueError.

    A metric that is used but not declared, or declared with other labels,
    raises only when the effect is performed, which reducer tests don't do.
    """

    def check(
        self, callee: str, bound: inspect.BoundArguments, function: ast.AST
    ) -> bool:
        """Checks one call; returns False if it only forwards a name."""
        metric = bound.arguments["metric"]
        if not isinstance(metric, ast.Constant):
            if ast.unparse(metric) == STATE_GAUGE_NAME:
                return False
            self.assertIn(ast.unparse(metric), FORWARDED_NAMES)
            return False
        declared = METRIC_CALLS[callee][1]
        self.assertIn(metric.value, declared)
        labels = bound.arguments.get("labels", ())
        self.assertEqual(
            len(declared[metric.value]._labelnames),
            count_labels(labels, function),
        )
        return True

    def test_gauges_of_each_state_are_declared(self):
        """Guards against a gauge that fails with KeyError on each tick."""
        states = (
            state_lib.State(
                builders.identity("entry-1", "a"), ids.Incarnation("i1")
            ),
            batch_builders.state("entry-1"),
        )
        for state in states:
            for name in state.gauges():
                with self.subTest(name):
                    self.assertIn(name, metrics.GAUGES)

    def test_every_call_names_a_declared_metric_with_its_labels(self):
        checked = 0
        for path in sorted(PACKAGE.rglob("*.py")):
            module = ast.parse(path.read_text())
            functions = [
                node
                for node in ast.walk(module)
                if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            ]
            in_functions = 0
            for function in functions:
                for callee, bound in metric_calls_in(function):
                    in_functions += 1
                    name = ast.unparse(bound.arguments["metric"])
                    with self.subTest(path.name, use=callee, metric=name):
                        checked += self.check(callee, bound, function)
            with self.subTest(path.name, uses="outside of functions"):
                self.assertGreaterEqual(
                    in_functions, len(list(metric_calls_in(module)))
                )
        self.assertGreaterEqual(checked, 15)


if __name__ == "__main__":
    unittest.main()
