"""Mutants that disable what protects the scheduler from its own overload."""

import msgspec

from dandelionpick import http_requests
from dandelionpick import loop_lag
from dandelionpick.batch import catalog_copy
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import messages
from dandelionpick.batch import run_resolution
from dandelionpick.batch import start_window
from dandelionpick.batch import succession
from dandelionpick.batch import unheard_runs
from tests import mutant

# As before starts without a reply were looked up.
STOP_AFTER_S = 0.6
OVERLOAD = ("tests.test_batch_overload",)


def count_own_delay() -> None:
    """Lets calls time out while the event loop is busy."""
    loop_lag.MAX_EXTENSION_S = 0.0


def stop_without_looking() -> None:
    """Stops a start without a reply soon after it was ordered."""
    run_resolution._should_stop_unresolved = lambda run, now_s: (
        now_s - run.ordered_s >= STOP_AFTER_S
    )


def cut_slow_bodies() -> None:
    """Gives a body up after the time that its headers may take."""
    http_requests.BODY_TIMEOUT_S = 0.3


def start_all() -> None:
    """Starts everything that fits at once."""
    start_window.StartWindow.has_room = lambda window: True


def repeat_unheard() -> None:
    """Starts all work of a silent target again when its leases have ended."""
    unheard_runs.is_lost = lambda schedule, target, run: True


def trust_suspended() -> None:
    """Starts work after a suspension without renewing the lease."""
    leadership_bounds.may_start = leadership_bounds.may_send_orders


def rank_nobody() -> None:
    """Lets the nearest instance to the store win, however weak it is."""
    succession.RANK_DELAY_S = 0.0


def trust_old_copies() -> None:
    """Takes the copy of a source for confirmed however old it is."""
    handle = catalog_copy.dispatch.on_reply.dispatch(catalog_copy.CopyContext)

    def believe(context, state, step, reply):
        if isinstance(reply, messages.CatalogCopy):
            reply = msgspec.structs.replace(reply, age_s=0.0)
        handle(context, state, step, reply)

    catalog_copy.dispatch.on_reply.register(catalog_copy.CopyContext, believe)


MUTANTS = (
    mutant.Mutant(
        "timeouts don't count the own delay", count_own_delay, OVERLOAD
    ),
    mutant.Mutant(
        "a start without a reply is looked up", stop_without_looking, OVERLOAD
    ),
    mutant.Mutant(
        "large bodies are read to their end", cut_slow_bodies, OVERLOAD
    ),
    mutant.Mutant("starts in flight are bounded", start_all, OVERLOAD),
    mutant.Mutant(
        "work that may be done on a silent target waits",
        repeat_unheard,
        ("tests.test_batch_unheard",),
    ),
    mutant.Mutant(
        "nothing starts after a suspension without a renewal",
        trust_suspended,
        ("tests.test_batch_operator_reports",),
    ),
    mutant.Mutant(
        "stronger instances campaign first",
        rank_nobody,
        ("tests.test_batch_handover",),
    ),
    mutant.Mutant(
        "a source without confirmation is left",
        trust_old_copies,
        ("tests.test_batch_catalog_copy",),
    ),
)
