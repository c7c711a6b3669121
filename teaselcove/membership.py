"""Hosts of the fleet, from the platform's list and from heartbeats.

The list alone decides which hosts exist. Heartbeats only tell which of them
run, whether they drain, and which incarnation each of them has.

Incarnations are random, so a heartbeat carries a generation beside, which
orders the incarnations of a host. A process starts with generation 0. A host
that knows another incarnation with the same or a higher generation keeps it
and tells the process, which then raises its own generation above. Only the
process that holds the host's address can do so, hence a late message of an
earlier process never wins for longer than a round trip. Clocks are not used:
two processes of a host may run on machines whose clocks differ.
"""

import itertools

from teaselcove.effects import ReadHosts, Send
from teaselcove.events import (
    DrainRequested,
    HostEntry,
    HostsListed,
    HostState,
    PauseDetected,
    PeerMessageReceived,
)
from teaselcove.heartbeats import (
    COUNTER_SPAN,
    HEARTBEAT_INTERVAL_S,
    RECENT_ENTRIES,
    Heartbeat,
    Introduction,
    PeerGraph,
    RecentEntry,
    entry_tag,
    pack_entries,
    unpack_entries,
)
from teaselcove.host_views import HostView, HostViews
from teaselcove.ids import HostId, Incarnation, Instant
from teaselcove.kernel import Kernel, on, services

INCARNATION_BITS = 63
SUSPICION_LIMIT_S = 3
# Up to this many hosts, the entries of all heartbeats received in a second
# name each host at least once; beyond it the limit grows with the fleet.
SUSPICION_HOSTS = 128
# Messages that waited in sockets during a pause are handled within this time
# after it; they say nothing about the present.
BACKLOG_S = 1


