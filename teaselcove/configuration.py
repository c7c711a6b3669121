"""The current configuration, folded from the records of the log."""

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

# Seconds after which a read without a result is assumed lost. Longer than the
# timeout of the log client.
READ_TIMEOUT_S = 3

# Newer versions that are remembered with the time at which each became known.
MAX_NEWER_VERSIONS = 32


class KnownVersion(msgspec.Struct, frozen=True):
    """A version above the current one and the time it became known."""

    version: Version
    known_since: Instant


class NewerVersions:
    """Versions above the current one that exist on other hosts."""

    def __init__(self) -> None:
        self.versions: deque[KnownVersion] = deque()

    def add(self, version: Version, current: Version, now: Instant) -> None:
        """Adds a version unless it is not newer or the list is full."""
        full = len(self.versions) >= MAX_NEWER_VERSIONS
        if version > self.highest(current) and not full:
            self.versions.append(KnownVersion(version, now))

    def remove_up_to(self, current: Version) -> None:
        """Removes the versions up to the current one."""
        while self.versions and self.versions[0].version <= current:
            self.versions.popleft()

    def highest(self, current: Version) -> Version:
        """Returns the highest known version."""
        return self.versions[-1].version if self.versions else current

    def known_longer_than(self, limit: float, now: Instant) -> bool:
        """Returns whether a version has been known for over `limit` seconds."""
        return (
            bool(self.versions) and now - self.versions[0].known_since > limit
        )


@services.register('configuration')
class Configuration:
    """Current version and entities of this host.

    Attributes:
        state: The configuration and its offset in the log.
        last_log_read: When the latest read that returned all records was
            started. The time of the result would make a result look fresh
            that was queued while the process was stopped.
        read_started_at: When the pending read was first sent, or None.
        read_offset: The offset of that read.
        read_sent_at: When that read was last sent.
        newer: Versions above the current one that exist on other hosts.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.state = State()
        self.last_log_read: Instant | None = None
        self.read_started_at: Instant | None = None
        self.read_offset = Offset(0)
        self.read_sent_at = Instant(0)
        self.newer = NewerVersions()

    @property
    def version(self) -> Version:
        """Current version of this host."""
        return self.state.version

    @property
    def digest(self) -> int:
        """Digest of the current configuration."""
        return self.state.digest

    def start(self, now: Instant) -> None:
        """Starts reading the log at regular intervals."""
        self.read_log(now)

    def read_log(self, now: Instant) -> None:
        """Reads new records unless an earlier read is pending."""
        if (
            self.read_started_at is None
            or now - self.read_sent_at > READ_TIMEOUT_S
        ):
            self.request_records(now)
        interval = self.kernel.settings.log_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_log)

    def request_records(self, now: Instant) -> None:
        """Sends a read for the records that are not folded yet.

        A repeated read keeps the start time of the first one, because the
        result of the first one may still arrive.
        """
        is_repeat = self.read_offset == self.state.next_offset
        if self.read_started_at is None or not is_repeat:
            self.read_started_at = now
        self.read_sent_at = now
        self.read_offset = self.state.next_offset
        self.kernel.emit(ReadLog(STREAM, self.read_offset))

    @on(StoreFailed)
    def store_failed(self, event: StoreFailed, now: Instant) -> None:
        """Clears the pending read after a failure."""
        if event.stream == STREAM:
            self.read_started_at = None

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Folds new records of the configuration stream."""
        if event.stream != STREAM:
            return
        read_started_at = None
        if event.requested_offset == self.read_offset:
            read_started_at = self.read_started_at
            self.read_started_at = None
        if event.first_offset > self.state.next_offset:
            self.kernel.service('recovery').start_rebuild('retention', now)
            return
        if self.fold_read(event, now):
            if read_started_at is not None:
                self.last_log_read = read_started_at
        elif self.read_started_at is None:
            self.request_records(now)

    def fold_read(self, event: RecordsRead, now: Instant) -> bool:
        """Folds the records that are not folded yet.

        Returns:
            Whether the log has no further records.
        """
        before = self.version
        first = max(event.requested_offset, event.first_offset)
        if first <= self.state.next_offset:
            for offset, payload in event.records:
                if offset >= self.state.next_offset:
                    self.fold_record(offset, payload, now)
        if self.version > before:
            self.publish_version(now)
        return self.state.next_offset >= event.next_offset

    def fold_record(
        self, offset: Offset, payload: bytes, now: Instant
    ) -> RecordResult:
        """Folds a record; keeps it for the relay if it wins."""
        fate = fold(self.state, offset, payload)
        if fate is RecordResult.WON:
            self.newer.remove_up_to(self.version)
            self.kernel.service('relay').keep_record(offset, payload, now)
        else:
            self.kernel.decide('skip-record', offset=offset, reason=fate.value)
        return fate

    def adopt(self, state: State, now: Instant) -> bool:
        """Replaces the configuration with a rebuilt or transferred one.

        Returns:
            Whether it was replaced; an older version is never adopted.
        """
        if state.version < self.version:
            return False
        changed = state.digest != self.digest or state.version > self.version
        if not changed and state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        self.newer.remove_up_to(self.version)
        if changed:
            self.kernel.service('relay').clear_records()
            self.publish_version(now)
        return True

    def publish_version(self, now: Instant) -> None:
        """Publishes the current version to the other services."""
        winner = self.state.winner_at(self.version)
        self.kernel.decide(
            'configuration',
            version=self.version,
            digest=f'{self.digest:x}',
            apply=winner.apply_id if winner else '',
            operator=winner.operator if winner else '',
        )
        self.kernel.publish(ConfigurationChanged(self.version), now)

    def record_version(self, version: Version, now: Instant) -> None:
        """Records a version that exists on another host."""
        self.newer.add(version, self.version, now)

    def may_serve(self, now: Instant) -> bool:
        """Returns whether requests with a key may use this version.

        A host that has known of a newer version for too long cannot tell
        which keys that version withdrew. A host that has heard from neither
        the log nor a majority of hosts cannot tell whether a newer version
        exists.
        """
        limit = self.kernel.settings.isolation_limit
        if not self.version:
            return False
        if self.newer.known_longer_than(limit, now):
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
