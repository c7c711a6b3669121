"""Messages between the hosts: heartbeats and what requests have shown."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from teaselcove.crashes import CrashSuspected
from teaselcove.events import HostEntry, HostsListed, PeerMessageReceived
from teaselcove.ids import (
    BackendServerId,
    HostId,
    Incarnation,
    Instant,
    Version,
)
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import HostRecord, ServerEntry
from teaselcove.ingress.health import Evidence
from teaselcove.ingress.members import HEARTBEAT_INTERVAL_S
from teaselcove.ingress.tokens import (
    TokenExchange,
    TokensGiven,
    TokensWanted,
)
from teaselcove.kernel import Kernel
from teaselcove.messages import message
from teaselcove.settings import HostSettings
from teaselcove.transport import Transport

log = logging.getLogger('teaselcove.members')

# Interval in seconds at which evidence is sent. A request that may run once
# is lost for each one that reaches a failing server in the meantime.
REPORT_INTERVAL_S = 0.1
# Without a failure, reports are sent at this multiple of the interval:
# successes and counts of attempts are less urgent.
CALM_REPORTS = 4
# Heartbeats between reports to hosts in use of other availability zones.
FAR_BEATS = 2
# Heartbeats between those to all hosts of other availability zones, which
# learn of the hosts in use from them.
ANNOUNCE_BEATS = 10
# Counts of attempts of a host that has not reported for this long are
# dropped.
REPORT_LIFETIME_S = 1.5


@message('ingress-heartbeat')
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A host says that it is alive and what it knows of its zone.

    Attributes:
        hears: Hosts of the sender's availability zone that it hears; empty
            for hosts of other zones.
        sent_at: Present time on the sender's clock.
        version: Version of the configuration in force at the sender.
        keys_as_of: Time on the recipient's clock at which that version was
            the newest, if the sender has read the store since; or None.
        servers: Digest of the backend servers that the sender knows.
        servers_as_of: The same as `keys_as_of` for these servers.
    """

    record: HostRecord
    leaving: bool
    in_use: bool
    hears: tuple[HostId, ...]
    sent_at: Instant
    version: Version
    keys_as_of: Instant | None
    servers: int
    servers_as_of: Instant | None


@message('server-news')
class ServerNews(msgspec.Struct, frozen=True, array_like=True):
    """A backend server whose entry has changed.

    Attributes:
        offset: Offset of the entry in the store.
        entry: The entry, or None if it is gone.
    """

    server: BackendServerId
    offset: int
    entry: ServerEntry | None


