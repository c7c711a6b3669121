"""Selection of the hosts that callers of an organisation should use."""

import hashlib
from typing import Any, Protocol

import msgspec

from teaselcove.events import HostEntry
from teaselcove.ids import Instant, OrganisationId
from teaselcove.kernel import Kernel, services
from teaselcove.registry import Registry

ANSWER_HOSTS = 6
# Equals the number of owners of a slice.
FIRST_HOSTS = 3
ANSWER_LIFETIME_S = 5


class HostAnswer(msgspec.Struct, frozen=True):
    """Addresses for a caller, best first.

    Attributes:
        lifetime: Seconds for which the caller may cache the answer.
    """

    addresses: tuple[str, ...]
    lifetime: float


def rendezvous_score(subject: str, candidate: str) -> int:
    """Returns the score of a candidate for a subject; the highest wins."""
    digest = hashlib.blake2b(
        f'{subject}/{candidate}'.encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, 'big')


class PlacementPolicy(Protocol):
    """Interface of the policies that order hosts for an organisation."""

    def rank(
        self,
        organisation: OrganisationId,
        hosts: list[HostEntry],
        now: Instant,
    ) -> list[HostEntry]:
        """Returns the hosts, best first."""


placement_policies: Registry[Any] = Registry('placement policy')


@placement_policies.register('rendezvous')
class RendezvousPlacement:
    """Baseline that orders hosts differently for each organisation."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def rank(
        self,
        organisation: OrganisationId,
        hosts: list[HostEntry],
        now: Instant,
    ) -> list[HostEntry]:
        """Returns the hosts by rendezvous score."""
        return sorted(
            hosts,
            key=lambda entry: rendezvous_score(organisation, entry.host),
            reverse=True,
        )


@placement_policies.register('owners')
class OwnersPlacement(RendezvousPlacement):
    """Puts the owners of the organisation's slice first.

    The owners hold its tokens and vote on its claims, so most requests sent
    to them need no message between hosts.
    """

    def rank(
        self,
        organisation: OrganisationId,
        hosts: list[HostEntry],
        now: Instant,
    ) -> list[HostEntry]:
        """Returns the owners, then the other hosts by rendezvous score."""
        ownership = self.kernel.service('ownership')
        slice_id = ownership.slice_of(organisation)
        owners = {owner.host for owner in ownership.owners(slice_id)}
        ranked = super().rank(organisation, hosts, now)
        return sorted(ranked, key=lambda entry: entry.host not in owners)


@services.register('placement')
class Placement:
    """Selects hosts by the placement policy chosen in the settings."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.placement
        self.policy: PlacementPolicy = placement_policies.get(name)(kernel)

    def hosts_for(
        self, organisation: OrganisationId, now: Instant
    ) -> HostAnswer:
        """Returns the hosts for callers of an organisation.

        Among the first `FIRST_HOSTS`, those in this host's zone come first;
        the others are a fallback for callers that reach none of these.
        """
        hosts = self.kernel.service('membership').usable_hosts(now)
        ranked = self.policy.rank(organisation, hosts, now)
        zone = self.kernel.settings.zone
        first = sorted(
            ranked[:FIRST_HOSTS], key=lambda entry: entry.zone != zone
        )
        chosen = [*first, *ranked[FIRST_HOSTS:ANSWER_HOSTS]]
        addresses = tuple(entry.address for entry in chosen)
        self.kernel.decide(
            'placement', organisation=organisation, addresses=addresses
        )
        return HostAnswer(addresses, ANSWER_LIFETIME_S)
