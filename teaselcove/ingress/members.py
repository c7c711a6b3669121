"""The hosts of the fleet and which of them callers are told to use.

Load: backend servers that fail for seconds. A host that sees few requests
learns of them late, so few hosts in each availability zone take all of its
requests. Hosts that have run longest come first: a host that starts again
does not draw callers away from those that know the servers.
"""

import hashlib
import math
from functools import lru_cache

import msgspec

from teaselcove.ids import HostId, Instant, ZoneName
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

HEARTBEAT_INTERVAL_S = 0.5
# Three heartbeats lost in a row; a shorter time would take a lost packet,
# which is sent again after 0.2 s and more, for a dead host.
SILENCE_S = 1.6
# Hosts that start within this time count as equally old.
AGE_STEP_MS = 5000
# A host that has just started knows the others after this time: it reads
# their records after 0.25 s and hears them within two heartbeats.
SETTLE_S = 1.5
# Requests per second for each core and for each Mbit/s of the link, at about
# half of what saturates them. A request takes some 2 ms of a core, and with its
# answer 5 KB in and out.
REQUESTS_PER_CORE = 250
REQUESTS_PER_MBPS = 12
# Hosts whose ranks are kept: those of an availability zone at full size, and
# their earlier processes.
MAX_RANKED = 1024
# A gap in the host's own clock after which its beliefs are stale.
PAUSE_S = 1


class Peer(msgspec.Struct):
    """Another host.

    Attributes:
        heard_at: When its latest heartbeat arrived, or None.
        appeared_at: Since when it has been heard without a silence.
        hears: Hosts of its zone that it hears.
        can_read: Whether the store has not refused it lately.
    """

    record: HostRecord
    heard_at: Instant | None = None
    appeared_at: Instant = Instant(0)
    leaving: bool = False
    is_in_use: bool = False
    hears: frozenset[HostId] = frozenset()
    can_read: bool = True


@ingress_services.register('members')
class Members:
    """Keeps the hosts that are alive.

    Attributes:
        own: This host's record.
        started_at: When the process started.
        resumed_at: When the process last ran on after a pause.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.peers: dict[HostId, Peer] = {}
        self.own: HostRecord | None = None
        self.started_at = Instant(0)
        self.resumed_at = Instant(0)
        self.ticked_at: Instant | None = None
        self.leaving = False

    def start(self, own: HostRecord, now: Instant) -> None:
        """Notes this host's own record."""
        self.own = own
        self.started_at = now

    def tick(self, now: Instant) -> bool:
        """Notes that the process runs; returns whether it had paused."""
        before = self.ticked_at
        self.ticked_at = now
        paused = before is not None and now - before > PAUSE_S
        if paused:
            self.resumed_at = now
        return paused

    def add_host(self, record: HostRecord) -> bool:
        """Notes a host's record in the store; returns whether it is new."""
        own = self.own is not None and record.host == self.own.host
        if own or record.host in self.peers:
            return False
        self.peers[record.host] = Peer(record)
        return True

    def record_heartbeat(
        self,
        record: HostRecord,
        leaving: bool,
        in_use: bool,
        hears: frozenset[HostId],
        now: Instant,
        can_read: bool = True,
    ) -> bool:
        """Notes a heartbeat; returns whether its sender was not heard."""
        peer = self.peers.get(record.host)
        if peer is None or peer.record != record:
            # Another process of the host. Times of day do not order them,
            # since the clock of a host may jump.
            peer = Peer(record)
            self.peers[record.host] = peer
        was_silent = not self.is_live(peer, now)
        if was_silent:
            peer.appeared_at = now
        peer.heard_at = now
        peer.leaving = leaving
        peer.is_in_use = in_use
        peer.hears = hears
        peer.can_read = can_read
        return was_silent

    def is_live(self, peer: Peer, now: Instant) -> bool:
        """Returns whether a host is heard."""
        return peer.heard_at is not None and now - peer.heard_at < SILENCE_S

    def live(self, zone: ZoneName, now: Instant) -> list[Peer]:
        """Returns the hosts of a zone that are heard and stay."""
        return [
            peer
            for peer in self.peers.values()
            if peer.record.zone == zone
            and self.is_live(peer, now)
            and not peer.leaving
        ]

    def live_hosts(self, now: Instant) -> list[HostId]:
        """Returns the hosts of the own zone that are heard."""
        zone = self.kernel.settings.zone
        return [peer.record.host for peer in self.live(zone, now)]

    def host_count(self, now: Instant) -> int:
        """Returns how many hosts the fleet has, as far as is known."""
        return len(self.peers) + 1

    def max_hosts_in_use(self, now: Instant) -> int:
        """Returns the places in the lists of hosts in use of all zones."""
        zones = len(self.kernel.settings.zones)
        return zones * self.kernel.settings.ingress.hosts_in_use

    def in_use(self, now: Instant) -> list[HostRecord]:
        """Returns the hosts that callers of the own zone should use."""
        places = self.kernel.settings.ingress.hosts_in_use
        return self.in_order(now)[:places]

    def in_order(self, now: Instant) -> list[HostRecord]:
        """Returns the hosts of the own zone, first those to be in use."""
        records = [peer.record for peer in self.live(self.zone, now)]
        if self.own is not None and self.is_fit(now):
            records.append(self.own)
        return sorted(records, key=rank)

    @property
    def zone(self) -> ZoneName:
        """The availability zone of this host."""
        return self.kernel.settings.zone

    def is_fit(self, now: Instant) -> bool:
        """Returns whether this host may be in use.

        A host that the others of its zone do not hear is left out by them,
        and must not count itself in. One that has just appeared cannot have
        heard this host yet.
        """
        if self.leaving or now - self.resumed_at < SILENCE_S:
            return False
        live = self.live(self.zone, now)
        if not live:
            reading = self.kernel.service('reading')
            return reading.hears_store(now) or not self.peers
        host = self.kernel.settings.host
        listeners = [
            host in peer.hears
            for peer in live
            if now - peer.appeared_at > SETTLE_S
        ]
        return 2 * sum(listeners) >= len(listeners)

    def is_in_use(self, now: Instant) -> bool:
        """Returns whether callers are told to use this host."""
        return self.own is not None and self.own in self.in_use(now)

    def other_hosts_in_use(self, now: Instant) -> list[HostRecord]:
        """Returns the other hosts of all zones that say they are in use."""
        return [
            peer.record
            for peer in self.peers.values()
            if peer.is_in_use and self.is_live_slowly(peer, now)
        ]

    def is_live_slowly(self, peer: Peer, now: Instant) -> bool:
        """Returns whether a host was heard within two slow heartbeats."""
        return peer.heard_at is not None and now - peer.heard_at < 2 * SILENCE_S


def capacity_of(cores: float, link_mbps: float) -> float:
    """Returns the requests per second that a host can serve, about.

    Args:
        cores: Processor share in cores.
        link_mbps: Speed of its link.
    """
    return min(cores * REQUESTS_PER_CORE, link_mbps * REQUESTS_PER_MBPS)


@lru_cache(MAX_RANKED)
def rank(record: HostRecord) -> tuple[int, int, bytes]:
    """Returns the order of hosts: large ones, then older ones, then by hash."""
    size = -round(math.log2(max(1, record.capacity)))
    name = hashlib.blake2b(record.host.encode(), digest_size=8).digest()
    return size, record.started_ms // AGE_STEP_MS, name
