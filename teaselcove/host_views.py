"""State of the other hosts, as known from heartbeats."""

import random

import msgspec

from teaselcove.heartbeats import (
    Introduction,
    RecentEntry,
    entry_tag,
    is_newer,
)
from teaselcove.ids import HostId, Incarnation, Instant

# Generation of an incarnation that is known only from the host list; every
# generation in a heartbeat is higher.
LISTED_GENERATION = -1


class HostView(msgspec.Struct):
    """Known state of a listed host.

    Attributes:
        generation: Orders the incarnations of the host.
        counter: Latest counter modulo `COUNTER_SPAN`, or None.
        heard_at: When a new counter last arrived, directly or via a peer.
        known_since: When the host was listed or changed its incarnation.
        corrected_at: When a correction was last sent to the host.
    """

    incarnation: Incarnation
    known_since: Instant
    generation: int = LISTED_GENERATION
    counter: int | None = None
    heard_at: Instant | None = None
    leaving: bool = False
    corrected_at: Instant | None = None


class HostViews:
    """Views of the listed hosts other than this one.

    Attributes:
        by_host: The view of each host.
        by_tag: Hosts by the tag of their current incarnation.
        heard_at: When a new counter of any host last arrived.
    """

    def __init__(self) -> None:
        self.by_host: dict[HostId, HostView] = {}
        self.by_tag: dict[int, HostId] = {}
        self.heard_at: Instant | None = None

    def record_entry(self, entry: RecentEntry, now: Instant) -> None:
        """Updates the view of a host if the counter is new."""
        host = self.by_tag.get(entry.tag)
        if host is None:
            return
        view = self.by_host[host]
        if is_newer(entry.counter, view.counter):
            view.counter = entry.counter
            view.leaving = entry.leaving
            view.heard_at = now
            self.heard_at = now

    def add(self, host: HostId, incarnation: Incarnation, now: Instant) -> None:
        """Adds the view of a host."""
        self.by_host[host] = HostView(incarnation, now)
        self.by_tag[entry_tag(host, incarnation)] = host

    def remove(self, host: HostId) -> None:
        """Removes the view of a host."""
        view = self.by_host.pop(host)
        self.by_tag.pop(entry_tag(host, view.incarnation), None)

    def entry(self, host: HostId) -> RecentEntry:
        """Returns the entry of a host for a heartbeat."""
        view = self.by_host[host]
        tag = entry_tag(host, view.incarnation)
        return RecentEntry(tag, view.counter or 0, view.leaving)

    def random_introduction(
        self, known: list[HostId], generator: random.Random
    ) -> Introduction | None:
        """Returns the introduction of a random host with a known generation."""
        named = [
            host
            for host in known
            if self.by_host[host].generation != LISTED_GENERATION
        ]
        if not named:
            return None
        host = generator.choice(named)
        view = self.by_host[host]
        return Introduction(host, view.incarnation, view.generation)

    def heard_since(self, since: float) -> list[HostId]:
        """Returns the hosts with a new counter since a time."""
        return [
            host
            for host, view in self.by_host.items()
            if view.heard_at is not None and view.heard_at >= since
        ]
