"""Messages between the hosts: heartbeats and what requests have shown."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from teaselcove.crashes import BLOCKED_S, CrashSuspected
from teaselcove.events import HostEntry, HostsListed, PeerMessageReceived
from teaselcove.ids import (
    BackendServerId,
    HostId,
    Incarnation,
    Instant,
)
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import (
    HostRecord,
    IngressConfiguration,
)
from teaselcove.ingress.findings import Outcome
from teaselcove.ingress.members import HEARTBEAT_INTERVAL_S
from teaselcove.ingress.peer_messages import (
    ConfigurationNews,
    Heartbeat,
    Report,
    ServerNews,
)
from teaselcove.ingress.tokens import (
    TokenExchange,
    TokensGiven,
    TokensWanted,
)
from teaselcove.kernel import Kernel
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
# Heartbeats to all hosts after a host has come into use: the first message to
# a host is lost, because its connection is only being opened.
FIRST_ANNOUNCEMENTS = 4
# Counts of attempts of a host that has not reported for this long are
# dropped.
REPORT_LIFETIME_S = 1.5


class PeerLoad(msgspec.Struct):
    """Attempts of another host by server."""

    in_flight: dict[BackendServerId, int]
    reported_at: Instant


class Gossip:
    """Exchanges messages with the other hosts.

    Attributes:
        outdated: Called when another host has a newer configuration.
        announcements: Heartbeats that are still to go to all hosts.
        hears: Hosts of the zone that were heard at the last heartbeat.
        is_reader: Whether this host read for its zone then.
    """

    def __init__(
        self, kernel: Kernel, own: HostRecord, settings: HostSettings
    ) -> None:
        self.kernel = kernel
        self.members = kernel.service('members')
        self.outdated: Callable[[], None] = lambda: None
        self.own = own
        self.beats = 0
        self.reports = 0
        self.was_in_use = False
        self.hears: tuple[HostId, ...] = ()
        self.is_reader = False
        self.announcements = 0
        self.reported: dict[BackendServerId, int] = {}
        self.loads: dict[HostId, PeerLoad] = {}
        self.transport = Transport(
            settings, Incarnation(own.started_ms), self.receive
        )
        self.tokens = TokenExchange(kernel, self.transport.send)
        self.handlers: dict[type, Callable[..., None]] = {
            Heartbeat: self.take_heartbeat,
            Report: self.take_report,
            ServerNews: self.take_server,
            ConfigurationNews: self.take_configuration,
            TokensWanted: self.tokens.handle_tokens_wanted,
            TokensGiven: self.tokens.handle_tokens_given,
            CrashSuspected: self.take_suspicion,
        }

    def update_addresses(self) -> None:
        """Lets the transport know the addresses of all hosts."""
        peers = self.members.peers.values()
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
        """Gives a message of another host to its handler."""
        handler = self.handlers.get(type(event.message))
        if handler is None:
            log.warning(
                'message-unexpected',
                extra={
                    'figures': {
                        'peer': event.sender,
                        'type': type(event.message).__name__,
                    }
                },
            )
            return
        handler(event.sender, event.message, boot_time())

    def take_suspicion(
        self, sender: HostId, suspicion: CrashSuspected, now: Instant
    ) -> None:
        """Notes that a request may have crashed a server elsewhere."""
        self.record_suspicion(suspicion, now)

    def record_suspicion(self, suspicion: CrashSuspected, now: Instant) -> None:
        """Blocks a request that may have crashed several servers."""
        crashes = self.kernel.service('acceptance').crashes
        if crashes.record_crash(suspicion.digest, suspicion.server, now):
            crashes.block(suspicion.digest, Instant(now + BLOCKED_S))
            self.kernel.decide(
                'request-blocked',
                digest=suspicion.digest.hex(),
                seconds=BLOCKED_S,
            )

    def take_heartbeat(
        self, sender: HostId, beat: Heartbeat, now: Instant
    ) -> None:
        """Notes a heartbeat."""
        known = self.members.peers.get(beat.record.host)
        renewed = known is None or known.record != beat.record
        was_in_use = known is not None and known.is_in_use
        appeared = self.members.record_heartbeat(
            beat.record,
            beat.leaving,
            beat.in_use,
            frozenset(beat.hears),
            now,
            beat.can_read,
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
        if beat.in_use and self.was_in_use and (appeared or not was_in_use):
            self.tell_beliefs(beat.record.host, now)

    def tell_beliefs(self, host: HostId, now: Instant) -> None:
        """Tells a host that has come into use how the servers fare."""
        current_evidence = tuple(
            self.kernel.service('health').current_evidence(now)
        )
        self.transport.send(host, Report(current_evidence, self.reported))

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
        if beat.followed_as_of is not None:
            reading = self.kernel.service('reading')
            reading.followed(min(beat.followed_as_of, now))

    def take_server(
        self, sender: HostId, news: ServerNews, now: Instant
    ) -> None:
        """Takes over a changed entry of a backend server."""
        discovery = self.kernel.service('discovery')
        if news.entry is None:
            discovery.remove(news.server, news.offset, now)
        else:
            discovery.update(news.entry, news.offset, now)

    def take_configuration(
        self, sender: HostId, news: ConfigurationNews, now: Instant
    ) -> None:
        """Puts a configuration in force that another host has read."""
        catalog = self.kernel.service('catalog')
        before = catalog.version
        if catalog.adopt(news.configuration):
            log.info(
                'configuration',
                extra={
                    'figures': {
                        'version': catalog.version,
                        'before': before,
                        'peer': sender,
                    }
                },
            )

    def take_report(self, sender: HostId, report: Report, now: Instant) -> None:
        """Takes over evidence and counts of attempts."""
        health = self.kernel.service('health')
        for evidence in report.evidence:
            health.record_finding(evidence.finding(now), now)
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
        self.kernel.service('balance').remote_in_flight = total

    async def run(self) -> None:
        """Sends heartbeats and reports until cancelled."""
        ticks_per_beat = round(HEARTBEAT_INTERVAL_S / REPORT_INTERVAL_S)
        tick = 0
        while True:
            now = boot_time()
            if self.members.tick(now):
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
        in_use = self.members.is_in_use(now)
        if in_use != self.was_in_use:
            self.kernel.decide('in-use', in_use=in_use)
            self.announcements = FIRST_ANNOUNCEMENTS
        announce = self.announcements > 0 or self.beats % ANNOUNCE_BEATS == 0
        self.announcements = max(0, self.announcements - 1)
        self.was_in_use = in_use
        self.is_reader = self.kernel.service('reading').is_reader(now)
        self.hears = tuple(self.members.live_hosts(now))
        near = [
            host
            for host, peer in self.members.peers.items()
            if peer.record.zone == self.own.zone
        ]
        for host in near:
            self.transport.send(host, self.heartbeat(host, True, now))
        if in_use:
            for distant in self.distant_hosts(announce, now):
                self.transport.send(
                    distant, self.heartbeat(distant, False, now)
                )
        self.beats += 1

    def distant_hosts(self, announce: bool, now: Instant) -> list[HostId]:
        """Returns the hosts of other zones to send a heartbeat to."""
        if announce:
            hosts = self.members.peers.values()
            records = [peer.record for peer in hosts]
        elif self.beats % FAR_BEATS:
            records = []
        else:
            records = self.members.other_hosts_in_use(now)
        return [
            record.host for record in records if record.zone != self.own.zone
        ]

    def heartbeat(self, host: HostId, near: bool, now: Instant) -> Heartbeat:
        """Returns the heartbeat for a host.

        Args:
            host: The host.
            near: Whether it is in the own availability zone.
            now: Present time.
        """
        catalog = self.kernel.service('catalog')
        discovery = self.kernel.service('discovery')
        vouching = self.kernel.service('vouching')
        reading = self.kernel.service('reading')
        return Heartbeat(
            self.own,
            self.members.leaving,
            self.was_in_use,
            self.hears if near else (),
            now,
            catalog.version,
            vouching.time_for(host, catalog.read_at),
            discovery.digest,
            vouching.time_for(host, discovery.own_read_at),
            reading.can_read(now),
            reading.followed_as_of(host, near and self.is_reader),
        )

    def send_server(self, news: ServerNews) -> None:
        """Tells the hosts of the own zone of a changed server."""
        for peer in self.members.live(self.own.zone, boot_time()):
            self.transport.send(peer.record.host, news)

    def send_configuration(self, configuration: IngressConfiguration) -> None:
        """Passes a new configuration on to the hosts of the own zone."""
        news = ConfigurationNews(configuration)
        for peer in self.members.live(self.own.zone, boot_time()):
            self.transport.send(peer.record.host, news)

    def send_report(self, now: Instant) -> None:
        """Sends evidence; failures at once, the rest now and then."""
        health = self.kernel.service('health')
        self.reports += 1
        urgent = any(
            item.outcome is not Outcome.SUCCESS
            for item in health.unsent_findings
        )
        if not urgent and self.reports % CALM_REPORTS:
            return
        in_flight = dict(self.kernel.service('balance').in_flight)
        news = tuple(health.take_evidence(now))
        if not news and in_flight == self.reported:
            return
        self.reported = in_flight
        report = Report(news, in_flight)
        for record in self.members.other_hosts_in_use(now):
            self.transport.send(record.host, report)

    def send_suspicion(self, suspicion: CrashSuspected) -> None:
        """Tells the hosts in use that a request may crash servers."""
        for record in self.members.other_hosts_in_use(boot_time()):
            self.transport.send(record.host, suspicion)
