"""How the claims of this process ended, told to the owners until they know."""

import functools
from collections import OrderedDict

import msgspec

from teaselcove.claim_messages import (
    ClaimEnd,
    ClaimEndAck,
    ClaimId,
    ClaimQuery,
    send,
)
from teaselcove.errors import Outcome
from teaselcove.ids import HostId, Instant
from teaselcove.kernel import Kernel, on, services

# A message and its confirmation take 2 ms between zones. Five tries cover
# several lost messages; after that an owner asks when it needs to know.
RESEND_INTERVAL_S = 0.2
SEND_COUNT = 5
# 600 s of 30 claims per second; an entry takes about 200 bytes.
ENDED_LIMIT = 18_000


class Ending(msgspec.Struct):
    """An outcome that some owners have not confirmed.

    Attributes:
        waiting: Owners that have not confirmed it.
        sent: How often it was sent.
    """

    message: ClaimEnd
    waiting: set[HostId]
    sent: int = 0


@services.register('claim_endings')
class ClaimEndings:
    """Tells owners how claims ended, and answers their queries.

    Attributes:
        active: Numbers of the claims that have not ended.
        ended: Outcomes of the claims that may have run, by number.
        forgotten: Highest number whose outcome was dropped.
        unconfirmed: Outcomes that some owners have not confirmed.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.last_number = 0
        self.active: set[int] = set()
        self.ended: OrderedDict[int, Outcome] = OrderedDict()
        self.forgotten = 0
        self.unconfirmed: dict[int, Ending] = {}

    def begin(self) -> ClaimId:
        """Returns the id of a new claim."""
        self.last_number += 1
        self.active.add(self.last_number)
        return ClaimId(
            self.kernel.settings.host,
            self.kernel.service('membership').incarnation,
            self.last_number,
        )

    def end(self, message: ClaimEnd, hosts: set[HostId], now: Instant) -> None:
        """Ends a claim, which must never be dialled after that."""
        number = message.claim_id.number
        self.active.discard(number)
        if message.outcome is not Outcome.NOT_RUN:
            self.ended[number] = message.outcome
        if len(self.ended) > ENDED_LIMIT:
            self.forgotten = self.ended.popitem(last=False)[0]
        if hosts:
            self.unconfirmed[number] = Ending(message, set(hosts))
            self.tell(number, now)

    def tell(self, number: int, now: Instant) -> None:
        """Sends an outcome to the owners that have not confirmed it."""
        ending = self.unconfirmed.get(number)
        if ending is None:
            return
        if ending.sent == SEND_COUNT:
            self.unconfirmed.pop(number)
            return
        ending.sent += 1
        for host in sorted(ending.waiting):
            send(self.kernel, host, ending.message, now)
        self.kernel.call_at(
            Instant(now + RESEND_INTERVAL_S),
            functools.partial(self.tell, number),
        )

    @on(ClaimEndAck)
    def confirmed(self, sender: HostId, ack: ClaimEndAck, now: Instant) -> None:
        """Notes that an owner knows an outcome."""
        ending = self.unconfirmed.get(ack.claim_id.number)
        if ending is not None and ending.message.claim_id == ack.claim_id:
            ending.waiting.discard(sender)
            if not ending.waiting:
                self.unconfirmed.pop(ack.claim_id.number)

    @on(ClaimQuery)
    def queried(self, sender: HostId, query: ClaimQuery, now: Instant) -> None:
        """Tells an owner how a claim of this process ended, if it has."""
        own = self.kernel.service('membership').incarnation
        number = query.claim_id.number
        if query.claim_id.incarnation != own or number in self.active:
            return
        end = ClaimEnd(
            query.slice_id,
            query.claim_id,
            query.key,
            query.request_digest,
            self.outcome(number),
        )
        send(self.kernel, sender, end, now)

    def outcome(self, number: int) -> Outcome:
        """Returns how a claim ended; without a record it has not run."""
        if number <= self.forgotten:
            return Outcome.UNKNOWN
        return self.ended.get(number, Outcome.NOT_RUN)
