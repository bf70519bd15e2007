"""Tests that stored values and messages between instances keep their form.

A renamed field or tag would make a value unreadable that another release has
stored, or a message that an instance of another release sends.
"""

import json
import unittest

import msgspec

from dandelionpick import claim_state
from dandelionpick import job_state
from dandelionpick import peer_messages
from dandelionpick import tree_state
from dandelionpick import wire
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import run_time_store
from dandelionpick.batch import state as state_lib

STORED = (
    (
        model.JobRecord,
        '{"queue":"urgent","organisation":"ward","terms":{"pool":"p",'
        '"priority":1,"max_attempts":3,"objective_factor":2.0,'
        '"objective_extra_s":0.5},"spec":{"payload":"x","steps":[{"tasks":2,'
        '"needs":{"cpu_millis":1000,"memory_mb":100,"accelerators":1},'
        '"estimate_ms":500,"after":[0],"checkpoints":true,"gang":true,'
        '"one_rack":true,"data_rack":"r","required_label":"l",'
        '"max_per_target":1,"duplicates_allowed":true,"until_cancelled":true,'
        '"image":"i","tail_target_ms":9,"filler":true,"tolerated_absent":1}],'
        '"occurrences":2,"first_due_ms":5,"interval_ms":60},"accepted_ms":7}',
    ),
    (
        model.Progress,
        '{"state":"active","done":{"0.1":[0,2]},"failures":{"0.1.1":[3]},'
        '"ended_ms":8}',
    ),
    (
        model.Progress,
        '{"runs":{"0.1.1":[[4,"t0",7,"early"],[5,"t1",0,"late"]]}}',
    ),
    (
        state_lib.SchedulerRecord,
        '{"instance":"a","incarnation":"b","address":"127.0.0.1:1"}',
    ),
    (
        model.Roster,
        '{"scheduler":"a","addresses":{"t":"127.0.0.1:2"},'
        '"silent_until_ms":{"t":4}}',
    ),
    (
        run_time_store.StoredRunTimes,
        '{"version":1,"groups":[["q","o","1/2",[[[23,1.5]],[[30,2.0]]],'
        "[[[0,1.5]],[]],[0.5,4],[1.0,32]]]}",
    ),
    (
        tree_state.Document,
        '{"revision":2,"tree":{"branches":{"ward":{}}},"edits":[{"edit_id":"e",'
        '"revision":2,"operator":"o","paths":["classes"]}]}',
    ),
    (
        claim_state.ClaimRecord,
        '{"organisation":"ward","key":"k","body_digest":"d","claim_id":"c",'
        '"state":"not_run","task_id":"t","target":"x","incarnation":"i",'
        '"failure_domain":"f","start_deadline_ms":1,"exclusive":true,'
        '"final_ms":2,"succeeded":false,"length":3,"digest":"h","body":"YQ=="}',
    ),
    (
        job_state.JobRecord,
        '{"job":{"organisation":"ward","job_class":"scan","key":"k","tasks":2,'
        '"accelerators":2,"cores":1,"memory_gb":4,"run_s":1.0,"payload":"x",'
        '"attempt":1},"digest":"d","accepted_ms":1,"idempotent":true,'
        '"checkpointable":true,"revision":2,"state":"running",'
        '"outcome":"pending","run":1,"failures":1,"crashes":1,"placement":{"gang_id":"g",'
        '"workers":["w"],"incarnations":["i"]},"checkpoint":"p","cancel":true,'
        '"results":["r"],"problem":{"kind":"task_failed","message":"m",'
        '"remedy":"r"},"finished_ms":3,"claim_final":true}',
    ),
    (
        job_state.JobClaim,
        '{"digest":"d","failure_domain":"f","claimed_ms":1,"revision":2,'
        '"outcome":"completed","state":"finished","final_ms":3}',
    ),
)
SUBMIT = (
    '{"type":"submit","host":"h","path":"/p","credential":"c",'
    '"spec":{"payload":"x","steps":[{"tasks":1}]},"deadline_s":2.0}'
)
INSPECT = (
    '{"type":"inspect","host":"h","path":"/p","credential":"c",'
    '"deadline_s":2.0}'
)
CANCEL = INSPECT.replace("inspect", "cancel")
REFUSED = (
    '{"type":"refused","problem":{"kind":"overloaded","message":"m",'
    '"remedy":"r"},"retry_after_s":1.5}'
)
RELAYED = tuple(
    f'{{"type":"relayed","reply":{reply},"catalog_version":4}}'
    for reply in (
        '{"type":"accepted"}',
        '{"type":"job","state":"cancelled"}',
        '{"type":"queue","pending":3}',
        REFUSED,
    )
)
# Messages between the instances that schedule jobs on the platform.
RELAYS = tuple(
    f'{{"type":"relay","request":{request}}}'
    for request in (SUBMIT, INSPECT, CANCEL)
)
MONITOR = '{"type":"monitor","epoch":5,"wait_s":1.0}'
READ_EVACUATIONS = '{"type":"read_evacuations","relayed":true}'
REPLIES = (
    *RELAYED,
    '{"type":"not_scheduler"}',
    '{"type":"still_scheduling"}',
    '{"type":"store_refuses","since_s":0.5}',
    '{"type":"evacuations","scheduler":"a","watched":true,"is_outdated":false,'
    '"evacuations":[{"domain":"f","since_ms":7,"targets":2,"runs":{"t":1}}]}',
)
HEARTBEAT = (
    '{"type":"Heartbeat","instance":"a","failure_domain":"f",'
    '"incarnation":"i","revision":2,"domain_revision":1,'
    '"configuration_age_s":0.5,"leaving":true,"queued":3,"free_slots":4,'
    '"long_running":5}'
)
REQUEST = (
    '{"organisation":"ward","job_class":"confirmation","key":"k",'
    '"body":"YQ==","deadline_s":2.0,"attempt":2,"wait":false}'
)
JOB = (
    '{"organisation":"ward","job_class":"scan","key":"k","tasks":2,'
    '"accelerators":2,"cores":1,"memory_gb":4,"run_s":1.0,"payload":"x",'
    '"attempt":1}'
)
KEY = '{"organisation":"ward","key":"k"}'
# Messages between the entry instances of `dandelionpick run`.
PEER = {
    peer_messages.Heartbeat: HEARTBEAT,
    peer_messages.ReadDocument: '{"revision":3}',
    peer_messages.ForwardRequest: (
        f'{{"request":{REQUEST},"hops":1,"lost_calls":1}}'
    ),
    peer_messages.FetchPeerAnswer: KEY,
    peer_messages.ForwardJob: f'{{"job":{JOB},"hops":1}}',
    peer_messages.FetchPeerJob: KEY,
    peer_messages.CancelPeerJob: KEY,
}
PEER_PATHS = {
    "/peer/v1/heartbeat",
    "/peer/v1/read-document",
    "/peer/v1/forward-request",
    "/peer/v1/fetch-answer",
    "/peer/v1/forward-job",
    "/peer/v1/fetch-job",
    "/peer/v1/cancel-job",
}


