"""Proposals of new owners for slices, written to the stream `ownership`."""

import uuid

import msgspec

from teaselcove.allocation import Allocator, misplaced
from teaselcove.effects import Append
from teaselcove.events import (
    AppendFinished,
    DrainRequested,
    HostEntry,
    HostsListed,
    HostState,
    PauseDetected,
    PeerMessageReceived,
)
from teaselcove.ids import AppendId, HostId, Incarnation, Instant, Offset
from teaselcove.kernel import Kernel, on, services
from teaselcove.ownership import STREAM, Ownership
from teaselcove.placement import rendezvous_score
from teaselcove.slices import NO_HOST, OwnerChange, OwnerKey, OwnershipRecord

# The platform may show a host this long after it is gone, and may miss one
# this long after it came back.
LIST_LAG_S = 10
# Without list reads for this long, absence is counted from the start again.
LIST_GAP_S = 5
# The first allocation waits until the list has not changed for this long, so
# that a fleet that starts does not give all slices to its first host.
SETTLE_S = 3
# A proposal whose effect has not been read is repeated after this time.
REPEAT_S = 2
# Keeps a record well below the size limit of a message.
CHANGES_PER_RECORD = 4096


@services.register('proposals')
class Proposals:
    """Proposes owners for vacant places and successors for its own.

    Attributes:
        absent_since: First list read that lacked a host which owns slices.
        listed: The platform's list of hosts.
        incarnations: Process of each host as heard from itself.
        restart_checked: Offset at which no place named an earlier process.
        placed_well: Offset and list for which no own place was misplaced.
        quiet_until: When the next proposal may be written.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.host = kernel.settings.host
        self.absent_since: dict[HostId, Instant] = {}
        self.listed: dict[HostId, HostEntry] = {}
        self.listed_at: Instant | None = None
        self.list_changed_at: Instant | None = None
        self.incarnations: dict[HostId, Incarnation] = {}
        self.quiet_until = Instant(0)
        self.restart_checked: Offset | None = None
        self.placed_well: tuple[Offset, tuple[HostId, ...]] | None = None

    @property
    def ownership(self) -> Ownership:
        """The service that folds the records."""
        return self.kernel.service('ownership')

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Counts absence from the start again."""
        self.absent_since.clear()

    @on(AppendFinished)
    def append_finished(self, event: AppendFinished, now: Instant) -> None:
        """Reads a proposal back at once."""
        if event.append_id.startswith(STREAM) and event.offset is not None:
            self.ownership.read(now)

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Hands all places over in one record."""
        self.quiet_until = now
        self.propose(now)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Updates which owners are gone and proposes what is needed."""
        listed = {entry.host: entry for entry in event.hosts}
        if listed.keys() != self.listed.keys():
            self.list_changed_at = now
        self.listed = listed
        self.note_absence(now)
        self.listed_at = now
        self.propose(now)

    def note_absence(self, now: Instant) -> None:
        """Notes since when hosts that own slices are not listed."""
        if self.listed_at is None or now - self.listed_at > LIST_GAP_S:
            self.absent_since.clear()
        owners = {
            host
            for host, places in self.ownership.table.by_host.items()
            if places
        }
        absent = owners - self.listed.keys() - {NO_HOST}
        self.absent_since = {
            host: self.absent_since.get(host, now) for host in absent
        }

    def propose(self, now: Instant) -> None:
        """Appends the changes that this host is to propose."""
        if not self.ownership.has_authority or now < self.quiet_until:
            return
        if self.kernel.service('membership').draining:
            self.append(self.hand_over(self.ownership.own_places(), now), now)
            return
        changes = self.own_restart()
        if self.is_proposer(now):
            vacant = self.vacant_places(now)
            changes += self.allocator(now).allocate(vacant) if vacant else []
        if not changes and self.is_settled(now):
            changes = self.hand_over(self.surplus(now), now)
        self.append(changes, now)

    def append(self, changes: list[OwnerChange], now: Instant) -> None:
        """Appends changes in as few records as their size allows."""
        for start in range(0, len(changes), CHANGES_PER_RECORD):
            part = tuple(changes[start : start + CHANGES_PER_RECORD])
            payload = msgspec.msgpack.encode(OwnershipRecord(part))
            unique = uuid.UUID(int=self.kernel.random.getrandbits(128))
            append_id = AppendId(f'{STREAM}-{unique.hex}')
            self.kernel.emit(Append(append_id, STREAM, payload))
        if changes:
            self.quiet_until = Instant(now + REPEAT_S)
            self.kernel.decide('ownership', changes=len(changes))

    def surplus(self, now: Instant) -> list[OwnerKey]:
        """Returns own places that are better off at another host."""
        ownership = self.ownership
        state = (ownership.next_offset, tuple(sorted(self.listed)))
        if state == self.placed_well:
            return []
        zones = {entry.host: entry.zone for entry in self.candidates(now)}
        own = set(ownership.own_places())
        surplus = misplaced(ownership.table, self.host, zones)
        found = [place for place in surplus if place in own]
        if not found:
            self.placed_well = state
        return found

    def own_restart(self) -> list[OwnerChange]:
        """Returns changes that replace earlier processes of this host.

        This process has bound the host's address, so they are gone.
        """
        if self.host not in self.listed:
            return []
        if self.ownership.next_offset == self.restart_checked:
            return []
        table = self.ownership.table
        restarted = table.places_of(self.host).difference(
            self.ownership.own_places()
        )
        if not restarted:
            self.restart_checked = self.ownership.next_offset
        allocator = Allocator(table, [], self.known_incarnations())
        return [
            allocator.change(place, self.host) for place in sorted(restarted)
        ]

    def hand_over(
        self, places: list[OwnerKey], now: Instant
    ) -> list[OwnerChange]:
        """Returns changes that name successors, and gives the places up.

        The places are given up before the record is written: the successor
        may act on the record while this host cannot read the log.
        """
        others = [
            entry for entry in self.candidates(now) if entry.host != self.host
        ]
        allocator = Allocator(
            self.ownership.table, others, self.known_incarnations()
        )
        changes = allocator.allocate(places)
        for change in changes:
            place = OwnerKey(change.slice_id, change.index)
            self.ownership.surrendered[place] = change.base
        return changes

    def vacant_places(self, now: Instant) -> list[OwnerKey]:
        """Returns places that were never given or whose owner is gone."""
        gone = [
            host
            for host, since in self.absent_since.items()
            if now - since > LIST_LAG_S
        ]
        if self.is_settled(now):
            gone.append(NO_HOST)
        return sorted(
            place
            for host in gone
            for place in self.ownership.table.places_of(host)
        )

    def is_settled(self, now: Instant) -> bool:
        """Returns whether the list has not changed lately."""
        changed_at = self.list_changed_at
        return changed_at is not None and now - changed_at >= SETTLE_S

    def is_proposer(self, now: Instant) -> bool:
        """Returns whether rendezvous hashing selects this host.

        Two hosts may believe it; the epochs let only one of them win.
        """
        hosts = [entry.host for entry in self.candidates(now)]
        best = max(
            hosts,
            key=lambda host: rendezvous_score(STREAM, host),
            default=None,
        )
        return best == self.host

    def allocator(self, now: Instant) -> Allocator:
        """Returns an allocator over the hosts that may own slices."""
        return Allocator(
            self.ownership.table,
            self.candidates(now),
            self.known_incarnations(),
        )

    def candidates(self, now: Instant) -> list[HostEntry]:
        """Returns the live, unsuspected hosts of the list."""
        membership = self.kernel.service('membership')
        return [
            entry
            for host, entry in sorted(self.listed.items())
            if entry.state is HostState.LIVE
            and not membership.is_suspected(host, now)
        ]

    def known_incarnations(self) -> dict[HostId, Incarnation]:
        """Returns the processes by host, as listed, heard or own."""
        known = {
            host: entry.incarnation or self.incarnations.get(host, 0)
            for host, entry in self.listed.items()
        }
        return {**known, self.host: self.ownership.incarnation}

    @on(PeerMessageReceived)
    def peer_heard(self, event: PeerMessageReceived, now: Instant) -> None:
        """Notes the incarnation of a peer, which the list may not know."""
        self.incarnations[event.sender] = event.incarnation
