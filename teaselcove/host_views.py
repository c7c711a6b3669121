"""What a host knows of each other host from heartbeats."""

import random

import msgspec

from teaselcove.heartbeats import (
    Introduction,
    RecentEntry,
    entry_tag,
    is_newer,
)
from teaselcove.ids import HostId, Incarnation, Instant

# The generation of an incarnation known from the list only: any wins over it.
LISTED_GENERATION = -1


class HostView(msgspec.Struct):
    """What is known of a listed host.

    Attributes:
        generation: Orders the incarnations of the host.
        counter: Latest counter modulo `COUNTER_SPAN`, or None.
        heard_at: When a new counter arrived, directly or through a peer.
        known_since: When the host was listed or changed its incarnation.
        corrected_at: When the host was told that an earlier one is known.
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
        by_tag: Hosts by the tag of their present incarnation.
        heard_at: When any host was heard last.
    """

    def __init__(self) -> None:
        self.by_host: dict[HostId, HostView] = {}
        self.by_tag: dict[int, HostId] = {}
        self.heard_at: Instant | None = None

    def note(self, entry: RecentEntry, now: Instant) -> None:
        """Notes that a host was alive, if its counter is new."""
        host = self.by_tag.get(entry.tag)
        if host is None:
            return
        view = self.by_host[host]
        if is_newer(entry.counter, view.counter):
            view.counter = entry.counter
            view.leaving = entry.leaving
            view.heard_at = now
            self.heard_at = now

    def learn(
        self, host: HostId, incarnation: Incarnation, now: Instant
    ) -> None:
        """Starts a view of a host."""
        self.by_host[host] = HostView(incarnation, now)
        self.by_tag[entry_tag(host, incarnation)] = host

    def forget(self, host: HostId) -> None:
        """Drops the view of a host."""
        view = self.by_host.pop(host)
        self.by_tag.pop(entry_tag(host, view.incarnation), None)

    def entry(self, host: HostId) -> RecentEntry:
        """Returns the news of a host that was heard."""
        view = self.by_host[host]
        tag = entry_tag(host, view.incarnation)
        return RecentEntry(tag, view.counter or 0, view.leaving)

    def introduction(
        self, known: list[HostId], generator: random.Random
    ) -> Introduction | None:
        """Returns the incarnation of a known host, chosen at random."""
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
        """Returns the hosts that were heard from a time on."""
        return [
            host
            for host, view in self.by_host.items()
            if view.heard_at is not None and view.heard_at >= since
        ]
