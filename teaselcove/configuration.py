"""The configuration in force, folded from the records of the log."""

import logging
from collections import deque

import msgspec

from teaselcove.effects import ReadLog
from teaselcove.entities import Key, Organisation, Route, Service
from teaselcove.events import ConfigurationChanged, RecordsRead, StoreFailed
from teaselcove.fold import RecordResult, State, fold
from teaselcove.ids import (
    BackendServerId,
    Instant,
    KeyId,
    Offset,
    OrganisationId,
    ServiceId,
    Version,
)
from teaselcove.kernel import Kernel, on, services
from teaselcove.records import STREAM, ApplyRecord, Removed

log = logging.getLogger(__name__)

__all__ = ('STREAM', 'ApplyRecord', 'Configuration', 'Removed')

# A read without a result after this time is taken as lost. It is longer than
# the time after which the log client gives up.
READ_TIMEOUT_S = 3

# Later versions of which the host remembers since when it knows them.
REMEMBERED_VERSIONS = 32


class KnownVersion(msgspec.Struct, frozen=True):
    """A version above the own one, and since when it is known."""

    version: Version
    since: Instant


class NewerVersions:
    """Versions above the own one that peers are known to have."""

    def __init__(self) -> None:
        self.known: deque[KnownVersion] = deque()

    def note(self, version: Version, own: Version, now: Instant) -> None:
        """Notes that a version exists somewhere in the fleet."""
        full = len(self.known) >= REMEMBERED_VERSIONS
        if version > self.highest(own) and not full:
            self.known.append(KnownVersion(version, now))

    def forget(self, own: Version) -> None:
        """Forgets the versions that are now in force."""
        while self.known and self.known[0].version <= own:
            self.known.popleft()

    def highest(self, own: Version) -> Version:
        """Returns the highest version that the host knows of."""
        return self.known[-1].version if self.known else own

    def exceed(self, limit: float, now: Instant) -> bool:
        """Returns whether one is known for longer than a time in seconds."""
        return bool(self.known) and now - self.known[0].since > limit


@services.register('configuration')
class Configuration:
    """Version and entities in force on this host.

    Attributes:
        state: The configuration with its place in the log.
        last_log_read: When the latest read that returned all records was
            asked for. The time of the result would count a result as fresh
            that waited while the process was stopped.
        asked_at: When the awaited read was asked for, or None.
        asked_offset: The offset of that read.
        sent_at: When it was asked for the last time.
        newer: Versions above the own one that peers are known to have.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.state = State()
        self.last_log_read: Instant | None = None
        self.asked_at: Instant | None = None
        self.asked_offset = Offset(0)
        self.sent_at = Instant(0)
        self.newer = NewerVersions()

    @property
    def version(self) -> Version:
        """Version in force on this host."""
        return self.state.version

    @property
    def digest(self) -> int:
        """Digest of the configuration in force on this host."""
        return self.state.digest

    def start(self, now: Instant) -> None:
        """Starts to read the log at intervals."""
        self.read_log(now)

    def read_log(self, now: Instant) -> None:
        """Asks for new records, unless an earlier read is awaited."""
        if self.asked_at is None or now - self.sent_at > READ_TIMEOUT_S:
            self.ask(now)
        interval = self.kernel.settings.log_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_log)

    def ask(self, now: Instant) -> None:
        """Asks for the records that are not folded yet.

        A read that is asked for again counts from the first time, because
        the result of the earlier one may still arrive.
        """
        again = self.asked_offset == self.state.next_offset
        if self.asked_at is None or not again:
            self.asked_at = now
        self.sent_at = now
        self.asked_offset = self.state.next_offset
        self.kernel.emit(ReadLog(STREAM, self.asked_offset))

    @on(StoreFailed)
    def store_failed(self, event: StoreFailed, now: Instant) -> None:
        """Notes that the awaited read has failed."""
        if event.stream == STREAM:
            self.asked_at = None

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Folds new records of the configuration stream."""
        if event.stream != STREAM:
            return
        asked_at = None
        if event.requested_offset == self.asked_offset:
            asked_at = self.asked_at
            self.asked_at = None
        if event.first_offset > self.state.next_offset:
            self.kernel.service('recovery').begin('retention', now)
            return
        if self.fold_read(event, now):
            if asked_at is not None:
                self.last_log_read = asked_at
        elif self.asked_at is None:
            self.ask(now)

    def fold_read(self, event: RecordsRead, now: Instant) -> bool:
        """Folds records that follow those folded before.

        Returns:
            Whether the log had no further records.
        """
        before = self.version
        first = max(event.requested_offset, event.first_offset)
        if first <= self.state.next_offset:
            for offset, payload in event.records:
                if offset >= self.state.next_offset:
                    self.fold_record(offset, payload, now)
        if self.version > before:
            self.announce(now)
        return self.state.next_offset >= event.next_offset

    def fold_record(
        self, offset: Offset, payload: bytes, now: Instant
    ) -> RecordResult:
        """Takes a record into the configuration in force."""
        fate = fold(self.state, offset, payload)
        if fate is RecordResult.WON:
            self.newer.forget(self.version)
            self.kernel.service('relay').note_winner(offset, payload, now)
        else:
            self.kernel.decide('skip-record', offset=offset, reason=fate.value)
        return fate

    def adopt(self, state: State, now: Instant) -> bool:
        """Replaces the configuration by a rebuilt one.

        Returns:
            Whether it was replaced; an earlier version never is taken.
        """
        if state.version < self.version:
            return False
        changed = state.digest != self.digest or state.version > self.version
        if not changed and state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        self.newer.forget(self.version)
        if changed:
            self.kernel.service('relay').forget_records()
            self.announce(now)
        return True

    def announce(self, now: Instant) -> None:
        """Tells the other services about the version in force."""
        winner = self.state.winner_at(self.version)
        self.kernel.decide(
            'configuration',
            version=self.version,
            digest=f'{self.digest:x}',
            apply=winner.apply_id if winner else '',
            operator=winner.operator if winner else '',
        )
        self.kernel.publish(ConfigurationChanged(self.version), now)

    def note_version(self, version: Version, now: Instant) -> None:
        """Notes that a version exists somewhere in the fleet."""
        self.newer.note(version, self.version, now)

    def may_serve(self, now: Instant) -> bool:
        """Returns whether keyed requests may rely on this version.

        A host that knows of a later version for too long cannot know which
        keys that version withdrew. A host that hears neither the log nor a
        majority cannot know whether there is a later version.
        """
        limit = self.kernel.settings.isolation_limit
        if not self.version:
            return False
        if self.newer.exceed(limit, now):
            return False
        last_read = self.last_log_read
        if last_read is not None and now - last_read <= limit:
            return True
        membership = self.kernel.service('membership')
        return membership.has_heard_majority(now, limit)

    def route_for(self, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        return self.state.tables.routes.match(path)

    def organisation(self, name: OrganisationId) -> Organisation | None:
        """Returns an organisation, or None."""
        return self.state.tables.find('organisations', name)

    def service(self, name: ServiceId) -> Service | None:
        """Returns a service, or None."""
        return self.state.tables.find('services', name)

    def service_of(self, server: BackendServerId) -> Service | None:
        """Returns the service of a backend server, or None."""
        return self.state.tables.services.service_of(server)

    def key(self, name: KeyId) -> Key | None:
        """Returns a key, or None."""
        return self.state.tables.find('keys', name)

    def server_address(self, server: BackendServerId) -> str | None:
        """Returns the address of a backend server, or None."""
        return self.state.tables.services.server_address(server)
