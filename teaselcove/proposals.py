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

# The platform's list may contain a host for this long after it left, and may
# lack a host for this long after it came back.
LIST_LAG_S = 10
# After a gap of this length between list reads, absence is timed anew.
LIST_GAP_S = 5
# The first allocation waits until the list has been stable for this long, so
# that a starting fleet does not assign all slices to its first host.
LIST_STABLE_S = 3
# A proposal whose effect was not read back is repeated after this time.
PROPOSAL_RETRY_S = 2
# Keeps a record well below the size limit of a message.
CHANGES_PER_RECORD = 4096


@services.register('proposals')
class Proposals:
    """Proposes owners for vacant places and successors for own places.

    Attributes:
        absent_since: Time of the first list read without a slice owner.
        listed: Hosts in the platform's list.
        incarnations: Incarnation of each peer, from its messages.
        restart_checked: Offset at which no place named an earlier process.
        placement_checked: Offset and hosts for which no place was misplaced.
        next_proposal_at: Time from which the next proposal may be written.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.host = kernel.settings.host
        self.absent_since: dict[HostId, Instant] = {}
        self.listed: dict[HostId, HostEntry] = {}
        self.listed_at: Instant | None = None
        self.list_changed_at: Instant | None = None
        self.incarnations: dict[HostId, Incarnation] = {}
        self.next_proposal_at = Instant(0)
        self.restart_checked: Offset | None = None
        self.placement_checked: tuple[Offset, tuple[HostId, ...]] | None = None

    @property
    def ownership(self) -> Ownership:
        """The service that folds the records."""
        return self.kernel.service('ownership')

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Resets the absence times."""
        self.absent_since.clear()

    @on(AppendFinished)
    def append_finished(self, event: AppendFinished, now: Instant) -> None:
        """Reads a proposal back at once."""
        if event.append_id.startswith(STREAM) and event.offset is not None:
            self.ownership.read(now)

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Hands over all places in one record."""
        self.next_proposal_at = now
        self.propose(now)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Updates which owners are absent and proposes the needed changes."""
        listed = {entry.host: entry for entry in event.hosts}
        if listed.keys() != self.listed.keys():
            self.list_changed_at = now
        self.listed = listed
        self.update_absent_since(now)
        self.listed_at = now
        self.propose(now)

    def update_absent_since(self, now: Instant) -> None:
        """Updates since when hosts that own slices are not listed."""
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
        """Appends the changes that this host should propose."""
        if not self.ownership.has_authority or now < self.next_proposal_at:
            return
        if self.kernel.service('membership').draining:
            self.append(self.hand_over(self.ownership.own_places(), now), now)
            return
        changes = self.restart_changes()
        if self.is_proposer(now):
            vacant = self.vacant_places(now)
            changes += self.allocator(now).allocate(vacant) if vacant else []
        if not changes and self.is_list_stable(now):
            changes = self.hand_over(self.own_misplaced(now), now)
        self.append(changes, now)

    def append(self, changes: list[OwnerChange], now: Instant) -> None:
        """Appends changes in as few records as the size limit allows."""
        for start in range(0, len(changes), CHANGES_PER_RECORD):
            part = tuple(changes[start : start + CHANGES_PER_RECORD])
            payload = msgspec.msgpack.encode(OwnershipRecord(part))
            unique = uuid.UUID(int=self.kernel.random.getrandbits(128))
            append_id = AppendId(f'{STREAM}-{unique.hex}')
            self.kernel.emit(Append(append_id, STREAM, payload))
        if changes:
            self.next_proposal_at = Instant(now + PROPOSAL_RETRY_S)
            self.kernel.decide('ownership', changes=len(changes))

    def own_misplaced(self, now: Instant) -> list[OwnerKey]:
        """Returns own places that another host should own."""
        ownership = self.ownership
        state = (ownership.next_offset, tuple(sorted(self.listed)))
        if state == self.placement_checked:
            return []
        zones = {entry.host: entry.zone for entry in self.candidates(now)}
        own = set(ownership.own_places())
        host_places = misplaced(ownership.table, self.host, zones)
        found = [place for place in host_places if place in own]
        if not found:
            self.placement_checked = state
        return found

    def restart_changes(self) -> list[OwnerChange]:
        """Returns changes that replace earlier processes of this host.

        This process has bound the host's address, so these have ended.
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
        """Returns changes that assign successors, and stops using the places.

        This host stops using the places before the record is written, because
        the successor may act on the record while this host cannot read the
        log.
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
            self.ownership.handed_over[place] = change.base
        return changes

    def vacant_places(self, now: Instant) -> list[OwnerKey]:
        """Returns places without an owner or with an absent owner."""
        absent = [
            host
            for host, since in self.absent_since.items()
            if now - since > LIST_LAG_S
        ]
        if self.is_list_stable(now):
            absent.append(NO_HOST)
        return sorted(
            place
            for host in absent
            for place in self.ownership.table.places_of(host)
        )

    def is_list_stable(self, now: Instant) -> bool:
        """Returns whether the list has not changed recently."""
        changed_at = self.list_changed_at
        return changed_at is not None and now - changed_at >= LIST_STABLE_S

    def is_proposer(self, now: Instant) -> bool:
        """Returns whether rendezvous hashing selects this host.

        Two hosts may select themselves; the epochs let only one of them win.
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
        """Returns the listed hosts that are live and not suspected."""
        membership = self.kernel.service('membership')
        return [
            entry
            for host, entry in sorted(self.listed.items())
            if entry.state is HostState.LIVE
            and not membership.is_suspected(host, now)
        ]

    def known_incarnations(self) -> dict[HostId, Incarnation]:
        """Returns the incarnations of this host and all listed ones.

        The list takes precedence over the messages of peers.
        """
        known = {
            host: entry.incarnation or self.incarnations.get(host, 0)
            for host, entry in self.listed.items()
        }
        return {**known, self.host: self.ownership.incarnation}

    @on(PeerMessageReceived)
    def peer_message_received(
        self, event: PeerMessageReceived, now: Instant
    ) -> None:
        """Records the incarnation of a peer, which the list may lack."""
        self.incarnations[event.sender] = event.incarnation