@message('ingress-report')
class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a host in use has learned of the backend servers.

    Attributes:
        in_flight: Attempts of the sender by server.
    """

    evidence: tuple[Evidence, ...]
    in_flight: dict[BackendServerId, int]


class PeerLoad(msgspec.Struct):
    """Attempts of another host by server."""

    in_flight: dict[BackendServerId, int]
    reported_at: Instant


class Gossip:
    """Exchanges messages with the other hosts.

    Attributes:
        outdated: Called when another host has a newer configuration.
    """

    def __init__(
        self, kernel: Kernel, own: HostRecord, settings: HostSettings
    ) -> None:
        self.kernel = kernel
        self.outdated: Callable[[], None] = lambda: None
        self.own = own
        self.beats = 0
        self.reports = 0
        self.was_in_use = False
        self.reported: dict[BackendServerId, int] = {}
        self.loads: dict[HostId, PeerLoad] = {}
        self.transport = Transport(
            settings, Incarnation(own.started_ms), self.receive
        )
        self.tokens = TokenExchange(kernel, self.transport.send)

    def update_addresses(self) -> None:
        """Lets the transport know the addresses of all hosts."""
        peers = self.kernel.service('members').peers.values()
        entries = tuple(
            HostEntry(
                peer.record.host,
                Incarnation(0),
                peer.record.zone,
                peer.record.address,
                peer.record.peer_address,
            )
            for peer in peers
        )
        self.transport.update_hosts(HostsListed(entries))

    def receive(self, event: PeerMessageReceived) -> None:
        """Takes over a message of another host."""
        now = boot_time()
        body = event.message
        if isinstance(body, Heartbeat):
            self.take_heartbeat(body, now)
        elif isinstance(body, Report):
            self.take_report(event.sender, body, now)
        elif isinstance(body, ServerNews):
            self.take_server(body, now)
        elif isinstance(body, TokensWanted):
            self.tokens.wanted(event.sender, body, now)
        elif isinstance(body, TokensGiven):
            self.tokens.given(event.sender, body)
        elif isinstance(body, CrashSuspected):
            crashes = self.kernel.service('acceptance').crashes
            crashes.note_crash(body.digest, body.server, now)

    def take_heartbeat(self, beat: Heartbeat, now: Instant) -> None:
        """Notes a heartbeat."""
        members = self.kernel.service('members')
        known = members.peers.get(beat.record.host)
        renewed = known is None or known.record != beat.record
        appeared = members.heard(
            beat.record, beat.leaving, beat.in_use, frozenset(beat.hears), now
        )
        self.kernel.service('vouching').note(
            beat.record.host, beat.sent_at, now
        )
        self.take_beliefs(beat, now)
        if renewed:
            self.update_addresses()
        if appeared:
            log.info(
                'host-heard', extra={'figures': {'peer': beat.record.host}}
            )

    def take_beliefs(self, beat: Heartbeat, now: Instant) -> None:
        """Takes over for which time the sender vouches."""
        catalog = self.kernel.service('catalog')
        if beat.version > catalog.version:
            self.outdated()
        if beat.keys_as_of is not None and beat.version == catalog.version:
            catalog.confirm(min(beat.keys_as_of, now))
        discovery = self.kernel.service('discovery')
        known = beat.servers_as_of is not None
        if known and beat.servers == discovery.digest:
            discovery.confirm(min(beat.servers_as_of, now))

    def take_server(self, news: ServerNews, now: Instant) -> None:
        """Takes over a changed entry of a backend server."""
        discovery = self.kernel.service('discovery')
        if news.entry is None:
            discovery.drop(news.server, news.offset, now)
        else:
            discovery.note(news.entry, news.offset, now)

    def take_report(self, sender: HostId, report: Report, now: Instant) -> None:
        """Takes over evidence and counts of attempts."""
        health = self.kernel.service('health')
        for evidence in report.evidence:
            health.note(evidence, now)
        self.loads[sender] = PeerLoad(report.in_flight, now)
        self.sum_loads(now)

    def sum_loads(self, now: Instant) -> None:
        """Adds up the attempts of the other hosts."""
        total: dict[BackendServerId, int] = {}
        for host, load in tuple(self.loads.items()):
            if now - load.reported_at > REPORT_LIFETIME_S:
                self.loads.pop(host)
                continue
            for server, count in load.in_flight.items():
                total[server] = total.get(server, 0) + count
        self.kernel.service('balance').elsewhere = total

    async def run(self) -> None:
        """Sends heartbeats and reports until cancelled."""
        ticks_per_beat = round(HEARTBEAT_INTERVAL_S / REPORT_INTERVAL_S)
        tick = 0
        while True:
            now = boot_time()
            if self.kernel.service('members').tick(now):
                log.warning('paused')
            if tick % ticks_per_beat == 0:
                self.send_heartbeats(now)
            self.kernel.service('health').check_overdue(now)
            self.send_report(now)
            tick += 1
            serving = self.was_in_use or bool(self.reported)
            pause = REPORT_INTERVAL_S
            if not serving:
                # Hosts that are not in use have nothing to report.
                pause = HEARTBEAT_INTERVAL_S
                tick = 0
            await asyncio.sleep(pause)

    def send_heartbeats(self, now: Instant) -> None:
        """Sends a heartbeat to the hosts that need it."""
        members = self.kernel.service('members')
        in_use = members.is_in_use(now)
        if in_use != self.was_in_use:
            log.info('in-use', extra={'figures': {'in_use': in_use}})
        announce = in_use and (
            not self.was_in_use or self.beats % ANNOUNCE_BEATS == 0
        )
        self.was_in_use = in_use
        hears = tuple(members.heard_hosts(now))
        to_far = announce or self.beats % FAR_BEATS == 0
        elsewhere = {item.host for item in members.elsewhere_in_use(now)}
        for host, peer in members.peers.items():
            if peer.record.zone == self.own.zone:
                self.transport.send(host, self.heartbeat(host, hears, now))
            elif announce or (in_use and to_far and host in elsewhere):
                self.transport.send(host, self.heartbeat(host, (), now))
        self.beats += 1

    def heartbeat(
        self, host: HostId, hears: tuple[HostId, ...], now: Instant
    ) -> Heartbeat:
        """Returns the heartbeat for a host."""
        catalog = self.kernel.service('catalog')
        discovery = self.kernel.service('discovery')
        vouching = self.kernel.service('vouching')
        members = self.kernel.service('members')
        return Heartbeat(
            self.own,
            members.leaving,
            self.was_in_use,
            hears,
            now,
            catalog.version,
            vouching.time_for(host, catalog.read_at),
            discovery.digest,
            vouching.time_for(host, discovery.own_read_at),
        )

    def send_server(self, news: ServerNews) -> None:
        """Tells the hosts of the own zone of a changed server."""
        members = self.kernel.service('members')
        for peer in members.live(self.own.zone, boot_time()):
            self.transport.send(peer.record.host, news)

    def send_report(self, now: Instant) -> None:
        """Sends evidence; failures at once, the rest now and then."""
        health = self.kernel.service('health')
        self.reports += 1
        urgent = any(not item.well for item in health.news)
        if not urgent and self.reports % CALM_REPORTS:
            return
        in_flight = dict(self.kernel.service('balance').in_flight)
        news = tuple(health.take_news())
        if not news and in_flight == self.reported:
            return
        self.reported = in_flight
        report = Report(news, in_flight)
        members = self.kernel.service('members')
        for record in members.elsewhere_in_use(now):
            self.transport.send(record.host, report)

    def tell_crash(self, suspicion: CrashSuspected) -> None:
        """Tells the hosts in use that a request may crash servers."""
        members = self.kernel.service('members')
        for record in members.elsewhere_in_use(boot_time()):
            self.transport.send(record.host, suspicion)
