"""Fabrics and faulty executors for the routing tests."""

import dataclasses
import unittest

import msgspec
import xxhash

from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import peer_messages
from standins import executor
from standins import store
from tests import builders
from tests import fabric

LONG = {"job_class": "assessment", "deadline_s": 60.0}
RUN_TIME_S_OF_CLASS = {"confirmation": 0.02, "assessment": 1.0}


class ClassTimedExecutor(executor.Executor):
    """Runs each task for the run time of its class, multiplied by `factor`."""

    factor = 1.0
    seconds = RUN_TIME_S_OF_CLASS

    def handle(self, message, now_s, unix_ms):
        if isinstance(message, executor_messages.StartTask):
            base_s = self.seconds.get(message.labels.job_class, 0.02)
            self.run_s = base_s * self.factor
        return super().handle(message, now_s, unix_ms)


class FailingExecutor(ClassTimedExecutor):
    """Fails every task almost immediately, so that it always looks idle."""

    factor = 0.01
    failing = True

    def describe(self, task_id, now_s):
        reply = super().describe(task_id, now_s)
        if self.failing and isinstance(reply, executor_messages.TaskResult):
            return msgspec.structs.replace(reply, succeeded=False)
        return reply


def build(
    domains: dict[str, tuple[int, int]],
    seed: int = 1,
    limits=None,
    slots: int = 8,
    tree=None,
    regions: dict[str, str] | None = None,
    settle_s: float = 6.0,
) -> fabric.Fabric:
    """Builds instances and executors named after their failure domain.

    Args:
        domains: numbers of instances and executors by failure domain; the
            first ones are named "a-entry-1" and "a-executor-1".
        seed: seed of the fabric.
        limits: limits of every instance.
        slots: slots of each executor.
        tree: configuration tree.
        regions: regions of failure domains that aren't in the default one.
        settle_s: seconds to run until the live sets have settled.
    """
    built = fabric.Fabric(seed, limits)
    document = builders.document(tree=tree)
    built.store.entries["config/tree"] = store.Entry(1, document)
    built.store.versions = 1
    for domain, (instances, executors) in domains.items():
        for number in range(1, executors + 1):
            name = f"{domain}-executor-{number}"
            built.add_executor(name, domain, slots)
            replace_executor(built, name, ClassTimedExecutor, slots)
        for number in range(1, instances + 1):
            built.add_instance(f"{domain}-entry-{number}", domain)
    for domain, region in (regions or {}).items():
        move_to_region(built, domain, region)
    built.run_for(settle_s)
    return built


def replace_executor(
    built: fabric.Fabric, name: str, kind: type, slots: int = 8
) -> executor.Executor:
    """Replaces an executor by another model with a new incarnation."""
    built.targets[name] = kind(slots, built.new_incarnation())
    return built.targets[name]


def move_to_region(built: fabric.Fabric, domain: str, region: str) -> None:
    """Moves a failure domain to another region."""
    for entry in list(built.entries.values()):
        if entry.failure_domain == domain:
            moved = msgspec.structs.replace(entry, region=ids.Region(region))
            built.list_entry(moved)
    for instance in built.instances.values():
        if instance.entry.failure_domain == domain:
            instance.state.identity = dataclasses.replace(
                instance.state.identity, region=ids.Region(region)
            )


def set_listed_state(
    built: fabric.Fabric, name: str, state: kinds.Liveness
) -> None:
    """Changes the state of an entry in the instance list."""
    entry = msgspec.structs.replace(built.entries[name], state=state)
    built.list_entry(entry)


def send(
    built: fabric.Fabric,
    prefix: str,
    count: int,
    instance: str = "a-entry-1",
    **fields,
) -> list[str]:
    """Sends numbered requests at one moment; returns their exchange ids."""
    job_class = fields.get("job_class", "confirmation")
    return [
        built.send(
            instance,
            builders.request(
                key_for_class(f"{prefix}{number}", job_class), **fields
            ),
        )
        for number in range(count)
    ]


def key_for_class(name: str, job_class: str) -> str:
    """Returns a key for a class; a UUIDv7 if the class is not idempotent."""
    if builders.TREE["classes"][job_class].get("idempotent", True):
        return name
    bits = xxhash.xxh3_128_intdigest(name.encode())
    return builders.uuid7(bits, fabric.START_UNIX_MS)


def assert_completed(
    test: unittest.TestCase, built: fabric.Fabric, exchange_ids: list[str]
) -> None:
    """Asserts that every exchange was answered with a result."""
    test.assertEqual(set(outcomes(built, exchange_ids)), {"completed"})


def outcomes(built: fabric.Fabric, exchange_ids: list[str]) -> list[str]:
    """Returns the outcome, or the problem's kind, of each exchange."""
    found = []
    for exchange_id in exchange_ids:
        answer = built.response(exchange_id)
        if answer is None:
            found.append("none")
        elif answer.problem is not None:
            found.append(answer.problem.kind.value)
        else:
            found.append(answer.outcome.value)
    return found


def runs_of(built: fabric.Fabric, name: str) -> int:
    """Returns how many tasks an executor has started."""
    return sum(built.targets[name].runs.values())


def started_keys(built: fabric.Fabric) -> list[str]:
    """Returns the key of every task that an executor started."""
    return [
        task.labels.key
        for target in built.targets.values()
        for task in target.tasks.values()
        if task.labels is not None
    ]


def started(built: fabric.Fabric, prefix: str) -> int:
    """Returns how many tasks executors started for keys with a prefix."""
    return sum(key.startswith(prefix) for key in started_keys(built))


def stop_executors(built: fabric.Fabric, domain: str) -> None:
    """Removes the executors of a failure domain and lists them as leaving."""
    for name in list(built.targets):
        if name.startswith(f"{domain}-"):
            del built.targets[name]
            set_listed_state(built, name, kinds.Liveness.LEAVING)
    built.run_for(3.0)


def watch_forwards(built: fabric.Fabric) -> list:
    """Returns a list that fills with (receiver, message, timeout_s)."""
    seen = []
    original = built._call

    def call(name, state, made):
        if isinstance(made.message, peer_messages.ForwardRequest):
            seen.append((made.destination.name, made.message, made.timeout_s))
        original(name, state, made)

    built._call = call
    return seen
