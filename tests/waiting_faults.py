"""Random faults, among which an oracle watches what stands still.

Schedulers are killed, suspended or cut off, also at the moment when targets
crash for good, and work of several organisations goes on around that.
"""

from collections.abc import Iterable

from standins import platform_store
from tests import batch_fabric
from tests import batch_target_faults
from tests import waiting_jobs
from tests import waiting_oracle

FAULTS_S = 24.0
# The rule at the end: this long after the last job came, nothing stands still.
FINISH_S = 14.0
MAX_CUT_S = 4.0
# Targets are not taken away for good below this number.
MIN_TARGETS = 8


class RandomWaits(waiting_jobs.RandomJobs):
    """Draws faults and jobs."""

    def play(self) -> None:
        """Plays faults, removes them, and waits."""
        faults = (
            self.crash_for_good,
            self.crash_and_kill,
            self.crash_and_kill,
            self.restart_targets,
            self.kill_scheduler,
            self.kill_all,
            self.freeze_scheduler,
            self.stop_scheduler,
            self.cut_scheduler_from_store,
            self.cut_targets,
            self.cut_targets_from_store,
            self.mute_targets,
            self.drain_targets,
            self.spoil_targets,
            self.store_away,
            self.lose_writes,
            self.lose_starts,
            self.slow_commits,
            self.evacuate,
            self.cancel,
        )
        end_s = self.fabric.now_s + FAULTS_S
        fault_share = self.random.choice((0.1, 0.3, 0.6))
        while self.fabric.now_s < end_s:
            self.submit()
            if self.random.random() < fault_share:
                fault = self.random.choice(faults)
                self.note(fault.__name__)
                fault()
            self.fabric.run_for(self.random.choice((0.01, 0.1, 0.5, 1.0, 3.0)))
        self.note("the last fault was")
        self.end_faults()
        self.oracle.finished_s = self.fabric.now_s + FINISH_S
        self.fabric.run_for(FINISH_S + waiting_oracle.MAX_WAIT_S + 0.5)

    def end_faults(self) -> None:
        """Removes the faults that don't end by themselves."""
        fabric = self.fabric
        self.oracle.disturb()
        fabric.lost_start_share = fabric.dropped_start_share = 0.0
        fabric.late_share = fabric.store.lost_share = 0.0
        fabric.commit_delay_s = 0.0
        for domain in list(fabric.world.evacuated_s):
            fabric.readmit(domain)

    def draw_targets(self, most: int = 6) -> list[str]:
        """Draws some targets that are up, of one rack or any."""
        up = [it for it in self.fabric.world.targets.values() if it.up]
        busy = [it for it in up if it.runs] or up
        chosen = self.random.choice((up, busy))
        if self.random.random() < 0.2:
            rack = self.random.choice(chosen).labels[-1]
            return [it.id for it in up if it.labels[-1] == rack]
        count = min(len(chosen), self.random.randint(1, most))
        return [it.id for it in self.random.sample(chosen, count)]

    def count_up(self) -> int:
        """Returns how many targets are up."""
        return sum(it.up for it in self.fabric.world.targets.values())

    def crash_for_good(self) -> None:
        """Crashes targets that don't come back."""
        names = self.draw_targets()
        if self.count_up() > MIN_TARGETS:
            self.note(f"crash {names}")
            for name in names:
                self.fabric.crash_target(name)
        self.oracle.disturb()

    def crash_and_kill(self) -> None:
        """Crashes targets for good about when schedulers are killed."""
        kills = (self.kill_scheduler, self.kill_all)
        steps = [self.crash_for_good, self.random.choice(kills)]
        self.random.shuffle(steps)
        steps[0]()
        self.fabric.run_for(self.random.choice((0.0, 0.2, 0.8, 1.5)))
        steps[1]()

    def restart_targets(self) -> None:
        """Restarts targets, which report that up to a heartbeat later."""
        names = self.draw_targets()
        self.note(f"restart {names}")
        back_s = self.random.choice((0.02, 0.3, 2.0))
        late_s = self.random.random() * batch_target_faults.HEARTBEAT_S
        for name in names:
            self.fabric.crash_target(name, back_s, late_s)
        self.oracle.disturb(back_s + late_s)

    def kill(self, names: Iterable[str]) -> None:
        """Kills instances, which are back a little later."""
        back_s = self.random.choice((0.3, 1.0, 3.0))
        for name in names:
            self.fabric.kill(name)
            self.fabric.call_later(
                back_s, lambda name=name: self.start_instance(name)
            )
        self.oracle.disturb(back_s)

    def start_instance(self, name: str) -> None:
        """Starts an instance unless it runs."""
        if not self.fabric.instances[name].up:
            self.fabric.start_instance(name)

    def kill_scheduler(self) -> None:
        """Kills the scheduler."""
        scheduler = self.fabric.scheduler()
        if scheduler is not None:
            self.kill([scheduler.name])

    def kill_all(self) -> None:
        """Kills all instances."""
        self.kill([name for name, it in self.fabric.instances.items() if it.up])

    def stop_scheduler(self) -> None:
        """Stops the scheduler by plan."""
        scheduler = self.fabric.scheduler()
        if scheduler is not None:
            self.fabric.stop(scheduler.name)
            self.fabric.call_later(
                8.0, lambda: self.start_instance(scheduler.name)
            )
            self.oracle.disturb(8.0)

    def freeze_scheduler(self) -> None:
        """Suspends the scheduler's process for a while."""
        scheduler = self.fabric.scheduler()
        if scheduler is None:
            return
        seconds = self.random.random() * 4.0
        self.fabric.freeze(scheduler.name)
        self.oracle.disturb(seconds)
        self.fabric.call_later(seconds, lambda: self.thaw(scheduler))

    def thaw(self, instance: batch_fabric.Instance) -> None:
        """Resumes an instance if it is still suspended and in use."""
        is_current = self.fabric.instances[instance.name] is instance
        if is_current and instance.frozen:
            self.fabric.thaw(instance.name)

    def cut(self, links: set[frozenset[str]]) -> None:
        """Cuts links for a while."""
        seconds = self.random.random() * MAX_CUT_S
        self.fabric.cut |= links
        self.oracle.disturb(seconds)
        self.fabric.call_later(
            seconds, lambda: self.fabric.cut.difference_update(links)
        )

    def cut_scheduler_from_store(self) -> None:
        """Cuts the scheduler's link to the store."""
        scheduler = self.fabric.scheduler()
        if scheduler is not None:
            self.cut({frozenset((scheduler.name, "store"))})

    def cut_targets(self) -> None:
        """Cuts targets off from all instances, or from one."""
        instances = list(self.fabric.instances)
        if self.random.random() < 0.3:
            instances = [self.random.choice(instances)]
        names = self.draw_targets()
        self.cut({frozenset((a, b)) for a in names for b in instances})

    def cut_targets_from_store(self) -> None:
        """Cuts targets off from the store; their entries may expire."""
        for name in self.draw_targets(2):
            seconds = self.random.random() * 6.0
            self.fabric.cut_from_store(name)
            self.oracle.disturb(seconds)
            self.fabric.call_later(
                seconds, lambda name=name: self.fabric.rejoin_store(name)
            )

    def mute_targets(self) -> None:
        """Lets the replies of targets get lost for a while."""
        names = set(self.draw_targets(3))
        seconds = self.random.random() * MAX_CUT_S
        self.fabric.muted_targets |= names
        self.oracle.disturb(seconds)
        self.fabric.call_later(
            seconds, lambda: self.fabric.muted_targets.difference_update(names)
        )

    def drain_targets(self) -> None:
        """Lets targets leave by plan."""
        leaves_s = self.random.choice((2.0, 4.0, 8.0))
        refuses = self.random.random() < 0.5
        for name in self.draw_targets(3):
            target = self.fabric.world.targets[name]
            if not target.draining and self.count_up() > MIN_TARGETS:
                self.fabric.drain_target(name, leaves_s, refuses)
        self.oracle.disturb(leaves_s)

    def spoil_targets(self) -> None:
        """Lets runs on targets fail or stall for a while."""
        seconds = self.random.choice((1.0, 4.0))
        field = self.random.choice(("fails", "hangs"))
        names = self.draw_targets(3)
        targets = [self.fabric.world.targets[name] for name in names]

        def change(value: bool) -> None:
            for target in targets:
                setattr(target, field, value)

        change(True)
        self.oracle.disturb(seconds)
        self.fabric.call_later(seconds, lambda: change(False))

    def store_away(self) -> None:
        """Makes the store fail for all instances or for one."""
        outages = self.fabric.store.outages
        name = self.random.choice(("", "", *self.fabric.instances))
        seconds = self.random.choice((0.5, 2.0, 5.0))
        outages[name] = self.random.choice(list(platform_store.Outage))
        self.fabric.store.lapse = self.random.random() < 0.5
        self.oracle.disturb(seconds)
        self.fabric.call_later(seconds, lambda: outages.pop(name, None))

    def lose_writes(self) -> None:
        """Loses replies of the store for a while."""
        store = self.fabric.store
        store.lost_share = 0.4
        store.late_s = self.random.choice((0.0, 2.0, 5.0))
        self.oracle.disturb(3.0 + store.late_s)
        self.fabric.call_later(3.0, lambda: setattr(store, "lost_share", 0.0))

    def lose_starts(self) -> None:
        """Loses starts, their replies, or delays orders for a while."""
        fabric = self.fabric
        field = self.random.choice(
            ("lost_start_share", "dropped_start_share", "late_share")
        )
        setattr(fabric, field, 0.3)
        late_s = fabric.late_s if field == "late_share" else 0.0
        self.oracle.disturb(3.0 + late_s)
        fabric.call_later(3.0, lambda: setattr(fabric, field, 0.0))

    def slow_commits(self) -> None:
        """Makes the store slow for a while."""
        fabric = self.fabric
        fabric.commit_delay_s = 0.5
        self.oracle.disturb(3.0)
        fabric.call_later(3.0, lambda: setattr(fabric, "commit_delay_s", 0.0))

    def evacuate(self) -> None:
        """Evacuates a failure domain, or returns it to service."""
        domain = self.random.choice("ab")
        if domain in self.fabric.world.evacuated_s:
            self.fabric.readmit(domain)
        elif not self.fabric.world.evacuated_s:
            self.fabric.evacuate(domain)
        self.oracle.disturb()
