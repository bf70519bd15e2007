"""Virtual time, and the delivery of calls to the models of stand-ins."""

import enum
import heapq
import itertools
from collections.abc import Callable
from typing import Any

from dandelionpick import effects
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import store_messages
from standins import instance_list
from standins import store as store_lib

START_UNIX_MS = 1_800_000_000_000
TICK_S = 0.1


class StoreFault(enum.Enum):
    """Faults of the store."""

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_REPLIES = "loses_replies"


class StandIns:
    """Models of the platform and the targets, driven in virtual time.

    Attributes:
        queue: heap of actions with their time and a number that orders actions
            of the same time.
        counter: source of unique numbers.
        targets: models of executors and workers by name.
    """

    def __init__(self):
        self.now_s = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count(1)
        self.store = store_lib.Store()
        self.store_fault = StoreFault.NONE
        self.list = instance_list.InstanceList(lag_s=1.0)
        self.targets: dict[str, Any] = {}

    # Time.

    def unix_ms(self) -> int:
        """Returns the current wall-clock time in Unix milliseconds."""
        return START_UNIX_MS + int(self.now_s * 1000)

    def run_for(self, seconds: float) -> None:
        """Advances virtual time."""
        end_s = self.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
        self.now_s = end_s

    def run_until(
        self, condition: Callable[[], bool], limit_s: float = 60.0
    ) -> bool:
        """Advances until a condition holds.

        Returns:
            Whether it holds; False after `limit_s`.
        """
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            if condition():
                return True
            self.run_for(TICK_S)
        return condition()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        item = (self.now_s + delay_s, next(self.counter), action)
        heapq.heappush(self.queue, item)

    # Calls.

    def handle_store_call(
        self, call: effects.Call, reply: Callable[[Any], None]
    ) -> None:
        """Passes a call to the store unless its fault prevents that."""
        if self.store_fault is StoreFault.SILENT:
            return
        message = self.store.handle(call.message, self.now_s)
        wait_s = getattr(call.message, "wait_s", 0.0)
        if wait_s and isinstance(message, store_messages.Unchanged):
            end_s = self.now_s + wait_s
            self.at(TICK_S, lambda: self._continue_watch(call, reply, end_s))
            return
        if self.store_fault is not StoreFault.LOSES_REPLIES:
            reply(message)

    def _continue_watch(
        self, call: effects.Call, reply: Callable[[Any], None], end_s: float
    ) -> None:
        value = self.store.answer(call.message, self.now_s)
        unchanged = isinstance(value, store_messages.Unchanged)
        if unchanged and self.now_s < end_s:
            self.at(TICK_S, lambda: self._continue_watch(call, reply, end_s))
        elif self.store_fault is StoreFault.NONE:
            reply(value)

    def handle_target_call(
        self, call: effects.Call, reply: Callable[[Any], None]
    ) -> None:
        """Passes a call to a target; a start is answered at the task's end."""
        model = self.targets.get(call.destination.name)
        if model is None:
            return
        message = model.handle(call.message, self.now_s, self.unix_ms())
        if isinstance(message, executor_messages.TaskRunning) and isinstance(
            call.message, executor_messages.StartTask
        ):
            end_s = model.tasks[message.task_id].end_s
            self.at(
                max(0.0, end_s - self.now_s) + 0.001,
                lambda: self._finish_task(call, model, message.task_id, reply),
            )
            return
        if not self._loses_reply(model, call.message):
            reply(message)

    def _loses_reply(self, model: Any, message: Any) -> bool:
        """Returns whether a target's fault loses its reply to a message."""
        loses_reply = getattr(model, "loses_reply", None)
        return loses_reply is not None and loses_reply(message)

    def _finish_task(
        self,
        call: effects.Call,
        model: Any,
        task_id: ids.TaskId,
        reply: Callable[[Any], None],
    ) -> None:
        """Replies to a start whose task has ended on the same target."""
        if self._loses_reply(model, call.message):
            return
        if self.targets.get(call.destination.name) is model:
            reply(model.describe(task_id, self.now_s))
