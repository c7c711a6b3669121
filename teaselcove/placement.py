"""Which hosts a caller of an organisation should use."""

import hashlib
from typing import Any, Protocol

import msgspec

from teaselcove.events import HostEntry
from teaselcove.ids import Instant, OrganisationId
from teaselcove.kernel import Kernel, services
from teaselcove.registry import Registry

ANSWER_HOSTS = 6
# As many as a slice has owners.
FIRST_HOSTS = 3
ANSWER_LIFETIME_S = 5


class HostAnswer(msgspec.Struct, frozen=True):
    """Addresses for a caller, best first.

    Attributes:
        lifetime: Seconds that the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    lifetime: float


def rendezvous_score(subject: str, candidate: str) -> int:
    """Returns the rank of a candidate for a subject; highest wins."""
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
    """Baseline that gives each organisation a subset of its own."""

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

    They hold its tokens and vote on its claims, so most requests that arrive
    there need no message between hosts.
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
    """Answers which hosts to use by the policy that the settings choose."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.placement
        self.policy: PlacementPolicy = placement_policies.get(name)(kernel)

    def hosts_for(
        self, organisation: OrganisationId, now: Instant
    ) -> HostAnswer:
        """Returns the hosts for callers of an organisation.

        The first `FIRST_HOSTS` come with those in this host's zone first;
        the others serve a caller that reaches none of these.
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
