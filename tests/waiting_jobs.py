"""Random jobs of several organisations, on targets that an oracle watches."""

import random

from dandelionpick.batch import features
from dandelionpick.batch import messages
from dandelionpick.platform import jobs
from dandelionpick.platform import keys
from tests import batch_builders as builders
from tests import waiting_oracle

INSTANCES = 3
RACK_TARGETS = 4
DOMAINS = 2
# Longer than any example.
LASTING_WORK_S = 600.0
ORGANISATIONS = {"ward": 8, "yard": 16, "dock": 0}
FEATURES = (
    features.Features(departures=True, target_reliability=True),
    features.Features(True, True, True, True, True, True, True),
)


def configuration() -> bytes:
    """Returns a configuration with several organisations."""
    tenants = [
        builders.tenant(name, f"key-{name}", guaranteed)
        for name, guaranteed in ORGANISATIONS.items()
    ]
    return builders.configuration_value(
        2,
        tenants=[*tenants, builders.tenant("first", builders.KEY, 0)],
    )


class RandomJobs:
    """Draws jobs, and sends them to instances that are up.

    Attributes:
        sent: replies to each submission.
        story: what was done, with times.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        targets = self.random.choice((12, 24, 40))
        self.fabric = waiting_oracle.WatchedFabric(
            seed=seed,
            instances=INSTANCES,
            target_count=0,
            evacuate_s=5.0,
            features=self.random.choice(FEATURES),
        )
        self.fabric.store.put(keys.CONFIGURATION_KEY, configuration())
        for number in range(targets):
            self.fabric.add_target(
                f"t{number}",
                rack=f"r{number // RACK_TARGETS}",
                zone="abcd"[number * DOMAINS // targets],
                capacity={"cpu": 128_000, "mem_mb": 512_000, "gpu": 8},
            )
        self.oracle = waiting_oracle.WaitingOracle(self.fabric)
        self.fabric.run_until(self.fabric.scheduler, 5.0)
        self.fabric.run_for(self.random.choice((0.5, 4.0)))
        self.sent: list[list[messages.Reply]] = []
        self.story: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line to the story."""
        self.story.append(f"{self.fabric.now_s:7.2f} {text}")
        self.fabric.log.append(f"{self.fabric.now_s:7.2f} -- {text}")

    def running_instances(self) -> list[str]:
        """Returns the instances that are up and not suspended."""
        return [
            name
            for name, it in self.fabric.instances.items()
            if it.up and not it.frozen
        ]

    def submit(self) -> None:
        """Submits a job of a random shape to an instance that is up."""
        up = self.running_instances()
        if not up:
            return
        number = len(self.sent) + 1
        steps = [self.draw_step()]
        if self.random.random() < 0.3:
            steps.append({**self.draw_step(), "after": [0]})
            for step in steps:
                step.pop("long_running", None)
        work_s = self.random.choice((0.1, 0.5, 2.0, 6.0, 12.0))
        if any(step.get("long_running") for step in steps):
            work_s = LASTING_WORK_S
        body = builders.body(*steps, work_s=work_s)
        self.fabric.register(number, body)
        if steps[0].get("long_running"):
            # Work that lasts may fail any number of times.
            del self.fabric.world.attempts[builders.job_id(number)]
        spec = jobs.decode(body).unwrap()
        organisation = self.random.choice(list(ORGANISATIONS))
        message = builders.submit(
            number,
            spec,
            self.random.choice((0, 1, 1, 2)),
            credential=f"key-{organisation}",
        )
        self.sent.append(self.fabric.send(self.random.choice(up), message))
        if self.random.random() < 0.1:
            self.fabric.send(self.random.choice(up), message)

    def draw_step(self) -> dict:
        """Draws the shape of a step."""
        draw = self.random.random
        gang = draw() < 0.3
        step = builders.phase(
            self.random.choice((1, 2, 4, 8)),
            gpu=self.random.choice((0, 1, 2)),
            gang=gang,
            checkpointing=draw() < 0.4,
        )
        if gang and draw() < 0.5:
            step["same_rack"] = True
        if not gang and draw() < 0.1:
            step["long_running"] = True
        if not gang and draw() < 0.1:
            step["allow_duplicates"] = True
        if draw() < 0.1:
            step["anti_affinity"] = 2
        if draw() < 0.1:
            step["requirements"] = "kind"
        if draw() < 0.1:
            step["affinity"] = f"r{self.random.randint(0, 2)}"
        return step

    def cancel(self) -> None:
        """Cancels a job."""
        up = self.running_instances()
        if up and self.sent:
            number = self.random.randint(1, len(self.sent))
            self.fabric.send(self.random.choice(up), builders.cancel(number))
