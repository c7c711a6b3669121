"""Hosts of the fleet, from the platform's list and from heartbeats.

Only the list determines which hosts exist. Heartbeats show which of them run,
whether they drain, and which incarnation each of them has.

Incarnations are random, so heartbeats also carry a generation, which orders
the incarnations of a host. A process starts with generation 0. A host that
knows another incarnation with the same or a higher generation keeps it and
sends a correction to the process, which then raises its own generation above
that one. Only the process that holds the host's address receives corrections,
hence a late message of an earlier process prevails for a round trip at most.
Clocks are not used: two processes of a host may run on machines whose clocks
differ.
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
# Seconds without a heartbeat after which a host is suspected.
SUSPICION_LIMIT_S = 3
# Up to this many hosts, the heartbeats received in a second contain each host
# at least once; in larger fleets the limit grows with the number of hosts.
SUSPICION_HOST_COUNT = 128
# Seconds after a pause in which messages that waited in sockets are handled;
# they don't prove that their senders are still alive.
BACKLOG_GRACE_S = 1


@services.register('membership')
class Membership:
    """Tracks the hosts of the fleet and exchanges heartbeats with them.

    Attributes:
        incarnation: Random number that distinguishes restarts of this host.
        generation: Orders the incarnations of this host.
        hosts: Entries of the platform's list.
        views: State of the other listed hosts, from heartbeats.
        peers: Hosts to which heartbeats are sent.
        resumed_at: When the last pause ended, or the process started.
        trusted_from: Heartbeats that arrived earlier don't count towards a
            majority.
        draining: Whether this host drains.
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
        """Starts to read the host list and to send heartbeats periodically."""
        self.resumed_at = now
        self.read_list(now)
        # Hosts that start together spread their heartbeats over an interval.
        spread = self.kernel.random.random() * HEARTBEAT_INTERVAL_S
        self.kernel.call_at(Instant(now + spread), self.heartbeat_due)

    def read_list(self, now: Instant) -> None:
        """Requests the platform's list of hosts and schedules the next read."""
        self.kernel.emit(ReadHosts())
        interval = self.kernel.settings.list_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_list)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Applies the platform's list; updates the peers if hosts changed."""
        listed = {entry.host: entry for entry in event.hosts}
        changed = listed.keys() != self.hosts.keys()
        self.hosts = listed
        if not changed:
            return
        self.peers = PeerGraph(listed).peers(self.host)
        for host in self.views.by_host.keys() - listed.keys():
            self.views.remove(host)
        for host in sorted(listed.keys() - self.views.by_host.keys()):
            if host != self.host:
                self.views.add(host, listed[host].incarnation, now)

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Starts to drain and sends heartbeats at once."""
        self.draining = True
        self.send_heartbeats(now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Ignores the evidence from before the pause.

        No host is suspected because of heartbeats missed during the pause,
        and none counts towards a majority until waiting messages are handled.
        """
        self.resumed_at = now
        self.trusted_from = Instant(now + BACKLOG_GRACE_S)

    @on(PeerMessageReceived)
    def peer_message_received(
        self, event: PeerMessageReceived, now: Instant
    ) -> None:
        """Applies a heartbeat from a listed host."""
        heartbeat = event.message
        if (
            not isinstance(heartbeat, Heartbeat)
            or event.sender not in self.views.by_host
        ):
            return
        introduced = Introduction(
            event.sender, event.incarnation, heartbeat.generation
        )
        if not self.apply_introduction(introduced, now):
            return
        entry = RecentEntry(
            entry_tag(event.sender, event.incarnation),
            heartbeat.counter % COUNTER_SPAN,
            heartbeat.leaving,
        )
        if heartbeat.introduction is not None:
            self.apply_introduction(heartbeat.introduction, now)
        for recent in (entry, *unpack_entries(heartbeat.recent)):
            self.views.record_entry(recent, now)

    def apply_introduction(
        self, introduced: Introduction, now: Instant
    ) -> bool:
        """Applies the incarnation of a host unless a later one is known.

        Returns:
            Whether it is now the known incarnation.
        """
        if introduced.host == self.host:
            self.raise_generation(introduced, now)
            return False
        view = self.views.by_host.get(introduced.host)
        if view is None:
            return False
        if introduced.incarnation == view.incarnation:
            view.generation = max(view.generation, introduced.generation)
            return True
        if introduced.generation > view.generation:
            self.views.remove(introduced.host)
            self.views.add(introduced.host, introduced.incarnation, now)
            self.views.by_host[
                introduced.host
            ].generation = introduced.generation
            return True
        self.send_correction(introduced.host, view, now)
        return False

    def raise_generation(self, introduced: Introduction, now: Instant) -> None:
        """Raises the generation above that of an earlier process."""
        other = introduced.incarnation != self.incarnation
        if other and introduced.generation >= self.generation:
            self.generation = introduced.generation + 1
            self.send_heartbeats(now)

    def send_correction(
        self, host: HostId, view: HostView, now: Instant
    ) -> None:
        """Sends a host the incarnation that this host knows of it."""
        last = view.corrected_at
        if last is None or now - last >= HEARTBEAT_INTERVAL_S:
            view.corrected_at = now
            known = Introduction(host, view.incarnation, view.generation)
            self.kernel.emit(Send(host, self.build_heartbeat((), known)))

    def heartbeat_due(self, now: Instant) -> None:
        """Sends heartbeats and schedules the next ones."""
        self.send_heartbeats(now)
        self.kernel.call_at(
            Instant(now + HEARTBEAT_INTERVAL_S), self.heartbeat_due
        )

    def send_heartbeats(self, now: Instant) -> None:
        """Sends each peer a heartbeat with different entries."""
        self.counter += 1
        known = self.views.heard_since(now - self.suspicion_limit())
        # Peers get consecutive parts of a shuffled list, so that each host
        # is included about equally often.
        self.kernel.random.shuffle(known)
        entries = itertools.cycle(known)
        count = min(RECENT_ENTRIES, len(known))
        for peer in self.peers:
            chosen = list(itertools.islice(entries, count))
            named = self.views.random_introduction(known, self.kernel.random)
            self.kernel.emit(Send(peer, self.build_heartbeat(chosen, named)))

    def build_heartbeat(
        self, chosen: list[HostId] | tuple[()], known: Introduction | None
    ) -> Heartbeat:
        """Builds a heartbeat with entries of some hosts."""
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
        """Returns the seconds without heartbeats until a host is suspected."""
        return SUSPICION_LIMIT_S * max(
            1, len(self.hosts) / SUSPICION_HOST_COUNT
        )

    def is_suspected(self, host: HostId, now: Instant) -> bool:
        """Returns whether a listed host appears to be down.

        A host that receives no heartbeats at all suspects no other host, as
        its own network is at fault.
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
        """Returns whether most listed hosts were alive recently.

        Args:
            now: Current time.
            limit: Seconds that count as recent.
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
        """Returns whether the list or the host itself says that it drains."""
        if self.hosts[host].state is HostState.LEAVING:
            return True
        if host == self.host:
            return self.draining
        return self.views.by_host[host].leaving
