"""Checks that the guarantees of a tree fit on the listed workers."""

import collections
from collections.abc import Iterable

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import plan
from dandelionpick import tree

MAX_NAMED_SHAPES = 10
# Planning takes time in proportion to shapes and workers, so shapes that
# certainly don't fit are planned only to name them, if they are few.
MAX_PLANNED_SHAPES = 1_000

Wanted = dict[ids.FailureDomain, dict[tuple[str, str], object]]


def check(
    before: tree.Organisations,
    after: tree.Organisations,
    entries: list[list_messages.InstanceEntry],
) -> errors.Problem | None:
    """Returns the problem of guarantees that do not fit.

    Only failure domains whose guarantees the edit changes are checked:
    otherwise the loss of a rack would stop edits that have nothing to do with
    it. Removing guarantees is accepted for the same reason.

    Args:
        before: the organisations in force.
        after: the organisations after the edit.
        entries: the instance list.
    """
    workers = [entry for entry in entries if entry.role is kinds.Role.WORKER]
    wanted_before = _by_domain(before)
    for domain, wanted in sorted(_by_domain(after).items()):
        held = wanted_before.get(domain, {})
        if all(held.get(name) == wanted[name] for name in wanted):
            continue
        problem = _domain_problem(after, workers, domain)
        if problem is not None:
            return problem
    return None


def _by_domain(organisations: tree.Organisations) -> Wanted:
    wanted: Wanted = collections.defaultdict(dict)
    for organisation_id, organisation in organisations.items():
        for name, guarantee in organisation.guarantees.items():
            domain = guarantee.failure_domain
            wanted[domain][organisation_id, name] = guarantee
    return wanted


def _domain_problem(
    organisations: tree.Organisations,
    workers: list[list_messages.InstanceEntry],
    domain: ids.FailureDomain,
) -> errors.Problem | None:
    free = sum(w.accelerators for w in workers if w.failure_domain == domain)
    asked = [
        (guarantee, f"{organisation_id}/{name}")
        for organisation_id, organisation in organisations.items()
        for name, guarantee in organisation.guarantees.items()
        if guarantee.failure_domain == domain
    ]
    total = sum(g.tasks * g.accelerators * g.count for g, _ in asked)
    shapes = sum(g.count for g, _ in asked)
    if total > free and shapes > MAX_PLANNED_SHAPES:
        names = sorted(name for _, name in asked)
        return _problem(
            f'The guarantees in failure domain "{domain}" ask for {total}'
            f" accelerators, and its listed workers have {free}:"
            f" {_listed(names)}."
        )
    made = plan.make_plan(organisations, workers, domain)
    if not made.unplaced:
        return None
    names = [
        f"{name.organisation}/{name.guarantee} number {name.number + 1}"
        for name in made.unplaced
    ]
    return _problem(
        f'These guaranteed shapes do not fit in failure domain "{domain}":'
        f" {_listed(names)}."
    )


def _listed(names: Iterable[str]) -> str:
    names = list(names)
    listed = ", ".join(names[:MAX_NAMED_SHAPES])
    more = len(names) - MAX_NAMED_SHAPES
    return f"{listed} and {more} more" if more > 0 else listed


def _problem(text: str) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.GUARANTEES_DO_NOT_FIT,
        text,
        "Lower the count, tasks or accelerators of a guarantee, or move one to"
        " a failure domain with free accelerators.",
    )
