"""State of a request in progress."""

from enum import Enum

import msgspec

from teaselcove.attempts import Attempt
from teaselcove.entities import Route
from teaselcove.errors import Outcome, Reason, Refusal, not_run
from teaselcove.events import RequestArrived
from teaselcove.ids import (
    BackendServerId,
    Instant,
    KeyId,
    OrganisationId,
    RequestId,
    TimerId,
)


class Stage(Enum):
    """Step that a request has reached."""

    ARRIVED = 'arrived'
    RATE = 'rate'
    CLAIM = 'claim'
    QUEUED = 'queued'
    RUNNING = 'running'


class Identity(msgspec.Struct, frozen=True):
    """Organisation and key of a request.

    The key id is None for a request without a key on an open route.
    """

    organisation: OrganisationId
    key_id: KeyId | None


class RequestState(msgspec.Struct):
    """A request in progress.

    Attributes:
        idempotent: Whether the call may be repeated.
        deadline: When the caller stops waiting.
        claimed: Whether a claim was granted for its idempotency key.
        may_have_run: Whether an attempt may have started at a server.
        caller_disconnected: Whether the caller closed its connection.
        attempts: Number of attempts so far.
        not_started: Number of attempts that provably did not start.
        running: Attempts in flight; two while a hedge runs.
        hedged: Whether a hedge was sent because an attempt got no answer.
        tried_servers: Servers that have failed it or not answered in time.
    """

    arrival: RequestArrived
    route: Route
    identity: Identity
    idempotent: bool
    deadline: Instant
    stage: Stage = Stage.ARRIVED
    claimed: bool = False
    may_have_run: bool = False
    caller_disconnected: bool = False
    attempts: int = 0
    not_started: int = 0
    running: list[Attempt] = []
    hedged: bool = False
    tried_servers: frozenset[BackendServerId] = frozenset()
    timer: TimerId | None = None
    hedge_timer: TimerId | None = None

    @property
    def request_id(self) -> RequestId:
        """The id of the request."""
        return self.arrival.request_id


def final_refusal(state: RequestState) -> Refusal:
    """Returns the refusal of a request whose last attempt failed."""
    if state.may_have_run:
        return Refusal(Outcome.UNKNOWN, Reason.ANSWER_LOST)
    return not_run(Reason.NO_SERVER, 1)
