"""Weighted fair queue between organisations, with early refusal."""

import heapq
import itertools
from collections import deque

import msgspec

from teaselcove.admission import QUEUE_RETRY_S, Ticket, queues
from teaselcove.attempts import Attempt
from teaselcove.concurrency import ConcurrencyLimit
from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.events import AttemptFinished
from teaselcove.ids import Instant, OrganisationId, RequestId
from teaselcove.kernel import Kernel

MAX_PER_ORGANISATION = 64
MAX_TOTAL = 256
MIN_WEIGHT = 0.01
# Shorter queues say too little about the wait to refuse because of it.
MIN_QUEUED_TO_REFUSE = 4
RATE_WINDOW_S = 0.5


class Flow(msgspec.Struct):
    """The waiting requests of one organisation.

    Attributes:
        tag: Virtual time at which the first ticket may start.
    """

    weight: float
    tag: float
    tickets: deque[Ticket]


class StartRate:
    """Requests started per second, over a short window."""

    def __init__(self) -> None:
        self.started: deque[Instant] = deque()

    def note(self, now: Instant) -> None:
        """Notes that a request has started."""
        self.started.append(now)
        self.forget(now)

    def forget(self, now: Instant) -> None:
        """Drops what is older than the window."""
        while self.started and self.started[0] <= now - RATE_WINDOW_S:
            self.started.popleft()

    def per_second(self, now: Instant) -> float:
        """Returns the rate."""
        self.forget(now)
        return len(self.started) / RATE_WINDOW_S


@queues.register('weighted-fair')
class WeightedFairQueue:
    """Start-time fair queueing between organisations.

    Each organisation has a bounded queue. The organisation whose next
    request has the lowest tag is served; a request advances the tag by the
    reciprocal of its organisation's weight.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.flows: dict[OrganisationId, Flow] = {}
        self.heads: list[tuple[float, int, OrganisationId]] = []
        self.finished_tags: dict[OrganisationId, float] = {}
        self.owner: dict[RequestId, OrganisationId] = {}
        self.sequence = itertools.count()
        self.virtual = float(0)
        self.limit = ConcurrencyLimit()
        self.rate = StartRate()

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket unless its wait would be too long."""
        flow = self.flows.get(ticket.organisation)
        if flow is None:
            flow = self.open_flow(ticket)
        elif not ticket.again:
            refusal = self.refuse_early(flow, ticket, now)
            if refusal is not None:
                return refusal
        if ticket.again:
            flow.tickets.appendleft(ticket)
        else:
            flow.tickets.append(ticket)
        self.owner[ticket.request_id] = ticket.organisation
        return None

    def open_flow(self, ticket: Ticket) -> Flow:
        """Starts the queue of an organisation that had nothing waiting."""
        finished = self.finished_tags.pop(ticket.organisation, 0)
        tag = max(self.virtual, finished)
        flow = Flow(max(MIN_WEIGHT, ticket.weight), tag, deque())
        self.flows[ticket.organisation] = flow
        self.enter(ticket.organisation, tag)
        return flow

    def enter(self, organisation: OrganisationId, tag: float) -> None:
        """Enters the first ticket of an organisation in the heap."""
        heapq.heappush(self.heads, (tag, next(self.sequence), organisation))

    def refuse_early(
        self, flow: Flow, ticket: Ticket, now: Instant
    ) -> Refusal | None:
        """Returns a refusal if a request would wait in vain."""
        queued = len(flow.tickets)
        if queued >= MAX_PER_ORGANISATION:
            return not_run(Reason.QUEUE_FULL, self.wait(flow, now))
        if queued < MIN_QUEUED_TO_REFUSE:
            return None
        wait = self.wait(flow, now)
        if now + wait > ticket.deadline:
            return not_run(Reason.DEADLINE, wait)
        return None

    def wait(self, flow: Flow, now: Instant) -> float:
        """Returns the expected wait of an organisation's next request."""
        rate = self.rate.per_second(now)
        if not rate:
            return QUEUE_RETRY_S
        total = sum(known.weight for known in self.flows.values())
        return len(flow.tickets) * total / (flow.weight * rate)

    def surplus(self) -> Ticket | None:
        """Returns the newest ticket of the longest queue, if too many wait."""
        if len(self.owner) <= MAX_TOTAL:
            return None
        longest = max(
            self.flows.values(),
            key=lambda flow: len(flow.tickets) / flow.weight,
        )
        return longest.tickets[-1]

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the next ticket if another attempt may start."""
        if not self.owner or not self.limit.may_start(now):
            return None
        while self.heads:
            tag, _, organisation = self.heads[0]
            flow = self.flows.get(organisation)
            if flow is not None and flow.tag == tag:
                return flow.tickets[0]
            heapq.heappop(self.heads)
        return None

    def take(self, ticket: Ticket, now: Instant) -> None:
        """Removes the ticket that `peek` gave, because it starts."""
        flow = self.flows[ticket.organisation]
        self.virtual = flow.tag
        heapq.heappop(self.heads)
        # A request that comes again was charged when it first started.
        if not ticket.again:
            flow.tag += 1 / flow.weight
        flow.tickets.popleft()
        self.owner.pop(ticket.request_id)
        self.rate.note(now)
        if flow.tickets:
            self.enter(ticket.organisation, flow.tag)
        else:
            self.close_flow(ticket.organisation, flow)

    def close_flow(self, organisation: OrganisationId, flow: Flow) -> None:
        """Ends the queue of an organisation without waiting requests."""
        self.flows.pop(organisation)
        if not self.flows:
            self.finished_tags.clear()
            self.heads.clear()
            self.virtual = max(self.virtual, flow.tag)
            return
        self.finished_tags[organisation] = flow.tag

    def remove(self, request_id: RequestId) -> None:
        """Removes a ticket that waits no longer."""
        organisation = self.owner.pop(request_id, None)
        if organisation is None:
            return
        flow = self.flows[organisation]
        flow.tickets = deque(
            ticket for ticket in flow.tickets if ticket.request_id != request_id
        )
        if not flow.tickets:
            self.close_flow(organisation, flow)

    def is_idle(self, now: Instant) -> bool:
        """Returns whether nothing waits and another attempt may start."""
        return not self.owner and self.limit.may_start(now)

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Counts an attempt for the limit."""
        self.limit.attempt_started(attempt, now)

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Adapts the limit to how an attempt ended."""
        self.limit.attempt_finished(attempt, event, now)
