"""Queue of requests that wait for a free slot of a service."""

from collections import defaultdict, deque
from typing import Any, Protocol

import msgspec

from teaselcove.errors import Reason, Refusal, not_run
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
    """A request that waits for a slot.

    Attributes:
        weight: Share of the service relative to other organisations.
        deadline: When the caller stops waiting.
        exclude: Servers that have failed this request.
        idempotent: Whether the call may be repeated.
    """

    request_id: RequestId
    organisation: OrganisationId
    service: ServiceId
    weight: float
    deadline: Instant
    exclude: frozenset[BackendServerId] = frozenset()
    idempotent: bool = False


class Queue(Protocol):
    """Interface of the policies that order waiting requests."""

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket, or refuses it."""

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the next ticket without removing it."""

    def remove(self, request_id: RequestId) -> None:
        """Removes a ticket."""


queues: Registry[Any] = Registry('queue')


@queues.register('fifo')
class FifoQueue:
    """Baseline that serves requests in order of arrival."""

    def __init__(self, kernel: Kernel) -> None:
        self.tickets: deque[Ticket] = deque()

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket unless the queue is full."""
        if len(self.tickets) >= MAX_QUEUED:
            return not_run(Reason.QUEUE_FULL, QUEUE_RETRY_S)
        self.tickets.append(ticket)
        return None

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the oldest ticket."""
        return self.tickets[0] if self.tickets else None

    def remove(self, request_id: RequestId) -> None:
        """Removes a ticket."""
        self.tickets = deque(
            ticket for ticket in self.tickets if ticket.request_id != request_id
        )


@services.register('admission')
class Admission:
    """Keeps a queue for each service and dispatches from it."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        factory = queues.get(kernel.settings.policies.queue)
        self.queues: defaultdict[ServiceId, Queue] = defaultdict(
            lambda: factory(kernel)
        )
        self.waiting: dict[RequestId, ServiceId] = {}

    def offer(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Queues a request and dispatches what can run."""
        refusal = self.queues[ticket.service].push(ticket, now)
        if refusal is not None:
            return refusal
        self.waiting[ticket.request_id] = ticket.service
        self.dispatch(ticket.service, now)
        return None

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Removes a request that no longer waits."""
        service = self.waiting.pop(request_id, None)
        if service is not None:
            self.queues[service].remove(request_id)

    def dispatch(self, service: ServiceId, now: Instant) -> None:
        """Gives free slots of a service to the requests that wait."""
        queue = self.queues[service]
        routing = self.kernel.service('routing')
        ticket = queue.peek(now)
        while ticket is not None:
            server = routing.pick(
                service, ticket.exclude, now, ticket.idempotent
            )
            if server is None:
                self.retry_later(service, now)
                return
            self.cancel(ticket.request_id, now)
            self.kernel.service('requests').dispatch(
                ticket.request_id, server, now
            )
            ticket = queue.peek(now)

    def retry_later(self, service: ServiceId, now: Instant) -> None:
        """Tries again after a while, in case a server becomes usable."""
        self.kernel.call_at(
            Instant(now + QUEUE_RETRY_S),
            lambda later: self.dispatch(service, later),
        )
