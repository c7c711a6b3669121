"""State of a caller's request and decisions about its attempts."""

from enum import Enum

import msgspec

from teaselcove.errors import Outcome, Reason, Refusal, not_run
from teaselcove.events import AttemptResult
from teaselcove.http_connection import HttpConnection, RawAnswer
from teaselcove.http_fields import CallerRequest
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.ingress.entities import IngressOrganisation, IngressRoute
from teaselcove.ingress.queueing import TimeLimits

SERVER_ERROR_STATUS = 500
# Results that prove that the request did not run and will not run.
NOT_RUN = frozenset(
    (AttemptResult.NOT_SENT, AttemptResult.SHED, AttemptResult.MISDIRECTED)
)
# Attempts without a run after which a request is refused: by then the host's
# view of the servers is wrong for all of them.
MAX_NOT_RUN = 4
# Seconds before the deadline below which no attempt is sent.
MIN_ATTEMPT_S = 0.03
RETRY_AFTER_S = 0.3


class RefusedError(Exception):
    """The request was refused."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason.value)


class Next(Enum):
    """The step that follows an attempt."""

    ANSWER = 'answer'
    RETRY = 'retry'
    REFUSE = 'refuse'


class Call(msgspec.Struct, eq=False):
    """A caller's request in progress.

    Attributes:
        attempt_id: The id that the caller gave the request.
        deadline: When the caller or the route stops waiting.
        digest: Digest of caller, method, path and body.
        key: The caller's key, or None.
        sent: Servers that may have run the request.
        not_run: Number of attempts that provably did not run.
        exclude: Servers that have failed the request.
        refused_on: Connections on which a server has refused it.
        retries: Number of retries and hedges, with any result.
        waited: Seconds spent waiting for slots.
        answer: The latest answer of a server, which the caller gets if no
            better one arrives.
    """

    attempt_id: str
    request: CallerRequest
    route: IngressRoute
    service: ServiceId
    organisation: IngressOrganisation | None
    arrived_at: Instant
    deadline: Instant
    digest: bytes
    key: str | None = None
    sent: list[BackendServerId] = []
    not_run: int = 0
    exclude: frozenset[BackendServerId] = frozenset()
    refused_on: set[HttpConnection] = set()
    retries: int = 0
    waited: float = 0
    answer: RawAnswer | None = None

    @property
    def priority(self) -> int:
        """The organisation's priority if it has one, else the route's."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def allow_trial(self) -> bool:
        """Whether the request may be a trial of a server.

        After a failed trial, an attempt at a healthy server must remain.
        """
        untried = not self.sent and not self.not_run
        return self.route.idempotent and untried and self.route.max_attempts > 1

    def time_left(self, now: Instant) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - now

    def time_limits(self, now: Instant) -> TimeLimits:
        """Returns how long the request may still take.

        A retried request goes to the front of the queue, so its target latency
        does not limit how long it waits.
        """
        time_left = self.time_left(now)
        if self.sent or self.not_run:
            return TimeLimits(time_left, time_left)
        target_left = self.arrived_at + self.route.target_latency - now
        return TimeLimits(time_left, target_left)


def is_failure(result: AttemptResult, status: int | None) -> bool:
    """Returns whether an attempt gave no answer or a server error."""
    if result is not AttemptResult.COMPLETE:
        return True
    return (status or 0) >= SERVER_ERROR_STATUS


def next_step(
    call: Call,
    result: AttemptResult,
    status: int | None,
    has_budget: bool,
    now: Instant,
) -> Next:
    """Decides what follows an attempt.

    Args:
        call: The request, which already includes the attempt.
        result: How the attempt ended.
        status: Status of its answer, or None.
        has_budget: Whether the retry budget allows another attempt.
        now: Present time.
    """
    if not is_failure(result, status):
        return Next.ANSWER
    if call.time_left(now) >= MIN_ATTEMPT_S:
        if may_retry(call, result, has_budget):
            return Next.RETRY
    if result is AttemptResult.COMPLETE:
        return Next.ANSWER
    return Next.REFUSE


def may_retry(call: Call, result: AttemptResult, has_budget: bool) -> bool:
    """Returns whether another attempt may follow a failed one."""
    if result is AttemptResult.NOT_SENT:
        # Nothing reached a server, so this costs no retry budget.
        return call.not_run < MAX_NOT_RUN
    if result in NOT_RUN:
        return has_budget and call.not_run < MAX_NOT_RUN
    servers_left = len(call.sent) < call.route.max_attempts
    return call.route.idempotent and has_budget and servers_left


def final_refusal(call: Call, now: Instant) -> Refusal:
    """Returns the refusal after the last attempt."""
    late = call.time_left(now) < MIN_ATTEMPT_S
    if call.sent:
        reason = Reason.DEADLINE if late else Reason.ANSWER_LOST
        return Refusal(Outcome.UNKNOWN, reason)
    reason = Reason.DEADLINE if late else Reason.NO_SERVER
    return not_run(reason, RETRY_AFTER_S)
