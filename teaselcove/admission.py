"""Queues of requests that wait for a free slot of a service."""

from collections import defaultdict, deque
from typing import Any, Protocol

import msgspec

from teaselcove.attempts import Attempt
from teaselcove.entities import Server
from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.events import AttemptFinished
from teaselcove.ids import (
    BackendServerId,
    Instant,
    OrganisationId,
    RequestId,
    ServiceId,
)
from teaselcove.kernel import Kernel, services
from teaselcove.registry import Registry

MAX_QUEUED = 64
QUEUE_RETRY_S = 0.05


class Ticket(msgspec.Struct, frozen=True):
    """A request that waits for a slot of its service.

    Attributes:
        weight: Share of the service relative to other organisations.
        deadline: When the caller stops waiting.
        exclude: Servers to avoid, as they have failed this request.
        is_retry: Whether the request has been dispatched before.
        not_before: When its back-off ends and it may join the queue.
        idempotent: Whether the call may be repeated.
    """

    request_id: RequestId
    organisation: OrganisationId
    service: ServiceId
    weight: float
    deadline: Instant
    exclude: frozenset[BackendServerId] = frozenset()
    is_retry: bool = False
    not_before: Instant = Instant(0)
    idempotent: bool = False


class Queue(Protocol):
    """Interface of queueing policies."""

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket or returns its refusal."""

    def excess_ticket(self) -> Ticket | None:
        """Returns the ticket to refuse if the queue is too long, or None."""

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the next ticket that may start, without removing it."""

    def take(self, ticket: Ticket, now: Instant) -> None:
        """Removes the ticket that `peek` returned, because it starts."""

    def remove(self, request_id: RequestId) -> None:
        """Removes the ticket of a request that no longer waits."""

    def is_idle(self, now: Instant) -> bool:
        """Returns whether the queue is empty and an attempt may start."""

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Records the end of an attempt."""


queues: Registry[Any] = Registry('queue')


@queues.register('fifo')
class FifoQueue:
    """Baseline policy: serves requests in order of arrival."""

    def __init__(self, kernel: Kernel) -> None:
        self.tickets: deque[Ticket] = deque()

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket unless the queue is full."""
        if len(self.tickets) >= MAX_QUEUED:
            return not_run(Reason.QUEUE_FULL, QUEUE_RETRY_S)
        self.tickets.append(ticket)
        return None

    def excess_ticket(self) -> None:
        """Returns None: `push` already refuses when the queue is full."""

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the oldest ticket, or None."""
        return self.tickets[0] if self.tickets else None

    def take(self, ticket: Ticket, now: Instant) -> None:
        """Removes the oldest ticket."""
        self.tickets.popleft()

    def remove(self, request_id: RequestId) -> None:
        """Removes the ticket of a request."""
        self.tickets = deque(
            ticket for ticket in self.tickets if ticket.request_id != request_id
        )

    def is_idle(self, now: Instant) -> bool:
        """Returns whether the queue is empty."""
        return not self.tickets

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Does nothing: the order does not depend on attempts."""

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Does nothing: the order does not depend on attempts."""


@services.register('admission')
class Admission:
    """Queues requests by service and dispatches them to free slots.

    Attributes:
        waiting: Service of each request that is queued or backs off.
        retry_scheduled: Services whose queue a timer will try again.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        factory = queues.get(kernel.settings.policies.queue)
        self.queues: defaultdict[ServiceId, Queue] = defaultdict(
            lambda: factory(kernel)
        )
        self.waiting: dict[RequestId, ServiceId] = {}
        self.retry_scheduled: set[ServiceId] = set()

    def offer(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Queues a request and dispatches requests to free slots."""
        if ticket.not_before > now:
            self.waiting[ticket.request_id] = ticket.service
            self.kernel.call_at(
                ticket.not_before, lambda later: self.resume(ticket, later)
            )
            return None
        queue = self.queues[ticket.service]
        refusal = queue.push(ticket, now)
        if refusal is not None:
            return refusal
        self.waiting[ticket.request_id] = ticket.service
        self.dispatch(ticket.service, now)
        excess_ticket = queue.excess_ticket()
        if excess_ticket is not None:
            full = not_run(Reason.QUEUE_FULL, QUEUE_RETRY_S)
            self.refuse(excess_ticket, full, now)
        return None

    def resume(self, ticket: Ticket, now: Instant) -> None:
        """Queues a request after its back-off, unless it has ended."""
        if ticket.request_id not in self.waiting:
            return
        refusal = self.offer(ticket, now)
        if refusal is not None:
            self.refuse(ticket, refusal, now)

    def refuse(self, ticket: Ticket, refusal: Refusal, now: Instant) -> None:
        """Refuses a waiting request."""
        self.cancel(ticket.request_id, now)
        requests = self.kernel.service('requests')
        requests.refuse(requests.states[ticket.request_id], refusal, now)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Removes a request from its queue or its back-off."""
        service = self.waiting.pop(request_id, None)
        if service is not None:
            self.queues[service].remove(request_id)

    def is_idle(self, service: ServiceId, now: Instant) -> bool:
        """Returns whether a hedge would delay no waiting request."""
        return self.queues[service].is_idle(now)

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""
        self.queues[attempt.service].attempt_started(attempt, now)

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Records the end of an attempt and dispatches to free slots."""
        self.queues[attempt.service].attempt_finished(attempt, event, now)
        self.dispatch(attempt.service, now)

    def dispatch(self, service: ServiceId, now: Instant) -> None:
        """Dispatches waiting requests to the free slots of a service."""
        queue = self.queues[service]
        ticket = queue.peek(now)
        while ticket is not None:
            server = self.pick(ticket, now)
            if server is None:
                self.retry_later(service, now)
                return
            queue.take(ticket, now)
            self.waiting.pop(ticket.request_id, None)
            self.kernel.service('requests').dispatch(
                ticket.request_id, server, now
            )
            ticket = queue.peek(now)

    def pick(self, ticket: Ticket, now: Instant) -> Server | None:
        """Returns a server with a free slot, or None.

        Falls back to a server that has failed the request. Otherwise a request
        that all servers with a free slot have shed would block the requests
        behind it.
        """
        routing = self.kernel.service('routing')
        server = routing.pick(
            ticket.service, ticket.exclude, now, ticket.idempotent
        )
        if server is None and ticket.exclude:
            server = routing.pick(
                ticket.service, frozenset(), now, ticket.idempotent
            )
        return server

    def retry_later(self, service: ServiceId, now: Instant) -> None:
        """Schedules another dispatch, in case a server becomes usable."""
        if service not in self.retry_scheduled:
            self.retry_scheduled.add(service)
            at = Instant(now + QUEUE_RETRY_S)
            self.kernel.call_at(at, lambda later: self.retry(service, later))

    def retry(self, service: ServiceId, now: Instant) -> None:
        """Dispatches again after the delay."""
        self.retry_scheduled.discard(service)
        self.dispatch(service, now)
