"""Runs the decision core on the asyncio event loop."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from teaselcove import effects as fx
from teaselcove import events as ev
from teaselcove.core import Kernel
from teaselcove.ids import Instant
from teaselcove.settings import HostSettings

log = logging.getLogger(__name__)

EffectHandler = Callable[[Any], None]


class Driver:
    """Passes events to the core and executes the resulting effects.

    Attributes:
        effect_handlers: Functions that execute effects, by type of effect.
        tasks: Running tasks; the references protect them from garbage
            collection.
        failed_effects: Number of effects whose handler raised an exception.
    """

    def __init__(self, settings: HostSettings, seed: int) -> None:
        self.kernel = Kernel(settings, seed)
        self.effect_handlers: dict[type, EffectHandler] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.failed_effects = 0

    def now(self) -> Instant:
        """Returns the current monotonic time in seconds."""
        return Instant(asyncio.get_running_loop().time())

    def start(self) -> None:
        """Starts the services of the core."""
        self.execute(self.kernel.start(self.now()))

    def handle_event(self, event: Any) -> None:
        """Passes an event to the core and executes the effects."""
        self.execute(self.kernel.handle(event, self.now()))

    def execute(self, effects: list[fx.Effect]) -> None:
        """Executes effects in order, then restarts the timer.

        An exception must not prevent the following effects, which may include
        the reply to another request.
        """
        for effect in effects:
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception:
                self.failed_effects += 1
                log.exception(
                    'failed to execute effect %s', type(effect).__name__
                )
        self.start_timer()

    def start_timer(self) -> None:
        """Schedules a wake-up of the core at its next deadline."""
        self.stop_timer()
        deadline = self.kernel.next_deadline()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_at(
                deadline, self.handle_event, ev.TimerDue()
            )

    def stop_timer(self) -> None:
        """Cancels the wake-up of the core."""
        if self.timer is not None:
            self.timer.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self) -> None:
        """Cancels the timer and all tasks."""
        self.stop_timer()
        for task in tuple(self.tasks):
            task.cancel()
