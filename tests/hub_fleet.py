"""Hosts that exchange heartbeats over a simulated network."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.heartbeat_exchange import HeartbeatExchange
from teaselcove.ingress.members import HEARTBEAT_INTERVAL_S
from teaselcove.kernel import Kernel
from teaselcove.messages import encode
from tests.ingress_support import ZONES, host_record, make_kernel

DELAY_S = 0.002
# Seconds within which all hosts of a fleet start.
START_SPREAD_S = 0.3


class SimulatedHost:
    """A host with its real membership decisions.

    Attributes:
        frozen_until: Until when it neither runs nor reads.
    """

    def __init__(self, kernel: Kernel, record: HostRecord) -> None:
        self.kernel = kernel
        self.record = record
        self.alive = True
        self.frozen_until = float(0)
        self.exchange: HeartbeatExchange | None = None


class HubFleet:
    """Delivers heartbeats with losses, cuts, freezes and deaths.

    Attributes:
        cut: Pairs of sender and recipient between which messages are lost.
        loss: Share of messages that are lost.
        sent: Number of messages by sender.
        received: Number of messages by recipient.
        sent_bytes: Bytes by sender.
    """

    def __init__(
        self, hosts_per_zone: int, seed: int, zones: tuple[str, ...] = ZONES
    ) -> None:
        self.random = random.Random(seed)
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.now = float(0)
        self.cut: set[tuple[HostId, HostId]] = set()
        self.loss = float(0)
        self.zones = zones
        self.sent: Counter[HostId] = Counter()
        self.received: Counter[HostId] = Counter()
        self.sent_bytes: Counter[HostId] = Counter()
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.records = [
            host_record(f'host-{zone}-{index}', zone)
            for zone in zones
            for index in range(hosts_per_zone)
        ]
        for record in self.records:
            self.start(record, self.random.random() * START_SPREAD_S)

    def start(self, record: HostRecord, when: float) -> None:
        """Starts a host that finds the records of all others in the store."""
        kernel = make_kernel(record.host, record.zone, zones=self.zones)
        kernel.decide = self.ignore
        kernel.service('reading').record_answer(Instant(float('inf')))
        members = kernel.service('members')
        members.start(record, Instant(when))
        for other in self.records:
            members.add_host(other)
        host = SimulatedHost(kernel, record)
        host.exchange = HeartbeatExchange(
            kernel,
            record,
            partial(self.send, host),
            self.ignore,
            self.ignore,
        )
        self.hosts[record.host] = host
        self.at(when, partial(self.tick, host))

    def ignore(self, *args: Any, **figures: Any) -> None:
        """Discards a call-back."""

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def run(self, until: float) -> None:
        """Runs all actions until a time."""
        while self.events and self.events[0][0] <= until:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[-1]()
        self.now = until

    def tick(self, host: SimulatedHost) -> None:
        """Sends the heartbeats of a host, unless it is frozen."""
        if not host.alive:
            return
        if self.now < host.frozen_until:
            self.at(host.frozen_until, partial(self.tick, host))
            return
        now = Instant(self.now)
        host.kernel.service('members').tick(now)
        host.exchange.send_heartbeats(now)
        self.at(self.now + HEARTBEAT_INTERVAL_S, partial(self.tick, host))

    def send(self, host: SimulatedHost, recipient: HostId, body: Any) -> None:
        """Delivers a message after a delay, or loses it."""
        sender = host.record.host
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(encode(body))
        is_cut = (sender, recipient) in self.cut
        if is_cut or self.random.random() < self.loss:
            return
        self.at(
            self.now + DELAY_S, partial(self.deliver, sender, recipient, body)
        )

    def deliver(self, sender: HostId, recipient: HostId, body: Any) -> None:
        """Hands a message to its recipient."""
        host = self.hosts.get(recipient)
        if host is None or not host.alive:
            return
        if self.now < host.frozen_until:
            self.at(
                host.frozen_until,
                partial(self.deliver, sender, recipient, body),
            )
            return
        self.received[recipient] += 1
        host.exchange.handle_heartbeat(sender, body, Instant(self.now))

    def live(self, zone: str) -> list[SimulatedHost]:
        """Returns the hosts of a zone that run."""
        return [
            host
            for host in self.hosts.values()
            if host.alive
            and self.now >= host.frozen_until
            and host.record.zone == zone
        ]

    def named_in_use(self, zone: str) -> set[tuple[HostId, ...]]:
        """Returns the different answers of a zone's hosts to callers."""
        now = Instant(self.now)
        return {
            tuple(
                record.host
                for record in host.kernel.service('hubs').in_use(now)
            )
            for host in self.live(zone)
        }

    def hubs(self, zone: str) -> list[SimulatedHost]:
        """Returns the hosts of a zone that act as its hubs."""
        return [host for host in self.live(zone) if host.exchange.is_hub]

    def is_in_use(self, host: HostId) -> bool:
        """Returns whether a host considers itself in use."""
        hubs = self.hosts[host].kernel.service('hubs')
        return hubs.is_in_use(Instant(self.now))

    def reset_counters(self) -> None:
        """Starts to count messages anew."""
        for counter in (self.sent, self.received, self.sent_bytes):
            counter.clear()


def restarted(record: HostRecord, started_ms: int) -> HostRecord:
    """Returns the record of a host after a restart of its process."""
    return msgspec.structs.replace(record, started_ms=started_ms)
