"""Messages between the hosts: heartbeats, evidence and changes in the store."""

import asyncio
import logging
from collections import Counter
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
from teaselcove.ingress.configuration_exchange import ConfigurationExchange
from teaselcove.ingress.entities import (
    HostRecord,
    IngressConfiguration,
)
from teaselcove.ingress.findings import Outcome
from teaselcove.ingress.heartbeat_exchange import HeartbeatExchange
from teaselcove.ingress.members import HEARTBEAT_INTERVAL_S
from teaselcove.ingress.peer_messages import (
    ConfigurationNews,
    ConfigurationWanted,
    Heartbeat,
    LimitNews,
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
        heartbeats: Exchange of heartbeats, sent each half second.
    """

    def __init__(
        self, kernel: Kernel, own: HostRecord, settings: HostSettings
    ) -> None:
        self.kernel = kernel
        self.members = kernel.service('members')
        self.hubs = kernel.service('hubs')
        self.own = own
        self.report_count = 0
        self.last_reported: dict[BackendServerId, int] = {}
        self.peer_loads: dict[HostId, PeerLoad] = {}
        self.transport = Transport(
            settings, Incarnation(own.started_ms), self.receive
        )
        self.tokens = TokenExchange(kernel, self.transport.send)
        self.configurations = ConfigurationExchange(
            kernel, self.transport.send, self.send_to_relying_hosts
        )
        self.heartbeats = HeartbeatExchange(
            kernel,
            own,
            self.transport.send,
            self.update_addresses,
            self.send_evidence,
        )
        self.handlers: dict[type, Callable[..., None]] = {
            Heartbeat: self.heartbeats.handle_heartbeat,
            Report: self.handle_report,
            ServerNews: self.handle_server_news,
            LimitNews: self.handle_limit_news,
            ConfigurationNews: self.configurations.handle_news,
            ConfigurationWanted: self.configurations.handle_wanted,
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

    def sent_bytes(self) -> dict[str, int]:
        """Returns the bytes sent to other hosts as labelled counters."""
        total: Counter[str] = Counter()
        by_type = self.transport.counters.sent_bytes_by_type
        for (kind, host), count in by_type.items():
            peer = self.members.peers.get(host)
            same_zone = peer is not None and peer.record.zone == self.own.zone
            zone = 'own' if same_zone else 'other'
            labels = f'{{type="{kind}",zone="{zone}"}}'
            total[f'peer_sent_bytes{labels}'] += count
        return dict(total)

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

    def send_evidence(self, host: HostId, now: Instant) -> None:
        """Sends the health of the servers to a host that has entered use."""
        evidence = tuple(self.kernel.service('health').current_evidence(now))
        self.transport.send(host, Report(evidence, self.last_reported))
        limits = self.kernel.service('server-limits').current()
        if limits:
            self.transport.send(host, LimitNews(limits))

    def handle_server_news(
        self, sender: HostId, news: ServerNews, now: Instant
    ) -> None:
        """Applies a changed entry of a backend server."""
        if self.kernel.service('discovery').apply(news, now, sender):
            self.send_to_relying_hosts(news, now)

    def handle_limit_news(
        self, sender: HostId, news: LimitNews, now: Instant
    ) -> None:
        """Applies limits of servers and passes on those that are new."""
        limits = self.kernel.service('server-limits')
        changed = limits.record_report(news.limits, now)
        if not changed:
            return
        peer = self.members.peers.get(sender)
        if peer is not None and peer.record.zone == self.own.zone:
            self.send_to_relying_hosts(LimitNews(changed), now)
        else:
            self.send_change(LimitNews(changed), now)

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
            # The first message on a link is lost, as it is still being opened.
            joining = not self.members.knows_fleet(now)
            if joining or tick % ticks_per_heartbeat == 0:
                self.heartbeats.send_heartbeats(now)
            self.kernel.service('health').check_overdue(now)
            self.send_report(now)
            self.send_limits(now)
            tick += 1
            serving = self.heartbeats.was_in_use or bool(self.last_reported)
            pause = REPORT_INTERVAL_S
            if not (serving or joining):
                # Hosts that are not in use have nothing to report.
                pause = HEARTBEAT_INTERVAL_S
                tick = 0
            await asyncio.sleep(pause)

    def send_change(
        self, news: ServerNews | ConfigurationNews | LimitNews, now: Instant
    ) -> None:
        """Sends a change that this host has found to the hosts of its zone."""
        for record in self.hubs.current(now):
            if record != self.own:
                self.transport.send(record.host, news)
        self.send_to_relying_hosts(news, now)

    def send_to_relying_hosts(
        self, news: ServerNews | ConfigurationNews | LimitNews, now: Instant
    ) -> None:
        """Passes a change on to the hosts that rely on this one for it."""
        hubs = {record.host for record in self.hubs.current(now)}
        for host in self.members.relying_hosts(now):
            if host not in hubs:
                self.transport.send(host, news)

    def send_server(self, news: ServerNews) -> None:
        """Sends a changed entry of a server to the hosts of this zone."""
        self.send_change(news, boot_time())

    def send_configuration(self, configuration: IngressConfiguration) -> None:
        """Sends a new configuration to the hosts of this zone."""
        self.send_change(ConfigurationNews(configuration), boot_time())

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
        for record in self.hubs.other_hosts_in_use(now):
            self.transport.send(record.host, report)

    def send_limits(self, now: Instant) -> None:
        """Sends limits that servers have named to this host, or ended."""
        changes = self.kernel.service('server-limits').take_changes()
        if not changes:
            return
        news = LimitNews(changes)
        for record in self.hubs.other_hosts_in_use(now):
            if record.zone != self.own.zone:
                self.transport.send(record.host, news)
        self.send_change(news, now)

    def send_suspicion(self, suspicion: CrashSuspected) -> None:
        """Sends a suspected crash to the hosts in use."""
        for record in self.hubs.other_hosts_in_use(boot_time()):
            self.transport.send(record.host, suspicion)