@services.register('membership')
class Membership:
    """The hosts that this host knows.

    Attributes:
        incarnation: Random number that tells restarts apart.
        generation: Orders the incarnations of this host.
        hosts: Entries of the platform's list.
        views: What heartbeats say about the other listed hosts.
        resumed_at: When the last pause ended, or the start.
        draining: Whether this host is leaving.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.incarnation = Incarnation(
            kernel.random.getrandbits(INCARNATION_BITS)
        )
        self.generation = 0
        self.counter = 0
        self.hosts: dict[HostId, HostEntry] = {}
        self.views = HostViews()
        self.peers = [HostId(peer) for peer in kernel.settings.peers]
        self.resumed_at = Instant(0)
        self.trusted_from = Instant(0)
        self.draining = False

    @property
    def host(self) -> HostId:
        """The id of this host."""
        return self.kernel.settings.host

    def start(self, now: Instant) -> None:
        """Starts to read the list and to send heartbeats at intervals."""
        self.resumed_at = now
        self.read_list(now)
        # Hosts that start together spread their heartbeats over an interval.
        spread = self.kernel.random.random() * HEARTBEAT_INTERVAL_S
        self.kernel.call_at(Instant(now + spread), self.beat)

    def read_list(self, now: Instant) -> None:
        """Asks for the platform's list of hosts."""
        self.kernel.emit(ReadHosts())
        interval = self.kernel.settings.list_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_list)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Takes over the platform's list and chooses the peers."""
        listed = {entry.host: entry for entry in event.hosts}
        changed = listed.keys() != self.hosts.keys()
        self.hosts = listed
        if not changed:
            return
        self.peers = PeerGraph(listed).peers(self.host)
        for host in self.views.by_host.keys() - listed.keys():
            self.views.forget(host)
        for host in sorted(listed.keys() - self.views.by_host.keys()):
            if host != self.host:
                self.views.learn(host, listed[host].incarnation, now)

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Starts to leave and tells the peers at once."""
        self.draining = True
        self.send_heartbeats(now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Distrusts the view from before the pause.

        No host is suspected for its silence during the pause, and no host
        counts as heard until the waiting messages are handled.
        """
        self.resumed_at = now
        self.trusted_from = Instant(now + BACKLOG_S)

    @on(PeerMessageReceived)
    def peer_message_received(
        self, event: PeerMessageReceived, now: Instant
    ) -> None:
        """Takes over the news of a heartbeat from a listed host."""
        beat = event.message
        if (
            not isinstance(beat, Heartbeat)
            or event.sender not in self.views.by_host
        ):
            return
        introduced = Introduction(
            event.sender, event.incarnation, beat.generation
        )
        if not self.introduce(introduced, now):
            return
        entry = RecentEntry(
            entry_tag(event.sender, event.incarnation),
            beat.counter % COUNTER_SPAN,
            beat.leaving,
        )
        if beat.introduction is not None:
            self.introduce(beat.introduction, now)
        for news in (entry, *unpack_entries(beat.recent)):
            self.views.note(news, now)

    def introduce(self, introduced: Introduction, now: Instant) -> bool:
        """Takes over the incarnation of a host unless a later one is known.

        Returns:
            Whether it is now the known one.
        """
        if introduced.host == self.host:
            self.assert_incarnation(introduced, now)
            return False
        view = self.views.by_host.get(introduced.host)
        if view is None:
            return False
        if introduced.incarnation == view.incarnation:
            view.generation = max(view.generation, introduced.generation)
            return True
        if introduced.generation > view.generation:
            self.views.forget(introduced.host)
            self.views.learn(introduced.host, introduced.incarnation, now)
            self.views.by_host[
                introduced.host
            ].generation = introduced.generation
            return True
        self.correct(introduced.host, view, now)
        return False

    def assert_incarnation(
        self, introduced: Introduction, now: Instant
    ) -> None:
        """Raises the generation above that of an earlier process."""
        other = introduced.incarnation != self.incarnation
        if other and introduced.generation >= self.generation:
            self.generation = introduced.generation + 1
            self.send_heartbeats(now)

    def correct(self, host: HostId, view: HostView, now: Instant) -> None:
        """Tells a host which of its incarnations is known here."""
        last = view.corrected_at
        if last is None or now - last >= HEARTBEAT_INTERVAL_S:
            view.corrected_at = now
            known = Introduction(host, view.incarnation, view.generation)
            self.kernel.emit(Send(host, self.heartbeat((), known)))

    def beat(self, now: Instant) -> None:
        """Sends heartbeats at intervals."""
        self.send_heartbeats(now)
        self.kernel.call_at(Instant(now + HEARTBEAT_INTERVAL_S), self.beat)

    def send_heartbeats(self, now: Instant) -> None:
        """Sends each peer a heartbeat with other entries."""
        self.counter += 1
        known = self.views.heard_since(now - self.suspicion_limit())
        # Peers get consecutive parts of a shuffled list, so that each host
        # is named about equally often.
        self.kernel.random.shuffle(known)
        entries = itertools.cycle(known)
        count = min(RECENT_ENTRIES, len(known))
        for peer in self.peers:
            chosen = list(itertools.islice(entries, count))
            named = self.views.introduction(known, self.kernel.random)
            self.kernel.emit(Send(peer, self.heartbeat(chosen, named)))

    def heartbeat(
        self, chosen: list[HostId] | tuple[()], known: Introduction | None
    ) -> Heartbeat:
        """Returns a heartbeat with entries of some hosts."""
        configuration = self.kernel.service('configuration')
        return Heartbeat(
            self.counter,
            configuration.version,
            getattr(configuration, 'digest', 0),
            self.generation,
            self.draining,
            len(self.kernel.service('requests').states),
            pack_entries(self.views.entry(host) for host in chosen),
            known,
        )

    def suspicion_limit(self) -> float:
        """Returns the seconds of silence after which a host is suspected."""
        return SUSPICION_LIMIT_S * max(1, len(self.hosts) / SUSPICION_HOSTS)

    def is_suspected(self, host: HostId, now: Instant) -> bool:
        """Returns whether a listed host seems not to run.

        A host that hears nobody suspects nobody: its own network is at fault.
        """
        view = self.views.by_host.get(host)
        heard_at = self.views.heard_at
        if view is None or heard_at is None:
            return False
        limit = self.suspicion_limit()
        if now - heard_at > limit or now - self.resumed_at <= limit:
            return False
        return now - (view.heard_at or view.known_since) > limit

    def has_heard_majority(self, now: Instant, limit: float) -> bool:
        """Returns whether most listed hosts were heard of lately.

        Args:
            now: Present time.
            limit: Seconds that count as lately.
        """
        since = max(now - limit, self.trusted_from)
        heard = len(self.views.heard_since(since))
        heard += self.host in self.hosts
        return heard * 2 > len(self.hosts)

    def incarnation_of(self, host: HostId) -> Incarnation | None:
        """Returns the latest known incarnation of a listed host, or None."""
        if host == self.host:
            return self.incarnation
        view = self.views.by_host.get(host)
        return view.incarnation or None if view else None

    def usable_hosts(self, now: Instant) -> list[HostEntry]:
        """Returns the live hosts that are not suspected, by host id."""
        return [
            self.hosts[host]
            for host in sorted(self.hosts)
            if not self.is_leaving(host) and not self.is_suspected(host, now)
        ]

    def is_leaving(self, host: HostId) -> bool:
        """Returns whether a listed host drains, by the list or itself."""
        if self.hosts[host].state is HostState.LEAVING:
            return True
        if host == self.host:
            return self.draining
        return self.views.by_host[host].leaving
