"""Hubs of an availability zone, and which hosts callers should use.

Load: backend servers that fail for seconds. A host that handles few requests
detects such failures late, so a few hosts in each availability zone take all of
its requests. Hosts that have run longest are preferred, so that a restarted
host does not take callers from hosts that know the state of the servers.

The hosts in use and the next ones in rank are the hubs of their zone. They
exchange heartbeats with each other. Every other host follows two hubs, so its
cost does not depend on the number of hosts. Each heartbeat names the best
ranked hosts that its sender hears.
"""

import math
import zlib
from collections import Counter

from teaselcove.ids import HostId, Instant, ZoneName
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.members import (
    HEARTBEAT_TIMEOUT_S,
    OTHER_ZONE_TIMEOUT_S,
    SETTLE_S,
    Members,
    Peer,
    rank,
)
from teaselcove.ingress.peer_messages import Role
from teaselcove.kernel import Kernel

# Hubs of a zone in addition to its hosts in use.
STANDBY_HUBS = 2
# Hubs that a host which is not a hub follows.
FOLLOWED_HUBS = 2
# Hosts contacted at once, and for how many seconds, while no hub is heard.
SEARCH_BATCH = 8
SEARCH_STEP_S = 1
# Seconds for which the list of hubs is kept, unless a heartbeat changes it.
HUBS_CACHE_S = 0.1


