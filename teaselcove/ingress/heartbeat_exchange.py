"""Exchange of heartbeats between the hosts.

Hubs of a zone send them to each other and to the hosts that follow them, hosts
in use also to the hubs of other zones. A heartbeat confirms how recent the
sender's configuration and list of servers are, on the recipient's clock.
"""

import logging
from collections.abc import Callable
from typing import Any

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.hub_lists import HubLists, digest_of
from teaselcove.ingress.members import HEARTBEAT_INTERVAL_S
from teaselcove.ingress.peer_messages import Heartbeat, Role
from teaselcove.kernel import Kernel

log = logging.getLogger('teaselcove.members')

# Seconds after a heartbeat, sent because the reader of the zone has confirmed a
# read, within which followers get no further one.
FOLLOWER_PAUSE_S = HEARTBEAT_INTERVAL_S / 2
# Hosts in use in other availability zones get every second heartbeat.
OTHER_ZONE_HEARTBEAT_EVERY = 2
# The hubs of other availability zones get every tenth heartbeat, from which
# they learn which hosts are in use.
ANNOUNCEMENT_EVERY = 10
# Heartbeats to the hubs of other zones after this host has entered or left use.
# The first message to a host is lost, because its connection is still being
# opened.
ANNOUNCEMENTS_ON_CHANGE = 4


