"""Membership of the fleet: which hosts are known and which are alive.

Load: hosts that die, freeze, restart or are cut off one way, up to more than
half of them at once.
"""

import hashlib
import math
from functools import lru_cache

import msgspec

from teaselcove.ids import HostId, Instant, ZoneName
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.peer_messages import Role
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
# Seconds without a heartbeat after which the hubs of another zone are unknown.
# Hosts in use send to them every 5 s.
OTHER_ZONE_TIMEOUT_S = 12
# Seconds for which hubs go on to send heartbeats to a host that fell silent: it
# may be cut off one way, and must learn that the others do not hear it.
SILENT_HOST_S = 60
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
        hears: Best ranked hosts of its zone that it receives heartbeats from,
            and itself.
        can_read: Whether it has not found the store unreachable recently.
        role: What it is to this host.
        relies: Whether it follows this host first and expects it to pass on
            changes in the store.
    """

    record: HostRecord
    last_heartbeat_at: Instant | None = None
    live_since: Instant = Instant(0)
    leaving: bool = False
    is_in_use: bool = False
    hears: tuple[HostRecord, ...] = ()
    can_read: bool = True
    role: Role = Role.OTHER
    relies: bool = False


@ingress_services.register('members')
class Members:
    """Tracks which hosts are alive and which of them are in use.

    Attributes:
        peers: All known hosts, also dead ones whose record is in the store.
        heard: Those that sent a heartbeat recently.
        own: This host's record.
        started_at: When the process started.
        is_joining: Whether it started beside other hosts, as far as it knows.
        resumed_at: When the process last resumed after a pause.
        searching_since: Since when this host hears no host of its zone.
        revision: Number of changes of what the other hosts report.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.peers: dict[HostId, Peer] = {}
        self.heard: dict[HostId, Peer] = {}
        self.own: HostRecord | None = None
        self.started_at = Instant(0)
        self.is_joining = False
        self.resumed_at = Instant(0)
        self.ticked_at: Instant | None = None
        self.searching_since = Instant(0)
        self.leaving = False
        self.revision = 0

    def start(
        self, own: HostRecord, now: Instant, joining: bool = False
    ) -> None:
        """Sets this host's own record and start time.

        Args:
            own: The record.
            now: Present time.
            joining: Whether there may be other hosts that know more.
        """
        self.own = own
        self.started_at = now
        self.searching_since = now
        self.is_joining = joining

    def knows_fleet(self, now: Instant) -> bool:
        """Returns whether this host has heard another one, or waited for it.

        Until then, the store is all that it knows, and may have come back from
        an older copy than the other hosts know.
        """
        waited = now - self.started_at >= SETTLE_S
        return waited or not self.is_joining or bool(self.heard)

    def tick(self, now: Instant) -> bool:
        """Records that the process runs; returns whether it was paused."""
        before = self.ticked_at
        self.ticked_at = now
        paused = before is not None and now - before > PAUSE_THRESHOLD_S
        if paused:
            self.resumed_at = now
            self.revision += 1
        self.heard = {
            host: peer
            for host, peer in self.heard.items()
            if self.heard_within(peer, SILENT_HOST_S, now)
        }
        if self.live(self.zone, now):
            self.searching_since = now
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
        hears: tuple[HostRecord, ...],
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
        self.heard[record.host] = peer
        was_silent = not self.is_live(peer, now)
        if was_silent:
            peer.live_since = now
        if was_silent or peer.leaving != leaving or peer.hears != hears:
            self.revision += 1
        peer.last_heartbeat_at = now
        peer.leaving = leaving
        peer.is_in_use = in_use
        peer.hears = hears
        peer.can_read = can_read
        return was_silent

    def is_live(self, peer: Peer, now: Instant) -> bool:
        """Returns whether a heartbeat arrived within the timeout."""
        return self.heard_within(peer, HEARTBEAT_TIMEOUT_S, now)

    def heard_within(self, peer: Peer, seconds: float, now: Instant) -> bool:
        """Returns whether a heartbeat arrived within a time."""
        return (
            peer.last_heartbeat_at is not None
            and now - peer.last_heartbeat_at < seconds
        )

    def live(self, zone: ZoneName, now: Instant) -> list[Peer]:
        """Returns the hosts of a zone that are heard and not leaving."""
        return [
            peer
            for peer in self.heard.values()
            if peer.record.zone == zone
            and self.is_live(peer, now)
            and not peer.leaving
        ]

    def live_hosts(self, now: Instant) -> list[HostId]:
        """Returns the hosts of this host's zone that it hears."""
        return [peer.record.host for peer in self.live(self.zone, now)]

    def hubs_and_followers(self, zone: ZoneName) -> list[HostId]:
        """Returns the hubs and followers heard lately, also silent ones."""
        return [
            host
            for host, peer in self.heard.items()
            if peer.record.zone == zone
            and not peer.leaving
            and peer.role is not Role.OTHER
        ]

    def host_count(self, now: Instant) -> int:
        """Returns the number of known hosts, including this one."""
        return len(self.peers) + 1

    @property
    def zone(self) -> ZoneName:
        """The availability zone of this host."""
        return self.kernel.settings.zone

    def silent_records(self, zone: ZoneName, now: Instant) -> list[HostRecord]:
        """Returns the known hosts of a zone that are not heard, by rank."""
        return sorted(
            (
                peer.record
                for peer in self.peers.values()
                if peer.record.zone == zone and not self.is_live(peer, now)
            ),
            key=rank,
        )

    def hears_host(self, host: HostId, now: Instant) -> bool:
        """Returns whether a host is heard and not leaving."""
        peer = self.peers.get(host)
        return peer is not None and self.is_live(peer, now) and not peer.leaving

    def relying_hosts(self, now: Instant) -> list[HostId]:
        """Returns the hosts to which this host passes on changes."""
        return [
            peer.record.host
            for peer in self.live(self.zone, now)
            if peer.relies
        ]


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
