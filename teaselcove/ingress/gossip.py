"""Messages between the hosts: heartbeats and what requests have shown."""

import asyncio
import logging

import msgspec

from teaselcove.crashes import CrashSuspected
from teaselcove.events import HostEntry, HostsListed, PeerMessageReceived
from teaselcove.ids import BackendServerId, HostId, Incarnation, Instant
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.health import Evidence
from teaselcove.ingress.members import HEARTBEAT_INTERVAL_S
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
    """

    record: HostRecord
    leaving: bool
    in_use: bool
    hears: tuple[HostId, ...]


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
    """Exchanges messages with the other hosts."""

    def __init__(
        self, kernel: Kernel, own: HostRecord, settings: HostSettings
    ) -> None:
        self.kernel = kernel
        self.own = own
        self.beats = 0
        self.reports = 0
        self.was_in_use = False
        self.reported: dict[BackendServerId, int] = {}
        self.loads: dict[HostId, PeerLoad] = {}
        self.transport = Transport(
            settings, Incarnation(own.started_ms), self.receive
        )

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
        if renewed:
            self.update_addresses()
        if appeared:
            log.info(
                'host-heard', extra={'figures': {'peer': beat.record.host}}
            )

    def take_report(
        self, sender: HostId, report: Report, now: Instant
    ) -> None:
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
        near = Heartbeat(self.own, members.leaving, in_use, hears)
        far = Heartbeat(self.own, members.leaving, in_use, ())
        to_far = announce or self.beats % FAR_BEATS == 0
        elsewhere = {item.host for item in members.elsewhere_in_use(now)}
        for host, peer in members.peers.items():
            if peer.record.zone == self.own.zone:
                self.transport.send(host, near)
            elif announce or (in_use and to_far and host in elsewhere):
                self.transport.send(host, far)
        self.beats += 1

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