class HeartbeatExchange:
    """Sends heartbeats and applies those of other hosts.

    Attributes:
        send: Sends a message to a host.
        on_new_address: Called when a host is new or was restarted.
        on_peer_in_use: Called with a host that enters use beside this one.
        on_newer_version: Called when another host has a newer configuration.
        was_in_use: Whether this host was in use at its last heartbeat.
        is_hub: Whether it was a hub of its zone then.
        announcements_left: Number of heartbeats still to be sent to the hubs of
            all zones.
        hub_lists: Lists of hubs sent to and received from other hosts.
    """

    def __init__(
        self,
        kernel: Kernel,
        own: HostRecord,
        send: Callable[[HostId, Any], None],
        on_new_address: Callable[[], None],
        on_peer_in_use: Callable[[HostId, Instant], None],
    ) -> None:
        self.kernel = kernel
        self.own = own
        self.send = send
        self.on_new_address = on_new_address
        self.on_peer_in_use = on_peer_in_use
        self.on_newer_version: Callable[[], None] = lambda: None
        self.members = kernel.service('members')
        self.hubs = kernel.service('hubs')
        self.heartbeat_count = 0
        self.was_in_use = False
        self.is_hub = False
        self.announcements_left = 0
        self.sent_to_followers_at = Instant(float('-inf'))
        self.hub_lists = HubLists()

    def handle_heartbeat(
        self, sender: HostId, heartbeat: Heartbeat, now: Instant
    ) -> None:
        """Records a heartbeat and applies what it confirms."""
        hubs_before = self.hubs.current(now)
        appeared = self.record_sender(heartbeat, now)
        self.kernel.service('vouching').record_heartbeat(
            heartbeat.record.host, heartbeat.sent_at, now
        )
        if heartbeat.era is not None:
            era = self.kernel.service('store-era')
            era.observe(heartbeat.era, now, sender)
        confirmed = self.apply_confirmations(heartbeat, now)
        if self.is_hub and (confirmed or self.hubs.current(now) != hubs_before):
            self.send_to_followers(now)
        elif appeared or self.should_correct(heartbeat, now):
            self.send_heartbeat(sender, now)

    def should_correct(self, heartbeat: Heartbeat, now: Instant) -> bool:
        """Returns whether the sender takes this host for something it is not.

        A host of another zone that takes it for a hub learns the hubs from the
        reply, a hub that takes it for a follower stops to send to it.
        """
        if self.is_hub or heartbeat.role is not Role.HUB:
            return False
        followed = [record.host for record in self.hubs.followed(now)]
        return heartbeat.record.host not in followed

    def role_towards(self, host: HostId, followed: list[HostRecord]) -> Role:
        """Returns what this host is to another one."""
        if self.is_hub:
            return Role.HUB
        follows = any(record.host == host for record in followed)
        return Role.FOLLOWER if follows else Role.OTHER

    def record_sender(self, heartbeat: Heartbeat, now: Instant) -> bool:
        """Records what a heartbeat says of its sender and the hubs it hears.

        Returns:
            Whether the sender was silent before.
        """
        host = heartbeat.record.host
        known = self.members.peers.get(host)
        renewed = known is None or known.record != heartbeat.record
        was_in_use = known is not None and known.is_in_use
        appeared = self.members.record_heartbeat(
            heartbeat.record,
            heartbeat.leaving,
            heartbeat.in_use,
            self.hub_lists.receive(heartbeat),
            now,
            heartbeat.can_read,
        )
        peer = self.members.peers[host]
        peer.role = heartbeat.role
        peer.relies = heartbeat.relies
        added = [self.members.add_host(record) for record in peer.hears]
        if renewed or any(added):
            self.on_new_address()
        if appeared:
            log.info('host-heard', extra={'figures': {'peer': host}})
        entered_use = appeared or not was_in_use
        if heartbeat.in_use and self.was_in_use and entered_use:
            self.on_peer_in_use(host, now)
        return appeared

    def apply_confirmations(self, heartbeat: Heartbeat, now: Instant) -> bool:
        """Applies the times as of which the sender confirms shared state.

        Returns:
            Whether the servers are confirmed as of a later time than before.
        """
        catalog = self.kernel.service('catalog')
        if heartbeat.version > catalog.version:
            catalog.record_version(heartbeat.version, heartbeat.record.host)
            self.on_newer_version()
        if (
            heartbeat.keys_as_of is not None
            and heartbeat.version == catalog.version
        ):
            catalog.confirm(min(heartbeat.keys_as_of, now))
        discovery = self.kernel.service('discovery')
        before = discovery.confirmed_at
        known = heartbeat.servers_as_of is not None
        if known and heartbeat.servers == discovery.digest:
            discovery.confirm(min(heartbeat.servers_as_of, now))
        if heartbeat.followed_as_of is not None:
            reading = self.kernel.service('reading')
            reading.record_followed(min(heartbeat.followed_as_of, now))
        return discovery.confirmed_at != before

    def send_heartbeats(self, now: Instant) -> None:
        """Sends a heartbeat to the hosts that are due for one."""
        in_use = self.hubs.is_in_use(now)
        if in_use != self.was_in_use:
            self.kernel.decide('in-use', in_use=in_use)
            self.announcements_left = ANNOUNCEMENTS_ON_CHANGE
        announce = (
            self.announcements_left > 0
            or self.heartbeat_count % ANNOUNCEMENT_EVERY == 0
        )
        self.announcements_left = max(0, self.announcements_left - 1)
        self.was_in_use = in_use
        self.is_hub = self.hubs.is_hub(now)
        if self.is_hub:
            self.send_as_hub(now)
        else:
            for followed in self.hubs.followed(now):
                self.send_heartbeat(followed.host, now)
        if in_use:
            for recipient in self.other_zone_recipients(announce, now):
                self.send_heartbeat(recipient, now)
        self.heartbeat_count += 1

    def send_as_hub(self, now: Instant) -> None:
        """Sends heartbeats to the other hubs and to followers."""
        for host in self.other_hubs(now):
            self.send_heartbeat(host, now)
        if now - self.sent_to_followers_at >= FOLLOWER_PAUSE_S:
            self.send_to_followers(now)

    def other_hubs(self, now: Instant) -> set[HostId]:
        """Returns the hosts that are or may be hubs of this zone."""
        contacts = self.hubs.contacts(now)
        return {item.host for item in contacts} - {self.own.host}

    def send_to_followers(self, now: Instant) -> None:
        """Sends heartbeats to the hosts of the zone that are no hubs."""
        self.sent_to_followers_at = now
        hubs = self.other_hubs(now)
        for host in self.members.hubs_and_followers(self.own.zone):
            if host not in hubs:
                self.send_heartbeat(host, now)

    def other_zone_recipients(
        self, announce: bool, now: Instant
    ) -> list[HostId]:
        """Returns the hosts of other zones that are due for a heartbeat."""
        records: list[HostRecord] = []
        if announce:
            step = self.heartbeat_count
            for zone in self.kernel.settings.zones:
                records.extend(self.hubs.zone_hubs(zone, step, now))
        elif self.heartbeat_count % OTHER_ZONE_HEARTBEAT_EVERY == 0:
            records = self.hubs.other_hosts_in_use(now)
        return [
            record.host for record in records if record.zone != self.own.zone
        ]

    def send_heartbeat(self, host: HostId, now: Instant) -> None:
        """Sends a heartbeat to a host."""
        peer = self.members.peers.get(host)
        same_zone = peer is not None and peer.record.zone == self.own.zone
        followed = [] if self.is_hub else self.hubs.followed(now)
        catalog = self.kernel.service('catalog')
        discovery = self.kernel.service('discovery')
        vouching = self.kernel.service('vouching')
        reading = self.kernel.service('reading')
        hears = self.hubs.hears(now)
        heartbeat = Heartbeat(
            self.own,
            self.members.leaving,
            self.was_in_use,
            self.hub_lists.list_for(host, hears),
            digest_of(hears),
            self.hub_lists.is_wanted_from(host),
            self.role_towards(host, followed),
            bool(followed) and followed[0].host == host,
            now,
            catalog.version,
            vouching.as_of_time(host, catalog.confirmed_at),
            discovery.digest,
            vouching.as_of_time(host, discovery.confirmed_at),
            reading.can_read(now),
            reading.followed_as_of(host, same_zone and self.is_hub, now),
            self.kernel.service('store-era').current,
        )
        self.send(host, heartbeat)
