"""Limiter `escrow`: owners debit their bucket before granting tokens."""

import itertools
from collections import defaultdict

import msgspec

from teaselcove.accounts import Account, HeldGrant, Owner
from teaselcove.buckets import GRANT_LIFETIME_S, TOLERANCE, OwnerBucket
from teaselcove.effects import Send
from teaselcove.entities import Organisation
from teaselcove.events import PauseDetected
from teaselcove.grants import AskTokens, GrantTokens, Settlement
from teaselcove.ids import (
    HostId,
    Instant,
    OrganisationId,
    RequestId,
)
from teaselcove.kernel import Kernel, on
from teaselcove.owner_choice import OwnerSelector
from teaselcove.rates import GRANTED, RateState, RateVerdict, limiters
from teaselcove.settlements import SettlementQueue, settle_delay
from teaselcove.shares import holder_count

# An owner in another zone answers within about 3 ms.
ASK_TIMEOUT_S = 0.05
# Unused tokens are returned to their owner after this time without a request.
RETURN_AFTER_S = 0.1

NO_RATE = RateVerdict(RateState.REFUSED)
UNAVAILABLE = RateVerdict(RateState.UNAVAILABLE)


class PendingAsk(msgspec.Struct, frozen=True):
    """A request for tokens whose grant would still be accepted."""

    organisation: OrganisationId
    owner: Owner
    needed: float
    expires: Instant


