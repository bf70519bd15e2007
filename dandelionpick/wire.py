"""HTTP paths and reply types of all messages.

Every call is a POST of the message as JSON; the reply is JSON with a "type"
field that names the type of its struct.
"""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import caller_messages as caller
from dandelionpick import executor_messages as executor
from dandelionpick import list_messages
from dandelionpick import peer_messages as peer
from dandelionpick import store_messages as store
from dandelionpick import worker_messages as worker


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Path of a message type, with decoders of the message and its reply.

    Attributes:
        path: HTTP path that the message is posted to.
        message: decoder of the message, for the receiver.
        reply: decoder of the reply, for the sender.
    """

    path: str
    message: msgspec.json.Decoder
    reply: msgspec.json.Decoder


def _endpoint(path: str, message: Any, reply: Any) -> Endpoint:
    return Endpoint(
        path, msgspec.json.Decoder(message), msgspec.json.Decoder(reply)
    )


PART_REPLY = worker.PartReply | worker.PartRefused
ANSWER_REPLY = caller.Answer | peer.Refused
JOB_REPLY = caller.JobStatus | peer.Refused

STORE = {
    store.Read: _endpoint("/v1/read", store.Read, store.Value),
    store.Watch: _endpoint(
        "/v1/watch", store.Watch, store.Value | store.Unchanged
    ),
    store.Write: _endpoint(
        "/v1/write",
        store.Write,
        store.Written | store.Conflict | store.LeaseEnded,
    ),
    store.GrantLease: _endpoint(
        "/v1/grant-lease", store.GrantLease, store.Lease
    ),
    store.RenewLease: _endpoint(
        "/v1/renew-lease", store.RenewLease, store.Lease | store.LeaseEnded
    ),
}
INSTANCE_LIST = {
    list_messages.ReadInstances: _endpoint(
        "/v1/instances",
        list_messages.ReadInstances,
        list_messages.Instances | list_messages.InstancesUnchanged,
    ),
}
EXECUTOR = {
    executor.StartTask: _endpoint(
        "/v1/start-task", executor.StartTask, executor.TaskReply
    ),
    executor.QueryTask: _endpoint(
        "/v1/query-task", executor.QueryTask, executor.TaskReply
    ),
    executor.CancelTask: _endpoint(
        "/v1/cancel-task", executor.CancelTask, executor.TaskReply
    ),
    executor.ListTasks: _endpoint(
        "/v1/list-tasks", executor.ListTasks, executor.TaskList
    ),
}
WORKER = {
    worker.HoldPart: _endpoint("/v1/hold-part", worker.HoldPart, PART_REPLY),
    worker.StartPart: _endpoint("/v1/start-part", worker.StartPart, PART_REPLY),
    worker.StopPart: _endpoint("/v1/stop-part", worker.StopPart, PART_REPLY),
    worker.RenewLeases: _endpoint(
        "/v1/renew-leases", worker.RenewLeases, worker.WorkerReport
    ),
}
PEER = {
    peer.Heartbeat: _endpoint(
        "/peer/v1/heartbeat", peer.Heartbeat, peer.Heartbeat
    ),
    peer.ReadDocument: _endpoint(
        "/peer/v1/read-document", peer.ReadDocument, peer.Document
    ),
    peer.ForwardRequest: _endpoint(
        "/peer/v1/forward-request", peer.ForwardRequest, ANSWER_REPLY
    ),
    peer.FetchPeerAnswer: _endpoint(
        "/peer/v1/fetch-answer", peer.FetchPeerAnswer, ANSWER_REPLY
    ),
    peer.ForwardJob: _endpoint(
        "/peer/v1/forward-job", peer.ForwardJob, JOB_REPLY
    ),
    peer.FetchPeerJob: _endpoint(
        "/peer/v1/fetch-job", peer.FetchPeerJob, JOB_REPLY
    ),
    peer.CancelPeerJob: _endpoint(
        "/peer/v1/cancel-job", peer.CancelPeerJob, JOB_REPLY
    ),
}

_encoder = msgspec.json.Encoder()


def encode(message: Any) -> bytes:
    """Encodes a message as JSON."""
    return _encoder.encode(message)
