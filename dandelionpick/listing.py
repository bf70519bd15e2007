"""Reads the instance list and ignores implausible removals from it."""

import collections
import dataclasses

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import state as state_lib

# Entries that are removed together with most of their group are kept this long,
# and longer while they reply. If the removal is real, this costs some failed
# calls; trusting a wrongly empty list would stop the whole failure domain.
RETAIN_S = 30.0
MAX_LOST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ListRead:
    """Context of a read of the instance list.

    Attributes:
        stalls: number of event-loop stalls before the read was sent.
    """

    stalls: int = 0


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Reads the list when it is due."""
    members = state.members
    list_age_s = step.moment.now_s - members.list_read_s
    if not members.list_pending and list_age_s >= state.limits.list_period_s:
        read(state, step)


def read(state: state_lib.State, step: dispatch.Step) -> None:
    """Requests the instance list.

    While entries are kept that the list lacks, the whole list is requested,
    because each read checks how long they have been missing.
    """
    members = state.members
    members.list_pending = True
    known_etag = "" if members.missing_since_s else members.list_etag
    destination = effects.Destination(
        kinds.Service.INSTANCE_LIST, "", state.identity.list_address
    )
    dispatch.call(
        state,
        step,
        destination,
        list_messages.ReadInstances(known_etag),
        ListRead(members.stall_count),
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: ListRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: list_messages.Instances | list_messages.InstancesUnchanged,
) -> None:
    if context.stalls != state.members.stall_count:
        return
    state.members.list_pending = False
    state.members.list_read_s = step.moment.now_s
    state.routing.starts_paused = False
    if isinstance(reply, list_messages.Instances):
        state.members.list_etag = reply.etag
        apply_list(state, step, reply)


@dispatch.on_failure.register
def _(
    context: ListRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    if context.stalls != state.members.stall_count:
        return
    state.members.list_pending = False
    state.routing.starts_paused = False


def apply_list(
    state: state_lib.State,
    step: dispatch.Step,
    reply: list_messages.Instances,
) -> None:
    """Applies a new list, but retains entries removed implausibly."""
    members = state.members
    now_s = step.moment.now_s
    listed = {entry.id: entry for entry in reply.entries}
    removed = [
        entry
        for entry in members.entries.values()
        if entry.id not in listed and entry.state is kinds.Liveness.LIVE
    ]
    implausible = implausible_groups(state, removed)
    retained = [
        entry
        for entry in removed
        if is_retained(state, entry, implausible, now_s)
    ]
    missing_before = members.missing_since_s
    members.missing_since_s = {
        entry.id: missing_before.get(entry.id, now_s) for entry in retained
    }
    if members.missing_since_s and not missing_before:
        step.note(
            effects.Component.MEMBERSHIP,
            f"the instance list lacks {len(retained)} entries that are kept",
            warning=True,
        )
    members.entries = {**listed, **{entry.id: entry for entry in retained}}
    members.has_self = state.identity.instance in listed
    membership.update_peers(state, now_s)


def implausible_groups(
    state: state_lib.State, removed: list[list_messages.InstanceEntry]
) -> set[tuple[kinds.Role, ids.FailureDomain]]:
    """Returns the groups that lost more than half of their live entries.

    A group is a role in a failure domain, so that a list without one role or
    one failure domain is detected too.
    """
    known = collections.Counter(
        (entry.role, entry.failure_domain)
        for entry in state.members.entries.values()
        if entry.state is kinds.Liveness.LIVE
    )
    lost = collections.Counter(
        (entry.role, entry.failure_domain) for entry in removed
    )
    return {
        group
        for group, count in lost.items()
        if count > MAX_LOST_SHARE * known[group]
    }


def is_retained(
    state: state_lib.State,
    entry: list_messages.InstanceEntry,
    implausible: set[tuple[kinds.Role, ids.FailureDomain]],
    now_s: float,
) -> bool:
    """Returns whether to keep an entry that the list lacks.

    A peer whose heartbeats arrive is live whatever the list says.
    """
    peer = state.members.peers.get(entry.id)
    if peer is not None and membership.is_peer_usable(state, peer, now_s):
        return True
    missing_s = state.members.missing_since_s.get(entry.id)
    if missing_s is None:
        return (entry.role, entry.failure_domain) in implausible
    heard_s = state.members.last_reply_s.get(entry.id, missing_s)
    return now_s - max(heard_s, missing_s) <= RETAIN_S
