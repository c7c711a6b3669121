"""Messages between the hosts: heartbeats, evidence and changes in the store."""

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

# Seconds between reports of evidence. Until a report arrives, each request that
# may run only once and reaches a failing server is lost.
REPORT_INTERVAL_S = 0.1
# Without failures, only every fourth report is sent: successes and numbers of
# attempts in flight are less urgent.
SUCCESS_REPORT_EVERY = 4
# Hosts in use in other availability zones get every second heartbeat.
OTHER_ZONE_HEARTBEAT_EVERY = 2
# All hosts of other availability zones get every tenth heartbeat, from which
# they learn which hosts are in use.
ANNOUNCEMENT_EVERY = 10
# Heartbeats to all hosts after this host has entered or left use. The first
# message to a host is lost, because its connection is still being opened.
ANNOUNCEMENTS_ON_CHANGE = 4
# Seconds after which the attempts in flight that a host has reported are
# dropped.
REPORT_LIFETIME_S = 1.5


class PeerLoad(msgspec.Struct):
    """Holds another host's attempts in flight by server."""

    in_flight: dict[BackendServerId, int]
    reported_at: Instant


class Gossip:
    """Exchanges messages with the other hosts.

    Attributes:
        on_newer_version: Called when another host has a newer configuration.
        announcements_left: Number of heartbeats still to be sent to all hosts.
        live_hosts: Hosts of the zone that were live at the last heartbeat.
        is_reader: Whether this host was the reader of its zone then.
    """

    def __init__(
        self, kernel: Kernel, own: HostRecord, settings: HostSettings
    ) -> None:
        self.kernel = kernel
        self.members = kernel.service('members')
        self.on_newer_version: Callable[[], None] = lambda: None
        self.own = own
        self.heartbeat_count = 0
        self.report_count = 0
        self.was_in_use = False
        self.live_hosts: tuple[HostId, ...] = ()
        self.is_reader = False
        self.announcements_left = 0
        self.last_reported: dict[BackendServerId, int] = {}
        self.peer_loads: dict[HostId, PeerLoad] = {}
        self.transport = Transport(
            settings, Incarnation(own.started_ms), self.receive
        )
        self.tokens = TokenExchange(kernel, self.transport.send)
        self.handlers: dict[type, Callable[..., None]] = {
            Heartbeat: self.handle_heartbeat,
            Report: self.handle_report,
            ServerNews: self.handle_server_news,
            ConfigurationNews: self.handle_configuration_news,
            TokensWanted: self.tokens.handle_tokens_wanted,
            TokensGiven: self.tokens.handle_tokens_given,
            CrashSuspected: self.handle_suspicion,
        }

    def update_addresses(self) -> None:
        """Passes the addresses of all hosts to the transport."""
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
        """Dispatches a message from another host to its handler."""
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

    def handle_suspicion(
        self, sender: HostId, suspicion: CrashSuspected, now: Instant
    ) -> None:
        """Records that a request of another host may have crashed a server."""
        self.record_suspicion(suspicion, now)

    def record_suspicion(self, suspicion: CrashSuspected, now: Instant) -> None:
        """Records a suspected crash and blocks the request after several."""
        crashes = self.kernel.service('acceptance').crashes
        if crashes.record_crash(suspicion.digest, suspicion.server, now):
            crashes.block(suspicion.digest, Instant(now + BLOCKED_S))
            self.kernel.decide(
                'request-blocked',
                digest=suspicion.digest.hex(),
                seconds=BLOCKED_S,
            )

    def handle_heartbeat(
        self, sender: HostId, heartbeat: Heartbeat, now: Instant
    ) -> None:
        """Records a heartbeat and applies what it confirms."""
        known = self.members.peers.get(heartbeat.record.host)
        renewed = known is None or known.record != heartbeat.record
        was_in_use = known is not None and known.is_in_use
        appeared = self.members.record_heartbeat(
            heartbeat.record,
            heartbeat.leaving,
            heartbeat.in_use,
            frozenset(heartbeat.live_hosts),
            now,
            heartbeat.can_read,
        )
        self.kernel.service('vouching').record_heartbeat(
            heartbeat.record.host, heartbeat.sent_at, now
        )
        self.apply_confirmations(heartbeat, now)
        if renewed:
            self.update_addresses()
        if appeared:
            log.info(
                'host-heard', extra={'figures': {'peer': heartbeat.record.host}}
            )
        if (
            heartbeat.in_use
            and self.was_in_use
            and (appeared or not was_in_use)
        ):
            self.send_evidence(heartbeat.record.host, now)

    def send_evidence(self, host: HostId, now: Instant) -> None:
        """Sends the health of the servers to a host that has entered use."""
        evidence = tuple(self.kernel.service('health').current_evidence(now))
        self.transport.send(host, Report(evidence, self.last_reported))

    def apply_confirmations(self, heartbeat: Heartbeat, now: Instant) -> None:
        """Applies the times as of which the sender confirms shared state."""
        catalog = self.kernel.service('catalog')
        if heartbeat.version > catalog.version:
            self.on_newer_version()
        if (
            heartbeat.keys_as_of is not None
            and heartbeat.version == catalog.version
        ):
            catalog.confirm(min(heartbeat.keys_as_of, now))
        discovery = self.kernel.service('discovery')
        known = heartbeat.servers_as_of is not None
        if known and heartbeat.servers == discovery.digest:
            discovery.confirm(min(heartbeat.servers_as_of, now))
        if heartbeat.followed_as_of is not None:
            reading = self.kernel.service('reading')
            reading.record_followed(min(heartbeat.followed_as_of, now))

    def handle_server_news(
        self, sender: HostId, news: ServerNews, now: Instant
    ) -> None:
        """Applies a changed entry of a backend server."""
        discovery = self.kernel.service('discovery')
        if news.entry is None:
            discovery.remove(news.server, news.offset, now)
        else:
            discovery.update(news.entry, news.offset, now)

    def handle_configuration_news(
        self, sender: HostId, news: ConfigurationNews, now: Instant
    ) -> None:
        """Applies a configuration that another host has read."""
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

    def handle_report(
        self, sender: HostId, report: Report, now: Instant
    ) -> None:
        """Applies evidence and records the sender's attempts in flight."""
        health = self.kernel.service('health')
        for evidence in report.evidence:
            health.record_finding(evidence.finding(now), now)
        self.peer_loads[sender] = PeerLoad(report.in_flight, now)
        self.sum_peer_loads(now)

    def sum_peer_loads(self, now: Instant) -> None:
        """Sums the attempts in flight of the other hosts by server."""
        total: dict[BackendServerId, int] = {}
        for host, load in tuple(self.peer_loads.items()):
            if now - load.reported_at > REPORT_LIFETIME_S:
                self.peer_loads.pop(host)
                continue
            for server, count in load.in_flight.items():
                total[server] = total.get(server, 0) + count
        self.kernel.service('balance').remote_in_flight = total

    async def run(self) -> None:
        """Sends heartbeats and reports until cancelled."""
        ticks_per_heartbeat = round(HEARTBEAT_INTERVAL_S / REPORT_INTERVAL_S)
        tick = 0
        while True:
            now = boot_time()
            if self.members.tick(now):
                log.warning('paused')
            if tick % ticks_per_heartbeat == 0:
                self.send_heartbeats(now)
            self.kernel.service('health').check_overdue(now)
            self.send_report(now)
            tick += 1
            serving = self.was_in_use or bool(self.last_reported)
            pause = REPORT_INTERVAL_S
            if not serving:
                # Hosts that are not in use have nothing to report.
                pause = HEARTBEAT_INTERVAL_S
                tick = 0
            await asyncio.sleep(pause)

    def send_heartbeats(self, now: Instant) -> None:
        """Sends a heartbeat to the hosts that are due for one."""
        in_use = self.members.is_in_use(now)
        if in_use != self.was_in_use:
            self.kernel.decide('in-use', in_use=in_use)
            self.announcements_left = ANNOUNCEMENTS_ON_CHANGE
        announce = (
            self.announcements_left > 0
            or self.heartbeat_count % ANNOUNCEMENT_EVERY == 0
        )
        self.announcements_left = max(0, self.announcements_left - 1)
        self.was_in_use = in_use
        self.is_reader = self.kernel.service('reading').is_reader(now)
        self.live_hosts = tuple(self.members.live_hosts(now))
        same_zone = [
            host
            for host, peer in self.members.peers.items()
            if peer.record.zone == self.own.zone
        ]
        for host in same_zone:
            self.transport.send(host, self.build_heartbeat(host, True, now))
        if in_use:
            for recipient in self.other_zone_recipients(announce, now):
                self.transport.send(
                    recipient, self.build_heartbeat(recipient, False, now)
                )
        self.heartbeat_count += 1

    def other_zone_recipients(
        self, announce: bool, now: Instant
    ) -> list[HostId]:
        """Returns the hosts of other zones that are due for a heartbeat."""
        if announce:
            hosts = self.members.peers.values()
            records = [peer.record for peer in hosts]
        elif self.heartbeat_count % OTHER_ZONE_HEARTBEAT_EVERY:
            records = []
        else:
            records = self.members.other_hosts_in_use(now)
        return [
            record.host for record in records if record.zone != self.own.zone
        ]

    def build_heartbeat(
        self, host: HostId, same_zone: bool, now: Instant
    ) -> Heartbeat:
        """Builds the heartbeat for a host.

        Args:
            host: The recipient.
            same_zone: Whether the recipient is in this availability zone.
            now: Current time.
        """
        catalog = self.kernel.service('catalog')
        discovery = self.kernel.service('discovery')
        vouching = self.kernel.service('vouching')
        reading = self.kernel.service('reading')
        return Heartbeat(
            self.own,
            self.members.leaving,
            self.was_in_use,
            self.live_hosts if same_zone else (),
            now,
            catalog.version,
            vouching.as_of_time(host, catalog.own_read_at),
            discovery.digest,
            vouching.as_of_time(host, discovery.own_read_at),
            reading.can_read(now),
            reading.followed_as_of(host, same_zone and self.is_reader),
        )

    def send_server(self, news: ServerNews) -> None:
        """Sends a changed entry of a server to the hosts of this zone."""
        for peer in self.members.live(self.own.zone, boot_time()):
            self.transport.send(peer.record.host, news)

    def send_configuration(self, configuration: IngressConfiguration) -> None:
        """Sends a new configuration to the hosts of this zone."""
        news = ConfigurationNews(configuration)
        for peer in self.members.live(self.own.zone, boot_time()):
            self.transport.send(peer.record.host, news)

    def send_report(self, now: Instant) -> None:
        """Sends evidence to the hosts in use, failures without delay."""
        health = self.kernel.service('health')
        self.report_count += 1
        urgent = any(
            item.outcome is not Outcome.SUCCESS
            for item in health.unsent_findings
        )
        if not urgent and self.report_count % SUCCESS_REPORT_EVERY:
            return
        in_flight = dict(self.kernel.service('balance').in_flight)
        news = tuple(health.take_evidence(now))
        if not news and in_flight == self.last_reported:
            return
        self.last_reported = in_flight
        report = Report(news, in_flight)
        for record in self.members.other_hosts_in_use(now):
            self.transport.send(record.host, report)

    def send_suspicion(self, suspicion: CrashSuspected) -> None:
        """Sends a suspected crash to the hosts in use."""
        for record in self.members.other_hosts_in_use(boot_time()):
            self.transport.send(record.host, suspicion)