@ingress_services.register('hubs')
class Hubs:
    """Selects the hubs of this host's zone and the hosts in use among them.

    Attributes:
        cached_hubs: Hubs as computed at `cached_at`.
        cached_revision: Revision of the members that they were computed from.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.cached_hubs: tuple[HostRecord, ...] = ()
        self.cached_at: Instant | None = None
        self.cached_revision = 0

    @property
    def members(self) -> Members:
        """The known hosts."""
        return self.kernel.service('members')

    @property
    def max_hosts_in_use(self) -> int:
        """The maximum number of hosts in use over all zones."""
        zones = len(self.kernel.settings.zones)
        return zones * self.kernel.settings.ingress.hosts_in_use

    @property
    def max_hubs(self) -> int:
        """The number of hubs of a zone."""
        return self.kernel.settings.ingress.hosts_in_use + STANDBY_HUBS

    def in_use(self, now: Instant) -> list[HostRecord]:
        """Returns the hosts that callers of this zone should use."""
        limit = self.kernel.settings.ingress.hosts_in_use
        return list(self.current(now)[:limit])

    def is_in_use(self, now: Instant) -> bool:
        """Returns whether this host is one that callers should use.

        Just after its start, a host leaves room for better ranked hosts that it
        has not heard yet.
        """
        if self.members.own is None or self.members.own not in self.in_use(now):
            return False
        limit = self.kernel.settings.ingress.hosts_in_use
        return self.members.own in self.contacts(now)[:limit]

    def is_hub(self, now: Instant) -> bool:
        """Returns whether this host is a hub of its zone."""
        return self.members.own in self.contacts(now)[: self.max_hubs]

    def hears(self, now: Instant) -> tuple[HostRecord, ...]:
        """Returns the best ranked hosts of the zone that this host hears."""
        records = [
            peer.record for peer in self.members.live(self.members.zone, now)
        ]
        if self.members.own is not None and self.is_eligible(now):
            records.append(self.members.own)
        return tuple(sorted(records, key=rank)[: self.max_hubs])

    def current(self, now: Instant) -> tuple[HostRecord, ...]:
        """Returns the hubs of this zone in order of rank.

        These are the best ranked of the hosts that this host hears itself and
        those that at least half of the hubs which it hears hear.
        """
        is_current = (
            not self.members.leaving
            and self.cached_at is not None
            and 0 <= now - self.cached_at < HUBS_CACHE_S
            and self.cached_revision == self.members.revision
        )
        if not is_current:
            self.cached_hubs = self.compute_hubs(now)
            self.cached_at = now
            self.cached_revision = self.members.revision
        return self.cached_hubs

    def compute_hubs(self, now: Instant) -> tuple[HostRecord, ...]:
        """Determines the hubs of this zone."""
        live = self.members.live(self.members.zone, now)
        records = {peer.record.host: peer.record for peer in live}
        if self.members.own is not None and self.is_eligible(now):
            records[self.members.own.host] = self.members.own
        voters = [peer for peer in live if peer.role is Role.HUB]
        votes = Counter(record for peer in voters for record in peer.hears)
        own = self.kernel.settings.host
        for record, count in votes.items():
            if 2 * count >= len(voters) and record.host != own:
                if not self.is_known_to_leave(record):
                    records.setdefault(record.host, record)
        return tuple(sorted(records.values(), key=rank)[: self.max_hubs])

    def is_known_to_leave(self, record: HostRecord) -> bool:
        """Returns whether a host has told this one that it is leaving."""
        peer = self.members.peers.get(record.host)
        return peer is not None and peer.record == record and peer.leaving

    def is_eligible(self, now: Instant) -> bool:
        """Returns whether this host may be in use.

        The other hosts of the zone leave out a host whose heartbeats they do
        not receive, so it must not include itself either. A host that has
        just appeared cannot have received this host's heartbeats yet.
        """
        if (
            self.members.leaving
            or now - self.members.resumed_at < HEARTBEAT_TIMEOUT_S
        ):
            return False
        live = self.members.live(self.members.zone, now)
        if not live:
            reading = self.kernel.service('reading')
            return reading.is_store_reachable(now) or not self.members.peers
        seen_by_peers = [
            self.is_seen_by(peer)
            for peer in live
            if now - peer.live_since > SETTLE_S
        ]
        return 2 * sum(seen_by_peers) >= len(seen_by_peers)

    def is_seen_by(self, peer: Peer) -> bool:
        """Returns whether another host hears this one or cannot tell.

        It names only the best ranked hosts that it hears.
        """
        host = self.kernel.settings.host
        if any(record.host == host for record in peer.hears):
            return True
        if len(peer.hears) < self.max_hubs or self.members.own is None:
            return False
        return rank(self.members.own) > rank(peer.hears[-1])

    def contacts(self, now: Instant) -> list[HostRecord]:
        """Returns the hubs and hosts that may be hubs but were not heard yet.

        These are hosts that any other one names. After the start, they are the
        best ranked hosts known from the store. While no host is heard, others
        are tried, in the order of rank.
        """
        hubs = {record.host: record for record in self.current(now)}
        own = self.kernel.settings.host
        hubs.pop(own, None)
        if self.members.own is not None and not self.members.leaving:
            hubs[own] = self.members.own
        live = self.members.live(self.members.zone, now)
        possible = [record for peer in live for record in peer.hears]
        possible.extend(self.presumed(now))
        for record in possible:
            if record.host != own and not self.is_known_to_leave(record):
                hubs.setdefault(record.host, record)
        ranked = sorted(hubs.values(), key=rank)
        return ranked[: self.max_hubs] if live else ranked

    def presumed(self, now: Instant) -> list[HostRecord]:
        """Returns the hosts of this zone that may be alive without a sign."""
        starting = now - self.members.started_at < SETTLE_S
        if not starting and self.members.live(self.members.zone, now):
            return []
        silent = self.members.silent_records(self.members.zone, now)
        if starting:
            return silent[:SEARCH_BATCH]
        searched = now - self.members.searching_since
        return batch_of(silent, int(searched / SEARCH_STEP_S))

    def followed(self, now: Instant) -> list[HostRecord]:
        """Returns the hubs that this host follows, the first one first.

        The hosts of a zone are spread over its hubs by hash. If a followed hub
        is not heard, all hubs are followed.
        """
        hubs = [item for item in self.contacts(now) if item != self.members.own]
        if not hubs:
            return []
        start = zlib.crc32(self.kernel.settings.host.encode()) % len(hubs)
        rotated = hubs[start:] + hubs[:start]
        heard = [
            item for item in rotated if self.members.hears_host(item.host, now)
        ]
        others = [item for item in rotated if item not in heard]
        if len(heard) < min(FOLLOWED_HUBS, len(hubs)):
            return heard + others
        return heard[:FOLLOWED_HUBS]

    def zone_hubs(
        self, zone: ZoneName, step: int, now: Instant
    ) -> list[HostRecord]:
        """Returns the hubs of another zone, as far as known.

        Args:
            zone: The zone.
            step: Number of the attempt, if the known hubs are all silent: each
                attempt tries other hosts.
            now: Present time.
        """
        records: dict[HostId, HostRecord] = {}
        for peer in self.members.heard.values():
            if peer.record.zone == zone and self.members.heard_within(
                peer, OTHER_ZONE_TIMEOUT_S, now
            ):
                records[peer.record.host] = peer.record
                records.update((item.host, item) for item in peer.hears)
        ranked = sorted(records.values(), key=rank)[: self.max_hubs]
        return ranked or batch_of(self.members.silent_records(zone, now), step)

    def other_hosts_in_use(self, now: Instant) -> list[HostRecord]:
        """Returns the other hosts of all zones that are in use.

        Heartbeats to hosts of other zones are sent at half the rate.
        """
        found = {
            peer.record.host: peer.record
            for peer in self.members.heard.values()
            if peer.is_in_use
            and self.members.heard_within(peer, 2 * HEARTBEAT_TIMEOUT_S, now)
        }
        found.update(
            (record.host, record)
            for record in self.in_use(now)
            if record != self.members.own
        )
        return list(found.values())


def batch_of(records: list[HostRecord], step: int) -> list[HostRecord]:
    """Returns one batch of hosts to try, others with each step."""
    if not records:
        return []
    batches = math.ceil(len(records) / SEARCH_BATCH)
    start = step % batches * SEARCH_BATCH
    return records[start : start + SEARCH_BATCH]
