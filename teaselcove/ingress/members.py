"""Membership of the fleet and the choice of the hosts for callers to use.

Load: backend servers that fail for seconds. A host that handles few requests
detects such failures late, so a few hosts in each availability zone take all of
its requests. Hosts that have run longest are preferred, so that a restarted
host does not take callers from hosts that know the state of the servers.
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
# Seconds without a heartbeat after which a host counts as dead: three missed in
# a row. With a shorter time a lost packet, which is resent only after 0.2 s or
# more, would make a live host count as dead.
HEARTBEAT_TIMEOUT_S = 1.6
# Hosts that start within the same interval of this length rank as equally old.
START_TIME_BUCKET_MS = 5000
# Seconds until a host that has just started knows the others: it reads their
# records after 0.25 s and receives their heartbeats within two intervals.
SETTLE_S = 1.5
# Requests per second per core and per Mbit/s of the link, at about half of
# saturation. A request takes about 2 ms of a core and, with its answer, 5 KB in
# and out.
REQUESTS_PER_CORE = 250
REQUESTS_PER_MBPS = 12
# Cached ranks: enough for the hosts of a full availability zone and their
# earlier processes.
RANK_CACHE_SIZE = 1024
# Seconds between two ticks from which on the process counts as paused, and its
# state as stale.
PAUSE_THRESHOLD_S = 1


class Peer(msgspec.Struct):
    """Another host and its latest heartbeat.

    Attributes:
        last_heartbeat_at: When its latest heartbeat arrived, or None.
        live_since: Since when it has been live without interruption.
        live_hosts: Hosts of its zone that it receives heartbeats from.
        can_read: Whether it has not found the store unreachable recently.
    """

    record: HostRecord
    last_heartbeat_at: Instant | None = None
    live_since: Instant = Instant(0)
    leaving: bool = False
    is_in_use: bool = False
    live_hosts: frozenset[HostId] = frozenset()
    can_read: bool = True


@ingress_services.register('members')
class Members:
    """Tracks which hosts are alive and which of them are in use.

    Attributes:
        own: This host's record.
        started_at: When the process started.
        resumed_at: When the process last resumed after a pause.
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
        """Sets this host's own record and start time."""
        self.own = own
        self.started_at = now

    def tick(self, now: Instant) -> bool:
        """Records that the process runs; returns whether it was paused."""
        before = self.ticked_at
        self.ticked_at = now
        paused = before is not None and now - before > PAUSE_THRESHOLD_S
        if paused:
            self.resumed_at = now
        return paused

    def add_host(self, record: HostRecord) -> bool:
        """Adds a host recorded in the store; returns whether it was unknown."""
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
        live_hosts: frozenset[HostId],
        now: Instant,
        can_read: bool = True,
    ) -> bool:
        """Records a heartbeat; returns whether its sender was not live."""
        peer = self.peers.get(record.host)
        if peer is None or peer.record != record:
            # The host was restarted. Start times cannot tell which process is
            # the newer one, since the clock of a host may jump.
            peer = Peer(record)
            self.peers[record.host] = peer
        was_silent = not self.is_live(peer, now)
        if was_silent:
            peer.live_since = now
        peer.last_heartbeat_at = now
        peer.leaving = leaving
        peer.is_in_use = in_use
        peer.live_hosts = live_hosts
        peer.can_read = can_read
        return was_silent

    def is_live(self, peer: Peer, now: Instant) -> bool:
        """Returns whether a heartbeat arrived within the timeout."""
        return (
            peer.last_heartbeat_at is not None
            and now - peer.last_heartbeat_at < HEARTBEAT_TIMEOUT_S
        )

    def live(self, zone: ZoneName, now: Instant) -> list[Peer]:
        """Returns the live hosts of a zone that are not leaving."""
        return [
            peer
            for peer in self.peers.values()
            if peer.record.zone == zone
            and self.is_live(peer, now)
            and not peer.leaving
        ]

    def live_hosts(self, now: Instant) -> list[HostId]:
        """Returns the other live hosts of this host's zone."""
        zone = self.kernel.settings.zone
        return [peer.record.host for peer in self.live(zone, now)]

    def host_count(self, now: Instant) -> int:
        """Returns the number of known hosts, including this one."""
        return len(self.peers) + 1

    def max_hosts_in_use(self, now: Instant) -> int:
        """Returns the maximum number of hosts in use over all zones."""
        zones = len(self.kernel.settings.zones)
        return zones * self.kernel.settings.ingress.hosts_in_use

    def in_use(self, now: Instant) -> list[HostRecord]:
        """Returns the hosts that callers of this zone should use."""
        limit = self.kernel.settings.ingress.hosts_in_use
        return self.ranked_hosts(now)[:limit]

    def ranked_hosts(self, now: Instant) -> list[HostRecord]:
        """Returns the eligible hosts of this zone in order of preference."""
        records = [peer.record for peer in self.live(self.zone, now)]
        if self.own is not None and self.is_eligible(now):
            records.append(self.own)
        return sorted(records, key=rank)

    @property
    def zone(self) -> ZoneName:
        """The availability zone of this host."""
        return self.kernel.settings.zone

    def is_eligible(self, now: Instant) -> bool:
        """Returns whether this host may be in use.

        The other hosts of the zone leave out a host whose heartbeats they do
        not receive, so it must not include itself either. A host that has
        just appeared cannot have received this host's heartbeats yet.
        """
        if self.leaving or now - self.resumed_at < HEARTBEAT_TIMEOUT_S:
            return False
        live = self.live(self.zone, now)
        if not live:
            reading = self.kernel.service('reading')
            return reading.is_store_reachable(now) or not self.peers
        host = self.kernel.settings.host
        seen_by_peers = [
            host in peer.live_hosts
            for peer in live
            if now - peer.live_since > SETTLE_S
        ]
        return 2 * sum(seen_by_peers) >= len(seen_by_peers)

    def is_in_use(self, now: Instant) -> bool:
        """Returns whether this host is one that callers should use."""
        return self.own is not None and self.own in self.in_use(now)

    def other_hosts_in_use(self, now: Instant) -> list[HostRecord]:
        """Returns the other hosts of all zones that report to be in use."""
        return [
            peer.record
            for peer in self.peers.values()
            if peer.is_in_use and self.is_live_in_any_zone(peer, now)
        ]

    def is_live_in_any_zone(self, peer: Peer, now: Instant) -> bool:
        """Returns whether a heartbeat arrived within twice the timeout.

        Heartbeats to hosts of other zones are sent at half the rate.
        """
        return (
            peer.last_heartbeat_at is not None
            and now - peer.last_heartbeat_at < 2 * HEARTBEAT_TIMEOUT_S
        )


def capacity_of(cores: float, link_mbps: float) -> float:
    """Returns roughly how many requests per second a host can serve.

    Args:
        cores: CPU share in cores.
        link_mbps: Speed of its link.
    """
    return min(cores * REQUESTS_PER_CORE, link_mbps * REQUESTS_PER_MBPS)


@lru_cache(RANK_CACHE_SIZE)
def rank(record: HostRecord) -> tuple[int, int, bytes]:
    """Returns the sort key of a host: larger first, then older, then hash."""
    size = -round(math.log2(max(1, record.capacity)))
    name = hashlib.blake2b(record.host.encode(), digest_size=8).digest()
    return size, record.started_ms // START_TIME_BUCKET_MS, name
