"""Which hosts a caller of an organisation should use."""

import hashlib

import msgspec

from teaselcove.ids import Instant, OrganisationId
from teaselcove.kernel import Kernel, services

ANSWER_HOSTS = 6
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


@services.register('placement')
class Placement:
    """Answers which hosts to use."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def hosts_for(
        self, organisation: OrganisationId, now: Instant
    ) -> HostAnswer:
        """Returns the hosts for callers of an organisation."""
        hosts = self.kernel.service('membership').usable_hosts(now)
        ranked = sorted(
            hosts,
            key=lambda entry: rendezvous_score(organisation, entry.host),
            reverse=True,
        )
        zone = self.kernel.settings.zone
        chosen = ranked[:ANSWER_HOSTS]
        chosen.sort(key=lambda entry: entry.zone != zone)
        addresses = tuple(entry.address for entry in chosen)
        self.kernel.decide(
            'placement', organisation=organisation, addresses=addresses
        )
        return HostAnswer(addresses, ANSWER_LIFETIME_S)
