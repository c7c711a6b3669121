"""Service container with event dispatch and timers, without I/O."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

from teaselcove.effects import Effect, LogDecision
from teaselcove.events import PauseDetected, PeerMessageReceived, TimerDue
from teaselcove.ids import Instant, TimerId
from teaselcove.registry import Registry

# A timer that fires later than this indicates that the process was paused.
PAUSE_LIMIT_S = 0.5

services: Registry[type] = Registry('service')
HandlerT = TypeVar('HandlerT', bound=Callable[..., None])
TimerCallback = Callable[[Instant], None]


def on(handled_type: type) -> Callable[[HandlerT], HandlerT]:
    """Returns a decorator that subscribes a method to events or messages."""

    def decorator(method: HandlerT) -> HandlerT:
        method.handles = handled_type  # type: ignore[attr-defined]
        return method

    return decorator


class Kernel:
    """Runs the services of one host and collects their effects."""

    def __init__(
        self,
        settings: Any,
        seed: int = 0,
        names: list[str] | None = None,
        registry: Registry[type] | None = None,
    ) -> None:
        """Builds the services.

        Args:
            settings: Settings of the host.
            seed: Seed of the random generator that all services share.
            names: Names of the services to build; all registered ones by
                default.
            registry: Registry of the services; `services` by default.
        """
        self.settings = settings
        self.random = random.Random(seed)
        self.effects: list[Effect] = []
        self.timers: list[tuple[Instant, TimerId, TimerCallback]] = []
        self.cancelled: set[TimerId] = set()
        self.timer_ids = itertools.count(1)
        self.handlers: dict[type, list[Callable[..., None]]] = defaultdict(list)
        self.services: dict[str, Any] = {}
        entries = services if registry is None else registry
        for name in names or entries.names():
            self.add_service(name, entries.get(name)(self))

    def add_service(self, name: str, service: Any) -> None:
        """Adds a service and subscribes its handlers."""
        self.services[name] = service
        for attribute in dir(type(service)):
            method = getattr(type(service), attribute)
            handled_type = getattr(method, 'handles', None)
            if handled_type is not None:
                self.handlers[handled_type].append(getattr(service, attribute))

    def service(self, name: str) -> Any:
        """Returns the service with a name."""
        return self.services[name]

    def start(self, now: Instant) -> list[Effect]:
        """Starts all services; returns their first effects."""
        for service in self.services.values():
            if hasattr(service, 'start'):
                service.start(now)
        return self.take_effects()

    def handle(self, event: Any, now: Instant) -> list[Effect]:
        """Runs due timers, then the handlers of an event.

        Args:
            event: An event of a type in the module `events`.
            now: Current time in seconds; monotonic.

        Returns:
            The effects to execute, in order.
        """
        self.detect_pause(now)
        self.run_timers(now)
        if isinstance(event, PeerMessageReceived):
            self.dispatch_message(event, now)
        elif not isinstance(event, TimerDue):
            self.publish(event, now)
        return self.take_effects()

    def publish(self, event: Any, now: Instant) -> None:
        """Calls the handlers subscribed to the type of an event."""
        for handler in self.handlers[type(event)]:
            handler(event, now)

    def dispatch_message(
        self, event: PeerMessageReceived, now: Instant
    ) -> None:
        """Calls event handlers, then the handlers of a peer's message."""
        self.publish(event, now)
        for handler in self.handlers[type(event.message)]:
            handler(event.sender, event.message, now)

    def detect_pause(self, now: Instant) -> None:
        """Publishes a pause before any service uses expired authority."""
        deadline = self.next_deadline()
        if deadline is not None and now - deadline > PAUSE_LIMIT_S:
            self.publish(PauseDetected(now - deadline), now)

    def run_timers(self, now: Instant) -> None:
        """Runs the callbacks of all timers that are due."""
        while self.timers and self.timers[0][0] <= now:
            _, timer_id, callback = heapq.heappop(self.timers)
            if timer_id in self.cancelled:
                self.cancelled.discard(timer_id)
            else:
                callback(now)

    def call_at(self, at: Instant, callback: TimerCallback) -> TimerId:
        """Schedules a callback; returns an id for `cancel`."""
        timer_id = TimerId(next(self.timer_ids))
        heapq.heappush(self.timers, (at, timer_id, callback))
        return timer_id

    def cancel(self, timer_id: TimerId) -> None:
        """Cancels a timer that has not fired."""
        self.cancelled.add(timer_id)

    def next_deadline(self) -> Instant | None:
        """Returns when the next timer fires, or None."""
        while self.timers and self.timers[0][1] in self.cancelled:
            _, timer_id, _ = heapq.heappop(self.timers)
            self.cancelled.discard(timer_id)
        return self.timers[0][0] if self.timers else None

    def emit(self, effect: Effect) -> None:
        """Adds an effect to the result of the current event."""
        self.effects.append(effect)

    def decide(self, kind: str, **figures: Any) -> None:
        """Emits an effect that logs a decision."""
        self.emit(LogDecision(kind, figures))

    def take_effects(self) -> list[Effect]:
        """Returns and clears the collected effects."""
        effects = self.effects
        self.effects = []
        return effects
