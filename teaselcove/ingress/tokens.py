"""Moves tokens of organisations to the hosts that need them."""

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

# Seconds that a request waits for tokens of other hosts; a message and its
# answer between availability zones take some 5 ms.
WAIT_S = 0.06
# Seconds for which the others are not asked again after they had no whole
# token together: then the organisation has used its rate on all hosts.
DRY_S = 0.15
# Tokens to ask each host for, so that not every request has to ask.
WANTED = 2


@message('tokens-wanted')
class TokensWanted(msgspec.Struct, frozen=True, array_like=True):
    """A host has run out of tokens of an organisation."""

    organisation: OrganisationId
    tokens: float


@message('tokens-given')
class TokensGiven(msgspec.Struct, frozen=True, array_like=True):
    """Tokens, or a part of one, that have left the sender's bucket."""

    organisation: OrganisationId
    tokens: float


class Asked(msgspec.Struct):
    """A question to the other hosts.

    Attributes:
        missing: Hosts that have not answered.
        enough: Set when a whole token came or all have answered.
    """

    missing: set[HostId]
    enough: asyncio.Event
    given: float = 0


class TokenExchange:
    """Asks for tokens and answers other hosts.

    Attributes:
        send: Sends a message to a host.
        asked: Questions under way.
        dry_until: When an organisation may be asked for again.
    """

    def __init__(
        self, kernel: Kernel, send: Callable[[HostId, Any], None]
    ) -> None:
        self.kernel = kernel
        self.send = send
        self.asked: dict[OrganisationId, Asked] = {}
        self.dry_until: dict[OrganisationId, Instant] = {}

    def organisation(self, name: OrganisationId) -> IngressOrganisation | None:
        """Returns an organisation of the configuration, or None."""
        return self.kernel.service('catalog').organisations.get(name)

    async def obtain(self, name: OrganisationId) -> bool:
        """Returns whether there is a token after asking the other hosts."""
        now = boot_time()
        if now < self.dry_until.get(name, now):
            return False
        asked = self.asked.get(name)
        if asked is None:
            asked = self.ask(name, now)
        if not asked.enough.is_set():
            try:
                async with asyncio.timeout(WAIT_S):
                    await asked.enough.wait()
            except TimeoutError:
                log.info(
                    'tokens-late', extra={'figures': {'organisation': name}}
                )
        if self.asked.get(name) is asked:
            self.asked.pop(name)
        organisation = self.organisation(name)
        quotas = self.kernel.service('quotas')
        now = boot_time()
        found = organisation is not None and quotas.held(organisation, now) >= 1
        if not found:
            self.dry_until[name] = Instant(now + DRY_S)
            self.kernel.decide(
                'rate-used-up',
                organisation=name,
                unanswered=len(asked.missing),
            )
        return found

    def ask(self, name: OrganisationId, now: Instant) -> Asked:
        """Asks all hosts in use."""
        members = self.kernel.service('members')
        hosts = {record.host for record in members.other_hosts_in_use(now)}
        asked = Asked(hosts, asyncio.Event())
        if not hosts:
            asked.enough.set()
        self.asked[name] = asked
        for host in hosts:
            self.send(host, TokensWanted(name, WANTED))
        return asked

    def handle_tokens_wanted(
        self, sender: HostId, body: TokensWanted, now: Instant
    ) -> None:
        """Gives tokens to another host."""
        organisation = self.organisation(body.organisation)
        given = float(0)
        if organisation is not None:
            quotas = self.kernel.service('quotas')
            given = quotas.give(organisation, body.tokens, now)
        self.send(sender, TokensGiven(body.organisation, given))

    def handle_tokens_given(
        self, sender: HostId, body: TokensGiven, now: Instant
    ) -> None:
        """Takes over tokens of another host, also late ones."""
        organisation = self.organisation(body.organisation)
        if organisation is not None and body.tokens:
            self.kernel.service('quotas').add(organisation, body.tokens)
        asked = self.asked.get(body.organisation)
        if asked is None:
            return
        asked.missing.discard(sender)
        asked.given += body.tokens
        if asked.given >= 1 or not asked.missing:
            asked.enough.set()