class FormatTest(unittest.TestCase):
    """Guards against names that change in stored values and messages."""

    def check(self, kind, text: str) -> None:
        """Checks that a value is read and written in its known form."""
        with self.subTest(text[:60]):
            value = msgspec.json.decode(text, type=kind, strict=True)
            written = json.loads(msgspec.json.encode(value))
            self.assertEqual(json.loads(text), written)

    def test_stored_values(self):
        for kind, text in STORED:
            self.check(kind, text)

    def test_messages_between_schedulers(self):
        for text in (*RELAYS, MONITOR, READ_EVACUATIONS):
            self.check(messages.PeerMessage, text)
        for text in REPLIES:
            self.check(messages.PeerReply, text)

    def test_messages_between_entry_instances(self):
        self.assertEqual(set(PEER), set(wire.PEER))
        self.assertEqual(PEER_PATHS, {e.path for e in wire.PEER.values()})
        for kind, text in PEER.items():
            self.check(kind, text)

    def test_keys_of_the_store(self):
        self.assertEqual(
            (
                "dandelionpick/intake/jobs/",
                "dandelionpick/intake/cancels/",
                "dandelionpick/intake/",
                "dandelionpick/intake/authority",
                "dandelionpick/progress/",
                "dandelionpick/roster",
                "dandelionpick/run-times",
            ),
            (
                state_lib.JOBS_PREFIX,
                state_lib.CANCELS_PREFIX,
                state_lib.INTAKE_PREFIX,
                state_lib.SCHEDULER_KEY,
                state_lib.PROGRESS_PREFIX,
                state_lib.ROSTER_KEY,
                state_lib.RUN_TIMES_KEY,
            ),
        )


if __name__ == "__main__":
    unittest.main()
