"""Exchange of rate-limit tokens between hosts."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from teaselcove.ids import HostId, Instant, OrganisationId
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import IngressOrganisation
from teaselcove.kernel import Kernel
from teaselcove.messages import message

log = logging.getLogger('teaselcove.requests')

# Seconds that a request waits for tokens from other hosts; a round trip between
# availability zones takes about 5 ms.
REPLY_TIMEOUT_S = 0.06
# Seconds for which the other hosts are not asked again after no whole token was
# found: then the organisation has used up its rate on all hosts.
EXHAUSTED_S = 0.15
# Tokens requested from each host; more than 1, so that not every request asks.
REQUESTED_TOKENS = 2


@message('tokens-wanted')
class TokensWanted(msgspec.Struct, frozen=True, array_like=True):
    """Asks for tokens of an organisation."""

    organisation: OrganisationId
    tokens: float


@message('tokens-given')
class TokensGiven(msgspec.Struct, frozen=True, array_like=True):
    """Transfers tokens, or a fraction, out of the sender's bucket."""

    organisation: OrganisationId
    tokens: float


class TokenQuery(msgspec.Struct):
    """A pending request for tokens to the other hosts.

    Attributes:
        unanswered: Hosts that have not replied.
        done: Set when a whole token was received or all hosts have replied.
        given: Tokens received so far.
    """

    unanswered: set[HostId]
    done: asyncio.Event
    given: float = 0


class TokenExchange:
    """Requests tokens from other hosts and answers their requests.

    Attributes:
        send: Sends a message to a host.
        queries: Pending requests for tokens.
        exhausted_until: When tokens of an organisation may be requested again.
    """

    def __init__(
        self, kernel: Kernel, send: Callable[[HostId, Any], None]
    ) -> None:
        self.kernel = kernel
        self.send = send
        self.queries: dict[OrganisationId, TokenQuery] = {}
        self.exhausted_until: dict[OrganisationId, Instant] = {}

    def organisation(self, name: OrganisationId) -> IngressOrganisation | None:
        """Returns an organisation of the configuration, or None."""
        return self.kernel.service('catalog').organisations.get(name)

    async def obtain(self, name: OrganisationId) -> bool:
        """Requests tokens from the other hosts; returns whether one is held."""
        now = boot_time()
        if now < self.exhausted_until.get(name, now):
            return False
        query = self.queries.get(name)
        if query is None:
            query = self.ask(name, now)
        if not query.done.is_set():
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    await query.done.wait()
            except TimeoutError:
                log.info(
                    'tokens-late', extra={'figures': {'organisation': name}}
                )
        if self.queries.get(name) is query:
            self.queries.pop(name)
        organisation = self.organisation(name)
        quotas = self.kernel.service('quotas')
        now = boot_time()
        found = organisation is not None and quotas.held(organisation, now) >= 1
        if not found:
            self.exhausted_until[name] = Instant(now + EXHAUSTED_S)
            self.kernel.decide(
                'rate-used-up',
                organisation=name,
                unanswered=len(query.unanswered),
            )
        return found

    def ask(self, name: OrganisationId, now: Instant) -> TokenQuery:
        """Requests tokens from all other hosts in use."""
        hubs = self.kernel.service('hubs')
        hosts = {record.host for record in hubs.other_hosts_in_use(now)}
        query = TokenQuery(hosts, asyncio.Event())
        if not hosts:
            query.done.set()
        self.queries[name] = query
        for host in hosts:
            self.send(host, TokensWanted(name, REQUESTED_TOKENS))
        return query

    def handle_tokens_wanted(
        self, sender: HostId, body: TokensWanted, now: Instant
    ) -> None:
        """Replies to a request for tokens."""
        organisation = self.organisation(body.organisation)
        given = float(0)
        if organisation is not None:
            quotas = self.kernel.service('quotas')
            given = quotas.give(organisation, body.tokens, now)
        self.send(sender, TokensGiven(body.organisation, given))

    def handle_tokens_given(
        self, sender: HostId, body: TokensGiven, now: Instant
    ) -> None:
        """Adds tokens received from another host, even after the timeout."""
        organisation = self.organisation(body.organisation)
        if organisation is not None and body.tokens:
            self.kernel.service('quotas').add(organisation, body.tokens)
        query = self.queries.get(body.organisation)
        if query is None:
            return
        query.unanswered.discard(sender)
        query.given += body.tokens
        if query.given >= 1 or not query.unanswered:
            query.done.set()
