"""Hosts of the fleet, from the platform's list and from heartbeats."""

import msgspec

from teaselcove.effects import ReadHosts
from teaselcove.events import DrainRequested, HostEntry, HostsListed, HostState
from teaselcove.ids import HostId, Incarnation, Instant, Version
from teaselcove.kernel import Kernel, on, services
from teaselcove.messages import message

INCARNATION_BITS = 63


@message('heartbeat')
class Heartbeat(msgspec.Struct, frozen=True):
    """Sign of life of a host, with the configuration that it has.

    Attributes:
        counter: Rises with each heartbeat of an incarnation.
        version: Version of the configuration in force at the sender.
        digest: Digest of that configuration.
    """

    counter: int
    version: Version
    digest: int


@services.register('membership')
class Membership:
    """The hosts that this host knows.

    Attributes:
        incarnation: Random number that tells restarts apart.
        hosts: Entries of the platform's list.
        draining: Whether this host is leaving.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.incarnation = Incarnation(
            kernel.random.getrandbits(INCARNATION_BITS)
        )
        self.hosts: dict[HostId, HostEntry] = {}
        self.draining = False

    def start(self, now: Instant) -> None:
        """Starts to read the list at intervals."""
        self.read_list(now)

    def read_list(self, now: Instant) -> None:
        """Asks for the platform's list of hosts."""
        self.kernel.emit(ReadHosts())
        interval = self.kernel.settings.list_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_list)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Takes over the platform's list."""
        self.hosts = {entry.host: entry for entry in event.hosts}

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Starts to leave."""
        self.draining = True

    def is_suspected(self, host: HostId, now: Instant) -> bool:
        """Returns whether a listed host seems not to run."""
        return False

    def hears_majority(self, now: Instant, limit: float) -> bool:
        """Returns whether most listed hosts were heard of lately.

        Args:
            now: Present time.
            limit: Seconds that count as lately.
        """
        return True

    def usable_hosts(self, now: Instant) -> list[HostEntry]:
        """Returns the live hosts that are not suspected, by host id."""
        return [
            self.hosts[host]
            for host in sorted(self.hosts)
            if self.hosts[host].state is HostState.LIVE
            and not self.is_suspected(host, now)
        ]
