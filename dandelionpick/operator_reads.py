"""Answers operators' queries from the state of this instance."""

import collections
import math
from collections.abc import Iterator
from typing import Any

import msgspec
from returns.result import Failure

from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import operator_messages as messages
from dandelionpick import peer_messages
from dandelionpick import proposals
from dandelionpick import request_state
from dandelionpick import state as state_lib
from dandelionpick import tree
from dandelionpick import tree_state

MAX_LISTED_CHANGES = 200


def missing_configuration(state: state_lib.State) -> errors.Problem | None:
    """Returns a problem if no revision is known and the store may have one."""
    configuration = state.configuration
    if configuration.document.revision > 0 or math.isfinite(
        configuration.confirmed_s
    ):
        return None
    return errors.Problem(
        errors.ProblemKind.NO_CONFIGURATION,
        "This instance has not received the configuration yet.",
        "Ask again later or ask another instance.",
    )


def _document_or_refuse(
    state: state_lib.State, step: dispatch.Step, exchange_id: ids.ExchangeId
) -> tree_state.Document | None:
    """Returns the document in force; refuses the message if there is none."""
    problem = missing_configuration(state)
    if problem is None:
        return state.configuration.document
    step.respond(exchange_id, peer_messages.Refused(problem))
    return None


@dispatch.on_message.register
def _(
    message: messages.ReadTree,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    document = _document_or_refuse(state, step, exchange_id)
    if document is None:
        return
    step.respond(exchange_id, messages.Tree(document.revision, document.tree))


@dispatch.on_message.register
def _(
    message: messages.ReadEdits,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    document = _document_or_refuse(state, step, exchange_id)
    if document is None:
        return
    step.respond(exchange_id, messages.Edits(document.revision, document.edits))


@dispatch.on_message.register
def _(
    message: messages.SimulateEdit,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    edit = message.edit
    held = state.configuration.document
    problem = missing_configuration(state)
    if problem is None:
        entries = state.members.entries.values()
        organisations = state.configuration.organisations
        result = proposals.propose(held, organisations, edit, entries)
        if not isinstance(result, Failure):
            reply = _simulation_reply(state, edit, result.unwrap())
            step.respond(exchange_id, reply)
            return
        problem = result.failure()
    refused = messages.EditRefused(
        edit_id=edit.edit_id, problem=problem, revision=held.revision
    )
    step.respond(exchange_id, refused)


def _simulation_reply(
    state: state_lib.State,
    edit: messages.EditTree,
    proposal: proposals.Proposal,
) -> messages.EditSimulated:
    before = state.configuration.organisations
    changes = list(effective_changes(before, proposal.organisations))
    return messages.EditSimulated(
        edit_id=edit.edit_id,
        revision=state.configuration.document.revision,
        changes=changes[:MAX_LISTED_CHANGES],
        changes_total=len(changes),
        document_bytes=len(proposal.text.encode()),
    )


def effective_changes(
    before: tree.Organisations, after: tree.Organisations
) -> Iterator[messages.EffectiveChange]:
    """Yields the settings that differ, by organisation and setting."""
    for organisation_id in sorted(before.keys() | after.keys()):
        old = _settings_by_path(before.get(organisation_id))
        new = _settings_by_path(after.get(organisation_id))
        for setting in sorted(old.keys() | new.keys()):
            if old.get(setting) != new.get(setting):
                yield messages.EffectiveChange(
                    organisation_id,
                    setting,
                    old.get(setting),
                    new.get(setting),
                )


def _settings_by_path(organisation: Any) -> dict[str, Any]:
    """Returns an organisation's settings by path; {} if there is none."""
    if organisation is None:
        return {}
    return dict(_iter_settings(msgspec.to_builtins(organisation), ""))


def _iter_settings(
    value: dict[str, Any], path: str
) -> Iterator[tuple[str, Any]]:
    for name, item in value.items():
        if isinstance(item, dict):
            yield from _iter_settings(item, f"{path}{name}/")
        else:
            yield f"{path}{name}", item


@dispatch.on_message.register
def _(
    message: messages.ReadStatus,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    now_s = step.moment.now_s
    age_s = state.configuration.age_s
    running = sum(
        request.phase is request_state.Phase.RUNNING
        for request in state.requests.by_name.values()
    )
    records = job_status.own_document(state).records.values()
    jobs = collections.Counter(record.state for record in records)
    reply = messages.Status(
        instance=state.identity.instance,
        failure_domain=state.identity.failure_domain,
        revision=state.configuration.document.revision,
        preferred=membership.preferred_instance(state, now_s),
        leaving=state.drain.requested_s is not None,
        members=list(_members(state, now_s)),
        requests_queued=len(state.routing.queue),
        requests_running=running,
        jobs_queued=jobs[kinds.JobState.QUEUED],
        jobs_running=jobs[kinds.JobState.RUNNING],
        configuration_age_s=age_s if math.isfinite(age_s) else None,
    )
    step.respond(exchange_id, reply)


def _members(
    state: state_lib.State, now_s: float
) -> Iterator[messages.MemberStatus]:
    for entry in sorted(state.members.entries.values(), key=lambda e: e.id):
        peer = state.members.peers.get(entry.id)
        heartbeat = peer.heartbeat if peer is not None else None
        revision = heartbeat.revision if heartbeat is not None else 0
        if entry.id == state.identity.instance:
            revision = state.configuration.document.revision
        yield messages.MemberStatus(
            entry.id,
            entry.role.value,
            entry.failure_domain,
            _member_state(state, entry, peer, now_s),
            revision,
        )


def _member_state(
    state: state_lib.State,
    entry: list_messages.InstanceEntry,
    peer: state_lib.Peer | None,
    now_s: float,
) -> str:
    """Returns "live", "leaving" or "suspected"."""
    if entry.state is kinds.Liveness.LEAVING:
        return "leaving"
    if peer is None:
        return "live"
    if peer.heartbeat is not None and peer.heartbeat.leaving:
        return "leaving"
    usable = membership.is_peer_usable(state, peer, now_s)
    return "live" if usable else "suspected"
