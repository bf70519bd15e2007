"""Faults of the simulated targets, for tests of scheduled jobs."""

from collections.abc import Callable
from typing import Any

from dandelionpick.platform import keys
from standins import platform_oracle
from standins import platform_store
from standins import platform_targets

HEARTBEAT_S = 1.5
ENTRY_TTL_S = 3 * HEARTBEAT_S
# How long a target that a task has crashed takes to restart.
TARGET_RESTART_S = 3.3


class TargetFaults:
    """Crashes, drains and resizes targets.

    Attributes:
        now_s: the simulation's time.
        store: the store, which has the targets' entries.
        world: the targets.
        renames_crashed: a target that a task has crashed comes back under
            another id.
        replaced_targets: targets whose address another target has.
        unheard_targets: targets that can't reach the store.
        refusing_targets: targets whose machine is up, so that it refuses
            connections after they have exited.
        call_later: schedules an action.
        add_target: adds a target.
    """

    now_s: float
    store: platform_store.PlatformStore
    world: platform_oracle.World
    renames_crashed: bool
    replaced_targets: set[str]
    unheard_targets: set[str]
    refusing_targets: set[str]
    call_later: Callable[..., None]
    add_target: Callable[..., Any]

    def crash_target(
        self,
        name: str,
        back_s: float | None = None,
        reports_after_s: float = 0.0,
    ) -> None:
        """Crashes a target; its entry expires unless it restarts before.

        Args:
            name: name of the target.
            back_s: seconds until it restarts; None if it does not.
            reports_after_s: seconds from its restart until it writes its entry.
        """
        target = self.world.targets[name]
        target.crash()
        self.call_later(ENTRY_TTL_S, lambda: self._expire_entry(target))
        if back_s is None:
            return
        self.call_later(back_s, lambda: target.boot(self.now_s))
        self.call_later(back_s + reports_after_s, lambda: self._report(target))

    def _restart_crashed(self, target: platform_targets.Target) -> None:
        """Restarts a target that a task has crashed."""
        self.call_later(ENTRY_TTL_S, lambda: self._expire_entry(target))
        if not self.renames_crashed:
            self.call_later(TARGET_RESTART_S, lambda: self._reboot(target))
            return
        name, rack = f"{target.id}+", target.labels[-1]

        def restart() -> None:
            self.add_target(name, rack=rack)
            self.replaced_targets.add(target.id)

        self.call_later(TARGET_RESTART_S, restart)

    def resize_target(self, name: str, **capacity: int) -> None:
        """Changes the capacity of a target that stays up."""
        target = self.world.targets[name]
        target.capacity = {**target.capacity, **capacity}
        self.store.put(keys.TARGETS_PREFIX + name, target.entry())

    def cut_from_store(self, name: str, expires_s: float = ENTRY_TTL_S) -> None:
        """Cuts the link of a target to the store; its entry expires."""
        self.unheard_targets.add(name)
        target = self.world.targets[name]
        self.call_later(expires_s, lambda: self._expire_entry(target))

    def rejoin_store(self, name: str) -> None:
        """Restores the link of a target to the store."""
        self.unheard_targets.discard(name)
        self._report(self.world.targets[name])

    def _expire_entry(self, target: platform_targets.Target) -> None:
        if not target.up or target.id in self.unheard_targets:
            self.store.remove(keys.TARGETS_PREFIX + target.id)

    def _reboot(self, target: platform_targets.Target) -> None:
        target.boot(self.now_s)
        self._report(target)

    def _report(self, target: platform_targets.Target) -> None:
        if target.up and target.id not in self.unheard_targets:
            self.store.put(keys.TARGETS_PREFIX + target.id, target.entry())

    def drain_target(
        self, name: str, leaves_s: float, refuses: bool = True
    ) -> None:
        """Marks a target as draining; it leaves after `leaves_s` seconds.

        Args:
            name: name of the target.
            leaves_s: seconds until it leaves.
            refuses: whether its machine refuses connections from then on.
        """
        target = self.world.targets[name]
        target.draining = True
        target.now_s = self.now_s
        target.leaves_s = self.now_s + leaves_s

        def report() -> None:
            if target.up:
                self._report(target)
                self.call_later(HEARTBEAT_S, report)

        report()

        def leave() -> None:
            target.crash()
            self.store.remove(keys.TARGETS_PREFIX + name)
            if refuses:
                self.refusing_targets.add(name)

        self.call_later(leaves_s, leave)

    def evacuate(self, domain: str, value: bytes = b"{}") -> None:
        """Requests the evacuation of a failure domain, as operators do."""
        self.store.put(keys.EVACUATIONS_PREFIX + domain, value)
        self.world.evacuated_s.setdefault(domain, self.now_s)

    def readmit(self, domain: str) -> None:
        """Ends the evacuation of a failure domain."""
        self.world.evacuated_s.pop(domain, None)
        self.store.remove(keys.EVACUATIONS_PREFIX + domain)
