"""Drives the decision core with the time and sockets of the event loop."""

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
    """Gives events to the core and its effects to their carriers.

    Attributes:
        effect_handlers: Functions that carry out effects, by type of effect.
        tasks: Running tasks, kept so that they are not collected.
        failures: Effects that could not be carried out.
    """

    def __init__(self, settings: HostSettings, seed: int) -> None:
        self.kernel = Kernel(settings, seed)
        self.effect_handlers: dict[type, EffectHandler] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.failures = 0

    def now(self) -> Instant:
        """Returns the present monotonic time in seconds."""
        return Instant(asyncio.get_running_loop().time())

    def start(self) -> None:
        """Starts the services of the core."""
        self.carry_out(self.kernel.start(self.now()))

    def handle_event(self, event: Any) -> None:
        """Gives an event to the core and carries out the effects."""
        self.carry_out(self.kernel.handle(event, self.now()))

    def carry_out(self, emitted: list[fx.Effect]) -> None:
        """Carries out effects in order, then starts the timer.

        An effect that fails must not keep the following ones from being
        carried out: among them may be the reply to another request.
        """
        for effect in emitted:
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception:
                self.failures += 1
                log.exception('an effect failed: %s', type(effect).__name__)
        self.start_timer()

    def start_timer(self) -> None:
        """Wakes the core at its next deadline."""
        self.stop_timer()
        deadline = self.kernel.next_deadline()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_at(
                deadline, self.handle_event, ev.TimerDue()
            )

    def stop_timer(self) -> None:
        """Cancels the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine and keeps its task until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self) -> None:
        """Cancels the timer and all tasks."""
        self.stop_timer()
        for task in tuple(self.tasks):
            task.cancel()
