"""Weighted fair queueing between organisations, with early refusal."""

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
# The wait in a shorter queue cannot be estimated well enough to refuse.
MIN_QUEUED_TO_REFUSE = 4
RATE_WINDOW_S = 0.5


class Flow(msgspec.Struct):
    """The queue of one organisation.

    Attributes:
        start_tag: Virtual time at which the first ticket may start.
    """

    weight: float
    start_tag: float
    tickets: deque[Ticket]


class StartRate:
    """Rate of started requests over a short window."""

    def __init__(self) -> None:
        self.started: deque[Instant] = deque()

    def record_start(self, now: Instant) -> None:
        """Records the start of a request."""
        self.started.append(now)
        self.evict_old(now)

    def evict_old(self, now: Instant) -> None:
        """Removes starts that are older than the window."""
        while self.started and self.started[0] <= now - RATE_WINDOW_S:
            self.started.popleft()

    def per_second(self, now: Instant) -> float:
        """Returns the started requests per second."""
        self.evict_old(now)
        return len(self.started) / RATE_WINDOW_S


@queues.register('weighted-fair')
class WeightedFairQueue:
    """Start-time fair queueing between organisations.

    Each organisation has a bounded queue with a start tag. The organisation
    with the lowest start tag is served next, which advances its tag by the
    reciprocal of its weight.

    Attributes:
        heap: Start tag of each queue, a tie-breaker and its organisation.
        finish_tags: Tags of organisations whose queue became empty while
            others were waiting.
        organisation_by_request: Organisation of each waiting request.
        virtual_time: Start tag of the last request that was served, or the
            last finish tag while all queues are empty.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.flows: dict[OrganisationId, Flow] = {}
        self.heap: list[tuple[float, int, OrganisationId]] = []
        self.finish_tags: dict[OrganisationId, float] = {}
        self.organisation_by_request: dict[RequestId, OrganisationId] = {}
        self.sequence = itertools.count()
        self.virtual_time = float(0)
        self.limit = ConcurrencyLimit()
        self.rate = StartRate()

    def push(self, ticket: Ticket, now: Instant) -> Refusal | None:
        """Adds a ticket unless the queue is full or the wait too long."""
        flow = self.flows.get(ticket.organisation)
        if flow is None:
            flow = self.open_flow(ticket)
        elif not ticket.is_retry:
            refusal = self.refuse_early(flow, ticket, now)
            if refusal is not None:
                return refusal
        if ticket.is_retry:
            flow.tickets.appendleft(ticket)
        else:
            flow.tickets.append(ticket)
        self.organisation_by_request[ticket.request_id] = ticket.organisation
        return None

    def open_flow(self, ticket: Ticket) -> Flow:
        """Creates the queue of an organisation without waiting requests."""
        finished = self.finish_tags.pop(ticket.organisation, 0)
        start_tag = max(self.virtual_time, finished)
        flow = Flow(max(MIN_WEIGHT, ticket.weight), start_tag, deque())
        self.flows[ticket.organisation] = flow
        self.push_head(ticket.organisation, start_tag)
        return flow

    def push_head(self, organisation: OrganisationId, start_tag: float) -> None:
        """Pushes the head of an organisation's queue onto the heap."""
        heapq.heappush(
            self.heap, (start_tag, next(self.sequence), organisation)
        )

    def refuse_early(
        self, flow: Flow, ticket: Ticket, now: Instant
    ) -> Refusal | None:
        """Returns a refusal if a request could not start in time."""
        queued = len(flow.tickets)
        if queued >= MAX_PER_ORGANISATION:
            return not_run(Reason.QUEUE_FULL, self.expected_wait(flow, now))
        if queued < MIN_QUEUED_TO_REFUSE:
            return None
        expected_wait = self.expected_wait(flow, now)
        if now + expected_wait > ticket.deadline:
            return not_run(Reason.DEADLINE, expected_wait)
        return None

    def expected_wait(self, flow: Flow, now: Instant) -> float:
        """Estimates the wait in seconds of an organisation's next request."""
        rate = self.rate.per_second(now)
        if not rate:
            return QUEUE_RETRY_S
        total = sum(active.weight for active in self.flows.values())
        return len(flow.tickets) * total / (flow.weight * rate)

    def excess_ticket(self) -> Ticket | None:
        """Returns the newest ticket of the longest queue, if over the limit."""
        if len(self.organisation_by_request) <= MAX_TOTAL:
            return None
        longest = max(
            self.flows.values(),
            key=lambda flow: len(flow.tickets) / flow.weight,
        )
        return longest.tickets[-1]

    def peek(self, now: Instant) -> Ticket | None:
        """Returns the next ticket if the concurrency limit allows it."""
        if not self.organisation_by_request or not self.limit.may_start(now):
            return None
        while self.heap:
            start_tag, _, organisation = self.heap[0]
            flow = self.flows.get(organisation)
            if flow is not None and flow.start_tag == start_tag:
                return flow.tickets[0]
            heapq.heappop(self.heap)
        return None

    def take(self, ticket: Ticket, now: Instant) -> None:
        """Removes the ticket that `peek` returned, because it starts."""
        flow = self.flows[ticket.organisation]
        self.virtual_time = flow.start_tag
        heapq.heappop(self.heap)
        # A retry is free: the request was charged at its first attempt.
        if not ticket.is_retry:
            flow.start_tag += 1 / flow.weight
        flow.tickets.popleft()
        self.organisation_by_request.pop(ticket.request_id)
        self.rate.record_start(now)
        if flow.tickets:
            self.push_head(ticket.organisation, flow.start_tag)
        else:
            self.close_flow(ticket.organisation, flow)

    def close_flow(self, organisation: OrganisationId, flow: Flow) -> None:
        """Removes the empty queue of an organisation."""
        self.flows.pop(organisation)
        if not self.flows:
            self.finish_tags.clear()
            self.heap.clear()
            self.virtual_time = max(self.virtual_time, flow.start_tag)
            return
        self.finish_tags[organisation] = flow.start_tag

    def remove(self, request_id: RequestId) -> None:
        """Removes the ticket of a request that no longer waits."""
        organisation = self.organisation_by_request.pop(request_id, None)
        if organisation is None:
            return
        flow = self.flows[organisation]
        flow.tickets = deque(
            ticket for ticket in flow.tickets if ticket.request_id != request_id
        )
        if not flow.tickets:
            self.close_flow(organisation, flow)

    def is_idle(self, now: Instant) -> bool:
        """Returns whether the queue is empty and an attempt may start."""
        return not self.organisation_by_request and self.limit.may_start(now)

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Counts an attempt against the concurrency limit."""
        self.limit.attempt_started(attempt, now)

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Adapts the concurrency limit to the result of an attempt."""
        self.limit.attempt_finished(attempt, event, now)
