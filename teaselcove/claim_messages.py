"""Messages between claimants and the owners of a slice."""

from enum import Enum

import msgspec

from teaselcove.effects import Send
from teaselcove.errors import Outcome
from teaselcove.events import PeerMessageReceived, StoredAnswer
from teaselcove.ids import (
    HostId,
    Incarnation,
    Instant,
    OrganisationId,
    SliceId,
)
from teaselcove.kernel import Kernel
from teaselcove.messages import message


class ClaimId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a claim; a number is never used twice by a process."""

    host: HostId
    incarnation: Incarnation
    number: int


class ClaimKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What is claimed: a caller's idempotency key, as digest."""

    organisation: OrganisationId
    digest: bytes


class Verdict(Enum):
    """Answer of an owner to a claim.

    HELD means that another claim for the key may run, LOST that its claimant
    is gone and its outcome unknown, DONE that it has ended. NOT_VOTING means
    that the owner has no authority, no complete memory, or no room.
    """

    GRANTED = 'granted'
    HELD = 'held'
    LOST = 'lost'
    DONE = 'done'
    CONFLICT = 'conflict'
    NOT_VOTING = 'not-voting'


@message('claim')
class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks an owner for its vote.

    Attributes:
        term: Sum of the epochs of the slice's owners, as the sender knows
            them. Votes of different terms are never counted together.
        owner: Incarnation of the owner that is asked.
        request_digest: Digest of method, path and body.
    """

    slice_id: SliceId
    term: int
    owner: Incarnation
    claim_id: ClaimId
    key: ClaimKey
    request_digest: bytes


@message('claim-vote')
class ClaimVote(msgspec.Struct, frozen=True, array_like=True):
    """Answers a claim.

    Attributes:
        owner: Incarnation of the voter.
        indices: Places of the slice that the voter votes for.
        answer: The stored answer of an earlier claim, if it was kept.
    """

    claim_id: ClaimId
    term: int
    owner: Incarnation
    indices: tuple[int, ...]
    verdict: Verdict
    answer: StoredAnswer | None = None


@message('claim-end')
class ClaimEnd(msgspec.Struct, frozen=True, array_like=True):
    """Tells an owner how a claim ended; NOT_RUN releases it."""

    slice_id: SliceId
    claim_id: ClaimId
    key: ClaimKey
    request_digest: bytes
    outcome: Outcome
    answer: StoredAnswer | None = None


@message('claim-end-ack')
class ClaimEndAck(msgspec.Struct, frozen=True, array_like=True):
    """Confirms that an owner knows how a claim ended."""

    claim_id: ClaimId


@message('claim-query')
class ClaimQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks a claimant about a claim; `ClaimEnd` answers if it has ended."""

    slice_id: SliceId
    claim_id: ClaimId
    key: ClaimKey
    request_digest: bytes


class ClaimCopy(msgspec.Struct, frozen=True, array_like=True):
    """The claims of a key as one owner gives them to another.

    Attributes:
        holders: The claims that may run, or the one that has ended.
        outcome: How it ended, or None while it is held.
        age: Seconds since it was recorded or ended.
    """

    key: ClaimKey
    holders: tuple[ClaimId, ...]
    request_digest: bytes
    outcome: Outcome | None
    answer: StoredAnswer | None
    age: float


@message('claims-wanted')
class ClaimsWanted(msgspec.Struct, frozen=True, array_like=True):
    """Asks another owner for its claims of a slice.

    Attributes:
        owner: Incarnation of the owner that is asked.
        after: Last key that was received, or None.
    """

    slice_id: SliceId
    term: int
    owner: Incarnation
    after: ClaimKey | None = None


@message('claims-page')
class ClaimsPage(msgspec.Struct, frozen=True, array_like=True):
    """Gives some of an owner's claims of a slice, ordered by key.

    Attributes:
        indices: Places of the slice whose claims the sender has complete.
        after: The key that was asked for.
        is_last: Whether no claims follow.
    """

    slice_id: SliceId
    term: int
    indices: tuple[int, ...]
    after: ClaimKey | None
    claims: tuple[ClaimCopy, ...]
    is_last: bool


def send(kernel: Kernel, host: HostId, body: object, now: Instant) -> None:
    """Sends a message to a host, which may be this one.

    A message to this host is handled as the next timer, not at once, so that
    a claim is never decided while it is still being started.
    """
    if host != kernel.settings.host:
        kernel.emit(Send(host, body))
        return
    incarnation = kernel.service('membership').incarnation
    event = PeerMessageReceived(host, incarnation, body)
    kernel.call_at(now, lambda later: kernel.dispatch_message(event, later))
