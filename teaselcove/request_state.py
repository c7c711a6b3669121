"""State of a request between its arrival and its end."""

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
    """What a request is waiting for."""

    ARRIVED = 'arrived'
    RATE = 'rate'
    CLAIM = 'claim'
    QUEUED = 'queued'
    RUNNING = 'running'


class Identity(msgspec.Struct, frozen=True):
    """For whom a request runs; the key id is None on open routes."""

    organisation: OrganisationId
    key_id: KeyId | None


class RequestState(msgspec.Struct):
    """A request in progress.

    Attributes:
        deadline: When the caller stops waiting.
        claimed: Whether a claim was recorded for it.
        may_have_run: Whether an attempt may have started at a server.
        caller_gone: Whether nobody waits for the answer.
        attempts: Attempts so far.
        not_started: Attempts that provably did not start at a server.
        running: Attempts that have not ended; two when hedged.
        after_silence: Whether an attempt got no answer in time.
        tried: Servers that failed it.
    """

    arrival: RequestArrived
    route: Route
    identity: Identity
    idempotent: bool
    deadline: Instant
    stage: Stage = Stage.ARRIVED
    claimed: bool = False
    may_have_run: bool = False
    caller_gone: bool = False
    attempts: int = 0
    not_started: int = 0
    running: list[Attempt] = []
    after_silence: bool = False
    tried: frozenset[BackendServerId] = frozenset()
    timer: TimerId | None = None
    hedge_timer: TimerId | None = None

    @property
    def request_id(self) -> RequestId:
        """The id of the request."""
        return self.arrival.request_id


def final_refusal(state: RequestState) -> Refusal:
    """Returns the refusal after the last attempt."""
    if state.may_have_run:
        return Refusal(Outcome.UNKNOWN, Reason.ANSWER_LOST)
    return not_run(Reason.NO_SERVER, 1)