@limiters.register('escrow')
class EscrowLimiter:
    """Uses granted and own tokens, then asks the owners one after another.

    Attributes:
        asks: Requests for tokens whose grant would still be accepted, by id.
        requests: Organisation of each waiting request.
        owner_selector: Selects the owner to ask.
        settlements: Ended grants not yet reported to their owners.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.accounts: dict[OrganisationId, Account] = defaultdict(Account)
        self.asks: dict[int, PendingAsk] = {}
        self.ask_ids = itertools.count(1)
        self.requests: dict[RequestId, OrganisationId] = {}
        self.owner_selector = OwnerSelector(kernel)
        self.settlements = SettlementQueue(kernel)

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes one token, or queues the request until an owner answers."""
        declared = self.declared(organisation)
        if declared is None or declared.rate <= 0 or declared.burst < 1:
            return NO_RATE
        account = self.accounts[organisation]
        account.record_demand(now)
        if not account.waiting and self.admit(organisation, now):
            return GRANTED
        account.waiting.append(request_id)
        self.requests[request_id] = organisation
        verdict = self.ask_next(declared, account, now)
        if verdict is None:
            return RateVerdict(RateState.PENDING)
        account.waiting.pop()
        del self.requests[request_id]
        return verdict

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Removes a waiting request."""
        organisation = self.requests.pop(request_id, None)
        if organisation is not None:
            self.accounts[organisation].waiting.remove(request_id)

    def declared(self, organisation: OrganisationId) -> Organisation | None:
        """Returns the organisation from the active configuration."""
        return self.kernel.service('configuration').organisation(organisation)

    def bucket(
        self, organisation: OrganisationId, now: Instant
    ) -> OwnerBucket | None:
        """Returns this host's own bucket, if this host is an owner."""
        return self.kernel.service('grants').bucket(organisation, now)

    def admit(self, organisation: OrganisationId, now: Instant) -> bool:
        """Spends one token if this host has one; returns whether it did."""
        account = self.accounts[organisation]
        admitted = account.admit(self.bucket(organisation, now), now)
        if admitted:
            for grant in account.take_finished():
                self.settle(organisation, grant, now)
        return admitted

    def ask_next(
        self, declared: Organisation, account: Account, now: Instant
    ) -> RateVerdict | None:
        """Asks the next owner of the round unless a request is pending.

        Returns:
            None while an answer is pending, else the verdict of the round.
        """
        if account.pending_ask_id is not None:
            return None
        bucket = self.bucket(declared.id, now)
        blocked = account.blocked_hosts(now)
        account.answered = (
            account.answered or bool(blocked) or bucket is not None
        )
        owner = self.owner_selector.choose(
            declared, account.tried | blocked, account.answered, now
        )
        if owner is None:
            return self.end_round(declared, account, now)
        self.ask(declared, account, owner, now)
        return None

    def ask(
        self,
        declared: Organisation,
        account: Account,
        owner: Owner,
        now: Instant,
    ) -> None:
        """Asks an owner for tokens and schedules the timeout."""
        needed = account.missing(self.bucket(declared.id, now), now)
        ask_id = next(self.ask_ids)
        account.pending_ask_id = ask_id
        expires = Instant(now + GRANT_LIFETIME_S)
        self.asks[ask_id] = PendingAsk(declared.id, owner, needed, expires)
        question = AskTokens(
            declared.id,
            owner.incarnation,
            self.kernel.service('membership').incarnation,
            ask_id,
            needed,
            needed + account.prefetch(declared),
            holder_count(declared) > 1,
            self.settlements.take(owner),
        )
        self.kernel.emit(Send(owner.host, question))
        self.kernel.call_at(
            Instant(now + ASK_TIMEOUT_S),
            lambda later: self.ask_timed_out(ask_id, later),
        )
        self.kernel.call_at(expires, lambda _: self.asks.pop(ask_id, None))

    def ask_timed_out(self, ask_id: int, now: Instant) -> None:
        """Asks the next owner; a late answer is still accepted."""
        ask = self.asks.get(ask_id)
        if ask is None:
            return
        account = self.accounts[ask.organisation]
        if account.pending_ask_id != ask_id:
            return
        self.owner_selector.mark_unreachable(ask.owner.host, now)
        account.tried.add(ask.owner.host)
        account.pending_ask_id = None
        self.serve_waiting(ask.organisation, now)

    @on(GrantTokens)
    def tokens_granted(
        self, sender: HostId, grant: GrantTokens, now: Instant
    ) -> None:
        """Stores granted tokens and serves the waiting requests.

        Ignores repeated grants and grants to or from another process, and
        the tokens of expired grants.
        """
        ask = self.asks.get(grant.ask_id)
        own = self.kernel.service('membership').incarnation
        expected = ask and (ask.owner, own)
        source = Owner(sender, grant.owner_incarnation)
        if ask is None or expected != (source, grant.incarnation):
            return
        del self.asks[grant.ask_id]
        self.owner_selector.mark_reachable(sender)
        account = self.accounts[ask.organisation]
        if grant.amount > 0 and now < ask.expires:
            account.held.append(
                HeldGrant(source, grant.ask_id, grant.amount, ask.expires)
            )
            account.used_at = now
            self.plan_return(ask.organisation, now)
        if account.pending_ask_id == grant.ask_id:
            account.pending_ask_id = None
            account.answered = account.answered or grant.wait >= 0
            if grant.amount < ask.needed - TOLERANCE:
                account.tried.add(sender)
            if grant.wait > 0:
                account.blocked_until[sender] = Instant(now + grant.wait)
        self.serve_waiting(ask.organisation, now)

    def serve_waiting(self, organisation: OrganisationId, now: Instant) -> None:
        """Serves waiting requests, then asks the next owner or refuses."""
        account = self.accounts[organisation]
        while account.waiting and self.admit(organisation, now):
            self.decide(account.waiting.popleft(), GRANTED, now)
        if not account.waiting:
            account.end_round()
            return
        declared = self.declared(organisation)
        verdict = UNAVAILABLE
        if declared is not None:
            verdict = self.ask_next(declared, account, now)
        if verdict is not None:
            self.refuse_all(account, verdict, declared, now)

    def refuse_all(
        self,
        account: Account,
        verdict: RateVerdict,
        declared: Organisation | None,
        now: Instant,
    ) -> None:
        """Refuses the requests still waiting at the end of a round."""
        while account.waiting:
            self.decide(account.waiting.popleft(), verdict, now)
            if declared is not None and verdict.state is RateState.REFUSED:
                verdict = self.refusal(declared, account, now)

    def decide(
        self, request_id: RequestId, verdict: RateVerdict, now: Instant
    ) -> None:
        """Passes the verdict to the waiting request."""
        self.requests.pop(request_id, None)
        self.kernel.service('requests').rate_decided(request_id, verdict, now)

    def end_round(
        self, declared: Organisation, account: Account, now: Instant
    ) -> RateVerdict:
        """Ends a round in which all owners were asked; returns its verdict."""
        answered = account.answered
        account.end_round()
        self.return_all(declared.id, now)
        return self.refusal(declared, account, now) if answered else UNAVAILABLE

    def refusal(
        self, declared: Organisation, account: Account, now: Instant
    ) -> RateVerdict:
        """Returns a refusal with the time after which to retry."""
        bucket = self.bucket(declared.id, now)
        wait = account.time_to_token(declared.rate, bucket, now)
        retry_after = account.assign_retry_delay(declared.rate, wait, now)
        return RateVerdict(RateState.REFUSED, retry_after)

    def plan_return(self, organisation: OrganisationId, now: Instant) -> None:
        """Schedules the return of tokens that stay unused."""
        account = self.accounts[organisation]
        if not account.return_planned:
            account.return_planned = True
            self.kernel.call_at(
                Instant(now + RETURN_AFTER_S),
                lambda later: self.return_unused(organisation, later),
            )

    def return_unused(self, organisation: OrganisationId, now: Instant) -> None:
        """Returns unused tokens to their owners if no request came recently."""
        account = self.accounts[organisation]
        account.return_planned = False
        if account.held_tokens(now) <= 0:
            return
        if now - account.used_at < RETURN_AFTER_S - TOLERANCE:
            self.plan_return(organisation, account.used_at)
            return
        self.return_all(organisation, now)

    def return_all(self, organisation: OrganisationId, now: Instant) -> None:
        """Returns all granted tokens of an organisation to their owners."""
        account = self.accounts[organisation]
        for grant in account.held:
            self.settle(organisation, grant, now)
        account.held = []

    def settle(
        self, organisation: OrganisationId, grant: HeldGrant, now: Instant
    ) -> None:
        """Reports the end of a grant to its owner, possibly in a batch."""
        declared = self.declared(organisation)
        delay = settle_delay(declared) if declared else 0
        settlement = Settlement(organisation, grant.ask_id, grant.left)
        self.settlements.add(grant.owner, settlement, delay, now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Drops all grants and asks again for the waiting requests."""
        self.asks.clear()
        self.settlements.clear()
        self.owner_selector.clear()
        for organisation, account in self.accounts.items():
            account.held.clear()
            account.pending_ask_id = None
            account.tried.clear()
            if account.waiting:
                self.serve_waiting(organisation, now)
