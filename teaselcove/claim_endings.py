"""Outcomes of this process's claims, resent until the owners confirm."""

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

# A message and its confirmation take 2 ms between zones. Five attempts cover
# several lost messages. After that, an owner queries the outcome when it
# needs it, and the answers of this many claims (at most 16 KiB each) are
# kept for such queries.
RESEND_INTERVAL_S = 0.2
SEND_COUNT = 5
UNCONFIRMED_LIMIT = 128
# 30 claims per second for 600 s; an entry takes about 200 bytes.
ENDED_LIMIT = 18_000


class Ending(msgspec.Struct):
    """An outcome that some owners have not confirmed.

    Attributes:
        waiting: Owners that have not confirmed it.
        sent: Number of times that it was sent.
    """

    message: ClaimEnd
    waiting: set[HostId]
    sent: int = 0


@services.register('claim_endings')
class ClaimEndings:
    """Sends the outcomes of claims to the owners and answers their queries.

    Attributes:
        active: Numbers of the claims that have not ended.
        ended: Outcomes of the claims that may have run, by number.
        highest_dropped: Highest claim number whose outcome was dropped.
        unconfirmed: Outcomes that some owners have not confirmed.
        kept: Outcomes with answers whose sends ended without confirmation.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.last_number = 0
        self.active: set[int] = set()
        self.ended: OrderedDict[int, Outcome] = OrderedDict()
        self.highest_dropped = 0
        self.unconfirmed: dict[int, Ending] = {}
        self.kept: OrderedDict[int, ClaimEnd] = OrderedDict()

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
        """Ends a claim; the caller must not dial under it afterwards."""
        number = message.claim_id.number
        self.active.discard(number)
        if message.outcome is not Outcome.NOT_RUN:
            self.ended[number] = message.outcome
        if len(self.ended) > ENDED_LIMIT:
            self.highest_dropped = self.ended.popitem(last=False)[0]
        if hosts:
            self.unconfirmed[number] = Ending(message, set(hosts))
            self.send_outcome(number, now)

    def send_outcome(self, number: int, now: Instant) -> None:
        """Sends an outcome to the owners that have not confirmed it."""
        ending = self.unconfirmed.get(number)
        if ending is None:
            return
        if ending.sent == SEND_COUNT:
            self.unconfirmed.pop(number)
            self.keep_answer(ending)
            return
        ending.sent += 1
        for host in sorted(ending.waiting):
            send(self.kernel, host, ending.message, now)
        self.kernel.call_at(
            Instant(now + RESEND_INTERVAL_S),
            functools.partial(self.send_outcome, number),
        )

    def keep_answer(self, ending: Ending) -> None:
        """Keeps an outcome that has an answer for later queries."""
        if ending.message.answer is not None:
            self.kept[ending.message.claim_id.number] = ending.message
        if len(self.kept) > UNCONFIRMED_LIMIT:
            self.kept.popitem(last=False)

    @on(ClaimEndAck)
    def confirmed(self, sender: HostId, ack: ClaimEndAck, now: Instant) -> None:
        """Records that an owner has confirmed an outcome."""
        ending = self.unconfirmed.get(ack.claim_id.number)
        if ending is not None and ending.message.claim_id == ack.claim_id:
            ending.waiting.discard(sender)
            if not ending.waiting:
                self.unconfirmed.pop(ack.claim_id.number)

    @on(ClaimQuery)
    def queried(self, sender: HostId, query: ClaimQuery, now: Instant) -> None:
        """Sends the outcome of a claim to an owner, if the claim has ended."""
        own = self.kernel.service('membership').incarnation
        number = query.claim_id.number
        if query.claim_id.incarnation != own or number in self.active:
            return
        end = self.kept.get(number) or ClaimEnd(
            query.slice_id,
            query.claim_id,
            query.key,
            query.request_digest,
            self.outcome(number),
        )
        send(self.kernel, sender, end, now)

    def outcome(self, number: int) -> Outcome:
        """Returns the outcome of a claim; one without a record has not run."""
        if number <= self.highest_dropped:
            return Outcome.UNKNOWN
        return self.ended.get(number, Outcome.NOT_RUN)
