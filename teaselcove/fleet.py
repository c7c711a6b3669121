"""Simulates a fleet of decision cores in virtual time.

The log, the host list and the links between hosts are fakes. Methods and
attributes inject faults: cut a link in one direction, pause or crash a host,
make the log unavailable.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from teaselcove import effects as fx
from teaselcove import events as ev
from teaselcove import messages
from teaselcove.core import Kernel
from teaselcove.ids import HostId, Instant, Offset, StreamName
from teaselcove.settings import HostSettings

LOG_DELAY_S = 0.01
# Seconds until a change shows up in the host list.
LIST_LAG_S = 2
SAME_ZONE_DELAY_S = 0.0002
OTHER_ZONE_DELAY_S = 0.001


class FakeLog:
    """Append-only streams in memory.

    Attributes:
        first: Offset of the first kept record of each stream.
        available: Whether reads and appends succeed.
        lose_replies: Whether replies to appends that succeeded are lost.
        cuts: Hosts that cannot reach the log.
    """

    def __init__(self) -> None:
        self.streams: dict[StreamName, list[bytes]] = defaultdict(list)
        self.first: Counter[StreamName] = Counter()
        self.available = True
        self.lose_replies = False
        self.cuts: set[HostId] = set()

    def append(self, stream: StreamName, payload: bytes) -> Offset | None:
        """Appends a record.

        Returns:
            The offset of the record, or None if there is no reply.
        """
        if not self.available:
            return None
        records = self.streams[stream]
        records.append(payload)
        offset = Offset(self.first[stream] + len(records) - 1)
        return None if self.lose_replies else offset

    def read(
        self, stream: StreamName, offset: Offset
    ) -> ev.RecordsRead | ev.StoreFailed:
        """Returns the records from an offset on, or a failure."""
        if not self.available:
            return ev.StoreFailed(stream)
        first = self.first[stream]
        records = self.streams[stream]
        start = max(offset, first)
        found = tuple(enumerate(records[start - first :], start))
        return ev.RecordsRead(
            stream, offset, first, first + len(records), found
        )

    def truncate(self, stream: StreamName, first: Offset) -> None:
        """Drops the records before an offset, as retention does."""
        dropped = first - self.first[stream]
        self.streams[stream] = self.streams[stream][dropped:]
        self.first[stream] = first


class FleetHost(msgspec.Struct):
    """A host of the fleet.

    Attributes:
        paused_until: When a paused process resumes.
        backlog: Events that arrived during a pause.
        wake_at: Time of its entry in the heap of timers, if any.
        is_listed: Whether a running host is in the host list.
    """

    kernel: Kernel
    entry: ev.HostEntry
    paused_until: float = 0
    backlog: list[Any] = []
    wake_at: float | None = None
    is_listed: bool = True


class Fleet:
    """Hosts and links between them that share one virtual clock.

    Attributes:
        now: Current virtual time in seconds.
        listed: Versions of the host list and when they become visible.
        outcomes: Answer and refusal effects by request id.
        decisions: All decisions as (time, host, effect), if recorded.
        keep_decisions: Whether decisions are recorded.
        sent: Number of messages sent by host.
        sent_bytes: Bytes of messages sent by host.
        sent_by_tag: Number of messages sent by all hosts, by type tag.
        cuts: Links cut in one direction, as (sender, recipient).
        loss_share: Share of messages that are lost.
        duplicate_share: Share of messages that are delivered twice.
        extra_delay: Upper bound of the random delay added to messages.
        on_dial: Called with host, effect and time for each attempt.
        on_effect: Called with host, effect and time for each effect that
            the fleet doesn't carry out itself.
        zone_delay: One-way delay between availability zones in seconds.
    """

    def __init__(
        self, seed: int = 0, service_names: list[str] | None = None
    ) -> None:
        """Creates a fleet without hosts.

        Args:
            seed: Seed of all random choices.
            service_names: Services of the hosts' kernels; all by default.
        """
        self.service_names = service_names
        self.random = random.Random(seed)
        self.now = Instant(0)
        self.log = FakeLog()
        self.hosts: dict[HostId, FleetHost] = {}
        self.listed: list[tuple[float, dict[HostId, ev.HostEntry]]] = []
        self.queue: list[tuple[float, int, HostId, int, Any]] = []
        self.sequence = itertools.count()
        self.outcomes: dict[str, list[Any]] = defaultdict(list)
        self.decisions: list[tuple[float, HostId, fx.LogDecision]] = []
        self.keep_decisions = False
        self.sent: Counter[HostId] = Counter()
        self.sent_bytes: Counter[HostId] = Counter()
        self.sent_by_tag: Counter[str] = Counter()
        self.cuts: set[tuple[HostId, HostId]] = set()
        self.loss_share = float(0)
        self.duplicate_share = float(0)
        self.extra_delay = float(0)
        self.on_dial: Callable[[HostId, fx.Dial, Instant], None] | None = None
        self.on_effect: Callable[[HostId, Any, Instant], None] | None = None
        self.zone_delay = OTHER_ZONE_DELAY_S
        self.wakes: list[tuple[float, HostId]] = []

    def add_host(self, settings: HostSettings) -> Kernel:
        """Starts a host with a new incarnation."""
        kernel = Kernel(
            settings, self.random.getrandbits(32), self.service_names
        )
        incarnation = kernel.service('membership').incarnation
        entry = ev.HostEntry(
            settings.host,
            incarnation,
            settings.zone,
            f'{settings.address}:{settings.port}',
            f'{settings.address}:{settings.peer_port}',
        )
        self.hosts[settings.host] = FleetHost(kernel, entry, 0, [])
        self.publish_list()
        self.carry_out(settings.host, kernel.start(self.now))
        return kernel

    def publish_list(self) -> None:
        """Publishes the listed hosts; readers see them after the list lag."""
        entries = {
            name: host.entry
            for name, host in self.hosts.items()
            if host.is_listed
        }
        lag = LIST_LAG_S if self.listed else 0
        self.listed.append((self.now + lag, entries))

    def visible_list(self) -> tuple[ev.HostEntry, ...]:
        """Returns the host list that readers see now."""
        entries: dict[HostId, ev.HostEntry] = {}
        for visible_at, listed in self.listed:
            if visible_at <= self.now:
                entries = listed
        return tuple(entries[name] for name in sorted(entries))

    def crash(self, name: HostId) -> None:
        """Ends a host at once; the list drops it after its lag."""
        self.hosts.pop(name)
        self.publish_list()

    def pause(self, name: HostId, duration: float) -> None:
        """Pauses the process of a host for some seconds."""
        self.hosts[name].paused_until = self.now + duration
        self.schedule(name)

    def cut(self, sender: HostId, recipient: HostId) -> None:
        """Cuts the link from one host to another, in that direction only."""
        self.cuts.add((sender, recipient))

    def deliver(self, name: HostId, event: Any, delay: float = 0) -> None:
        """Schedules an event for a host after a delay."""
        host = self.hosts.get(name)
        incarnation = host.entry.incarnation if host else 0
        heapq.heappush(
            self.queue,
            (
                self.now + delay,
                next(self.sequence),
                name,
                incarnation,
                event,
            ),
        )

    def call_at(self, at: float, callback: Callable[[Instant], None]) -> None:
        """Schedules a callback of an experiment or a test."""
        entry = (at, next(self.sequence), HostId(''), 0, callback)
        heapq.heappush(self.queue, entry)

    def handle(self, name: HostId, event: Any) -> None:
        """Delivers an event to a host now, or after its pause."""
        host = self.hosts.get(name)
        if host is None:
            return
        if host.paused_until > self.now:
            host.backlog.append(event)
            return
        self.carry_out(name, host.kernel.handle(event, self.now))
        self.schedule(name)

    def schedule(self, name: HostId) -> None:
        """Adds the next wake-up of a host to the heap if it has changed."""
        host = self.hosts.get(name)
        if host is None:
            return
        deadline: float | None = host.kernel.next_deadline()
        if host.paused_until > self.now:
            deadline = host.paused_until
        elif host.backlog:
            deadline = self.now
        if deadline is not None and deadline != host.wake_at:
            heapq.heappush(self.wakes, (deadline, name))
        host.wake_at = deadline

    def run_until(self, end: float) -> None:
        """Runs events and timers up to a virtual time."""
        for known in tuple(self.hosts):
            self.schedule(known)
        while True:
            at, name = self.next_step()
            if at > end:
                break
            self.now = Instant(max(self.now, at))
            if name is None:
                self.run_next()
            else:
                self.wake(name)
        self.now = Instant(max(self.now, end))

    def run_next(self) -> None:
        """Delivers the next event, or runs the next callback."""
        target, incarnation, event = heapq.heappop(self.queue)[2:]
        if not target:
            event(self.now)
            return
        host = self.hosts.get(target)
        # A message reaches the process that has the address now; other events
        # are for one incarnation only.
        is_message = isinstance(event, ev.PeerMessageReceived)
        if host and (is_message or host.entry.incarnation == incarnation):
            self.handle(target, event)

    def next_step(self) -> tuple[float, HostId | None]:
        """Returns when the next event or timer is due.

        Returns:
            The time, and the host of the timer or None for an event.
        """
        at = self.queue[0][0] if self.queue else float('inf')
        while self.wakes:
            deadline, name = self.wakes[0]
            host = self.hosts.get(name)
            if host is not None and host.wake_at == deadline:
                return (deadline, name) if deadline < at else (at, None)
            heapq.heappop(self.wakes)
        return at, None

    def wake(self, name: HostId) -> None:
        """Handles the events that arrived in a pause, then due timers."""
        host = self.hosts[name]
        backlog = host.backlog
        host.backlog = []
        host.wake_at = None
        for event in (*backlog, ev.TimerDue()):
            self.handle(name, event)

    def carry_out(self, name: HostId, emitted: list[Any]) -> None:
        """Carries out the effects of a host."""
        for effect in emitted:
            # No effect follows the exit of a host.
            if name in self.hosts:
                self.carry_out_one(name, effect)

    def carry_out_one(self, name: HostId, effect: Any) -> None:
        """Carries out one effect."""
        match effect:
            case fx.Send():
                self.send(name, effect)
            case fx.Append():
                offset = None
                if name not in self.log.cuts:
                    offset = self.log.append(effect.stream, effect.payload)
                done = ev.AppendFinished(effect.append_id, offset)
                self.deliver(name, done, LOG_DELAY_S)
            case fx.ReadLog():
                read = ev.StoreFailed(effect.stream)
                if name not in self.log.cuts:
                    read = self.log.read(effect.stream, effect.offset)
                self.deliver(name, read, LOG_DELAY_S)
            case fx.ReadHosts():
                listed = ev.HostsListed(self.visible_list())
                self.deliver(name, listed, LOG_DELAY_S)
            case fx.Dial() if self.on_dial is not None:
                self.on_dial(name, effect, self.now)
            case _:
                self.record(name, effect)
                if self.on_effect is not None:
                    self.on_effect(name, effect, self.now)

    def record(self, name: HostId, effect: Any) -> None:
        """Records effects that tests check; crashes a host that exits."""
        if isinstance(effect, fx.Answer | fx.Refuse):
            self.outcomes[effect.request_id].append(effect)
        elif isinstance(effect, fx.LogDecision) and self.keep_decisions:
            self.decisions.append((self.now, name, effect))
        elif isinstance(effect, fx.Exit):
            self.crash(name)

    def send(self, name: HostId, effect: fx.Send) -> None:
        """Sends a message over a link that may lose or duplicate it."""
        body = messages.encode(effect.message)
        self.sent[name] += 1
        self.sent_by_tag[messages.tags[type(effect.message)]] += 1
        self.sent_bytes[name] += len(body)
        lost = self.random.random() < self.loss_share
        if lost or (name, effect.host) in self.cuts:
            return
        sender = self.hosts[name].entry
        received = ev.PeerMessageReceived(
            name, sender.incarnation, messages.decode(body)
        )
        self.deliver(effect.host, received, self.link_delay(sender, effect))
        if self.random.random() < self.duplicate_share:
            later = self.link_delay(sender, effect) + self.random.random()
            self.deliver(effect.host, received, later)

    def link_delay(self, sender: ev.HostEntry, effect: fx.Send) -> float:
        """Returns the one-way delay of a message in seconds."""
        recipient = self.hosts.get(effect.host)
        same = recipient and recipient.entry.zone == sender.zone
        delay = SAME_ZONE_DELAY_S if same else self.zone_delay
        return delay + self.random.random() * self.extra_delay
