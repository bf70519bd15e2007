"""Checks that the guarantees of a tree fit on the listed workers."""

import collections
from collections.abc import Iterable

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import plan
from dandelionpick import tree

MAX_LISTED_SHAPES = 10
# Planning takes time proportional to the number of shapes and workers. If the
# accelerators certainly don't suffice, a plan serves only to name the shapes
# that don't fit, and is made for at most this many shapes.
MAX_PLANNED_SHAPES = 1_000

GuaranteesByDomain = dict[ids.FailureDomain, dict[tuple[str, str], object]]


def check_guarantees(
    before: tree.Organisations,
    after: tree.Organisations,
    entries: list[list_messages.InstanceEntry],
) -> errors.Problem | None:
    """Returns the problem of guarantees that do not fit.

    Only failure domains whose guarantees the edit changes are checked;
    otherwise the loss of a rack would block unrelated edits. Removing
    guarantees is accepted for the same reason.

    Args:
        before: the organisations in force.
        after: the organisations after the edit.
        entries: the instance list.
    """
    workers = [entry for entry in entries if entry.role is kinds.Role.WORKER]
    guarantees_before = _group_by_domain(before)
    for domain, domain_guarantees in sorted(_group_by_domain(after).items()):
        domain_before = guarantees_before.get(domain, {})
        if all(
            domain_before.get(name) == domain_guarantees[name]
            for name in domain_guarantees
        ):
            continue
        problem = _check_domain(after, workers, domain)
        if problem is not None:
            return problem
    return None


def _group_by_domain(organisations: tree.Organisations) -> GuaranteesByDomain:
    guarantees: GuaranteesByDomain = collections.defaultdict(dict)
    for organisation_id, organisation in organisations.items():
        for name, guarantee in organisation.guarantees.items():
            domain = guarantee.failure_domain
            guarantees[domain][organisation_id, name] = guarantee
    return guarantees


def _check_domain(
    organisations: tree.Organisations,
    workers: list[list_messages.InstanceEntry],
    domain: ids.FailureDomain,
) -> errors.Problem | None:
    capacity = sum(
        w.accelerators for w in workers if w.failure_domain == domain
    )
    guarantees = [
        (guarantee, f"{organisation_id}/{name}")
        for organisation_id, organisation in organisations.items()
        for name, guarantee in organisation.guarantees.items()
        if guarantee.failure_domain == domain
    ]
    demand = sum(g.tasks * g.accelerators * g.count for g, _ in guarantees)
    shapes = sum(g.count for g, _ in guarantees)
    if demand > capacity and shapes > MAX_PLANNED_SHAPES:
        names = sorted(name for _, name in guarantees)
        return _problem(
            f'The guarantees in failure domain "{domain}" ask for {demand}'
            f" accelerators, and its listed workers have {capacity}:"
            f" {_format_names(names)}."
        )
    domain_plan = plan.make_plan(organisations, workers, domain)
    if not domain_plan.unplaced:
        return None
    names = [
        f"{name.organisation}/{name.guarantee} number {name.number + 1}"
        for name in domain_plan.unplaced
    ]
    return _problem(
        f'These guaranteed shapes do not fit in failure domain "{domain}":'
        f" {_format_names(names)}."
    )


def _format_names(names: Iterable[str]) -> str:
    names = list(names)
    listed = ", ".join(names[:MAX_LISTED_SHAPES])
    more = len(names) - MAX_LISTED_SHAPES
    return f"{listed} and {more} more" if more > 0 else listed


def _problem(text: str) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.GUARANTEES_DO_NOT_FIT,
        text,
        "Lower the count, tasks or accelerators of a guarantee, or move one to"
        " a failure domain with free accelerators.",
    )
