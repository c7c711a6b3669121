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
    """Identifies a claim; a process uses each number only once."""

    host: HostId
    incarnation: Incarnation
    number: int


class ClaimKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a claimed call by the digest of its idempotency key."""

    organisation: OrganisationId
    digest: bytes


class Verdict(Enum):
    """Verdict of an owner on a claim.

    HELD means that another claim for the key may be running, LOST that the
    process of its claimant has ended and its outcome is unknown, and DONE
    that it has ended. CONFLICT means that the key was used for a different
    request. NOT_VOTING means that the owner has no authority, that its store
    is full, or that it has not copied all claims yet.
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
        term: Sum of the epochs of the slice's owners in the sender's view.
            Votes of different terms are never counted together.
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
    """Answers a `ClaimRequest`.

    Attributes:
        owner: Incarnation of the voter.
        indices: Places of the slice that the voter votes for.
        answer: The stored answer of an earlier claim, if available.
    """

    claim_id: ClaimId
    term: int
    owner: Incarnation
    indices: tuple[int, ...]
    verdict: Verdict
    answer: StoredAnswer | None = None


@message('claim-end')
class ClaimEnd(msgspec.Struct, frozen=True, array_like=True):
    """Reports the outcome of a claim; NOT_RUN releases the claim."""

    slice_id: SliceId
    claim_id: ClaimId
    key: ClaimKey
    request_digest: bytes
    outcome: Outcome
    answer: StoredAnswer | None = None


@message('claim-end-ack')
class ClaimEndAck(msgspec.Struct, frozen=True, array_like=True):
    """Confirms that an owner received the outcome of a claim."""

    claim_id: ClaimId


@message('claim-query')
class ClaimQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the outcome of a claim; answered only if it has ended."""

    slice_id: SliceId
    claim_id: ClaimId
    key: ClaimKey
    request_digest: bytes


class ClaimCopy(msgspec.Struct, frozen=True, array_like=True):
    """The claims of a key as copied from one owner to another.

    Attributes:
        holders: The claims that may run, or the one that has ended.
        outcome: Outcome of the ended claim, or None while claims are held.
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
        after: Last key received so far, or None.
    """

    slice_id: SliceId
    term: int
    owner: Incarnation
    after: ClaimKey | None = None


@message('claims-page')
class ClaimsPage(msgspec.Struct, frozen=True, array_like=True):
    """Contains a page of an owner's claims of a slice, ordered by key.

    Attributes:
        indices: Places of the slice that the sender votes for.
        after: The `after` of the request.
        is_last: Whether this is the last page.
    """

    slice_id: SliceId
    term: int
    indices: tuple[int, ...]
    after: ClaimKey | None
    claims: tuple[ClaimCopy, ...]
    is_last: bool


def send(kernel: Kernel, host: HostId, body: object, now: Instant) -> None:
    """Sends a message to a host, which may be this one.

    A message to this host is dispatched by a timer, not synchronously, so
    that a claim is never decided while it is still being started.
    """
    if host != kernel.settings.host:
        kernel.emit(Send(host, body))
        return
    incarnation = kernel.service('membership').incarnation
    event = PeerMessageReceived(host, incarnation, body)
    kernel.call_at(now, lambda later: kernel.dispatch_message(event, later))
