"""Answers accepted edits once their revision is in force everywhere."""

from dandelionpick import dispatch
from dandelionpick import edit_state
from dandelionpick import ids
from dandelionpick import membership
from dandelionpick import operator_messages
from dandelionpick import state as state_lib

# Heartbeats with the new revision arrive within a heartbeat period of its
# adoption; an unreachable instance delays an answer by this long.
IN_FORCE_WAIT_S = 3.0


def domains_in_force(
    state: state_lib.State, revision: int
) -> tuple[list[ids.FailureDomain], bool]:
    """Finds the failure domains whose known instances all have a revision.

    Instances of other failure domains exchange few heartbeats with this one;
    each reports the lowest revision of its whole failure domain.

    Returns:
        The sorted failure domains, and whether they are all known ones.
    """
    own_domain = state.identity.failure_domain
    own_revision = membership.domain_revision(state)
    has_revision = {own_domain: own_revision >= revision}
    for peer in state.members.peers.values():
        domain = peer.entry.failure_domain
        heartbeat = peer.heartbeat
        if domain != own_domain:
            has_revision.setdefault(domain, False)
            has_revision[domain] |= (
                heartbeat is not None and heartbeat.domain_revision >= revision
            )
    found = sorted(
        domain for domain, complete in has_revision.items() if complete
    )
    return found, len(found) == len(has_revision)


def answer_accepted(state: state_lib.State, step: dispatch.Step) -> None:
    """Answers accepted edits that are in force everywhere or have timed out."""
    waiting: list[edit_state.AcceptedEdit] = []
    for edit in state.edits.accepted:
        found, everywhere = domains_in_force(state, edit.revision)
        if not everywhere and step.moment.now_s < edit.reply_deadline_s:
            waiting.append(edit)
            continue
        step.respond(
            edit.exchange_id,
            operator_messages.EditAccepted(
                edit_id=edit.edit_id,
                revision=edit.revision,
                in_force=found,
                repeated=edit.repeated,
            ),
        )
    state.edits.accepted = waiting
