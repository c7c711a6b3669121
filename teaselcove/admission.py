"""Queue of requests that wait for a free slot of a service."""

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
    """A request that waits for a slot.

    Attributes:
        weight: Share of the service relative to other organisations.
        deadline: When the caller stops waiting.
        exclude: Servers that have failed this request.
        again: Whether the request has already left the queue once.
        not_before: When it may join the queue.
        idempotent: Whether the call may be repeated.
    """

    request_id: RequestId
    organisation: OrganisationId
    service: ServiceId
    weight: float
    deadline: Instant
    exclude: frozenset[BackendServerId] = frozenset()
    again: bool = False
    not_before: Instant = Instant(0)
    idempotent: bool = False


class Queue(Protocol):
    """Interface of the policies that order waiting requests."""

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket, or refuses it."""

    def surplus(self) -> Ticket | None:
        """Returns the ticket to refuse if the queue has grown too long."""

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the next ticket that may start, without removing it."""

    def take(self, ticket: Ticket, now: Instant) -> None:
        """Removes the ticket that `peek` gave, because it starts."""

    def remove(self, request_id: RequestId) -> None:
        """Removes a ticket that waits no longer."""

    def is_idle(self, now: Instant) -> bool:
        """Returns whether nothing waits and another attempt may start."""

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes an attempt."""

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Notes how an attempt ended."""


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

    def surplus(self) -> None:
        """Returns None: a full queue refuses in `push`."""

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the oldest ticket."""
        return self.tickets[0] if self.tickets else None

    def take(self, ticket: Ticket, now: Instant) -> None:
        """Removes the oldest ticket."""
        self.tickets.popleft()

    def remove(self, request_id: RequestId) -> None:
        """Removes a ticket."""
        self.tickets = deque(
            ticket for ticket in self.tickets if ticket.request_id != request_id
        )

    def is_idle(self, now: Instant) -> bool:
        """Returns whether nothing waits."""
        return not self.tickets

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Does nothing: the order does not depend on it."""

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Does nothing: the order does not depend on it."""


@services.register('admission')
class Admission:
    """Keeps a queue for each service and dispatches from it.

    Attributes:
        waiting: Service of each request in a queue.
        blocked: Services whose queue is tried again by a timer.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        factory = queues.get(kernel.settings.policies.queue)
        self.queues: defaultdict[ServiceId, Queue] = defaultdict(
            lambda: factory(kernel)
        )
        self.waiting: dict[RequestId, ServiceId] = {}
        self.blocked: set[ServiceId] = set()

    def offer(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Queues a request and dispatches what can run."""
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
        surplus = queue.surplus()
        if surplus is not None:
            full = not_run(Reason.QUEUE_FULL, QUEUE_RETRY_S)
            self.refuse(surplus, full, now)
        return None

    def resume(self, ticket: Ticket, now: Instant) -> None:
        """Queues a request after its pause, unless it has ended."""
        if ticket.request_id not in self.waiting:
            return
        refusal = self.offer(ticket, now)
        if refusal is not None:
            self.refuse(ticket, refusal, now)

    def refuse(self, ticket: Ticket, refusal: Refusal, now: Instant) -> None:
        """Ends a request that waits."""
        self.cancel(ticket.request_id, now)
        requests = self.kernel.service('requests')
        requests.refuse(requests.states[ticket.request_id], refusal, now)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Removes a request that no longer waits."""
        service = self.waiting.pop(request_id, None)
        if service is not None:
            self.queues[service].remove(request_id)

    def is_idle(self, service: ServiceId, now: Instant) -> bool:
        """Returns whether a second attempt would delay nobody."""
        return self.queues[service].is_idle(now)

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes an attempt."""
        self.queues[attempt.service].attempt_started(attempt, now)

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Notes the end of an attempt and dispatches what can run."""
        self.queues[attempt.service].attempt_finished(attempt, event, now)
        self.dispatch(attempt.service, now)

    def dispatch(self, service: ServiceId, now: Instant) -> None:
        """Gives free slots of a service to the requests that wait."""
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
        """Returns a server; one that has failed the request if need be.

        Without that, a request that all servers with a free slot have shed
        would hold up those behind it.
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
        """Tries again after a while, in case a server becomes usable."""
        if service not in self.blocked:
            self.blocked.add(service)
            at = Instant(now + QUEUE_RETRY_S)
            self.kernel.call_at(at, lambda later: self.retry(service, later))

    def retry(self, service: ServiceId, now: Instant) -> None:
        """Tries a queue again."""
        self.blocked.discard(service)
        self.dispatch(service, now)
