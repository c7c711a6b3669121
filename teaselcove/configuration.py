"""The configuration in force, folded from the records of the log."""

import logging

import msgspec

from teaselcove.effects import ReadLog
from teaselcove.entities import Entities, Key, Organisation, Route, Service
from teaselcove.events import ConfigurationChanged, RecordsRead
from teaselcove.ids import (
    ApplyId,
    BackendServerId,
    Instant,
    KeyId,
    Offset,
    OrganisationId,
    RouteId,
    ServiceId,
    StreamName,
    Version,
)
from teaselcove.kernel import Kernel, on, services

log = logging.getLogger(__name__)

STREAM = StreamName('configuration')


class Removed(msgspec.Struct, frozen=True):
    """Ids of the entities that a change removes."""

    organisations: tuple[OrganisationId, ...] = ()
    keys: tuple[KeyId, ...] = ()
    services: tuple[ServiceId, ...] = ()
    routes: tuple[RouteId, ...] = ()


class ApplyRecord(msgspec.Struct, frozen=True):
    """One change of the configuration, as a record of the log.

    Attributes:
        apply_id: Unique id of the change.
        base: Version that the change was planned against.
        put: Entities added or replaced.
        removed: Entities removed.
    """

    apply_id: ApplyId
    base: Version
    put: Entities
    removed: Removed = Removed()


@services.register('configuration')
class Configuration:
    """Version and entities in force on this host."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.version = Version(0)
        self.next_offset = Offset(0)
        self.last_log_read: Instant | None = None
        self.organisations: dict[OrganisationId, Organisation] = {}
        self.keys: dict[KeyId, Key] = {}
        self.services: dict[ServiceId, Service] = {}
        self.routes: dict[RouteId, Route] = {}

    def start(self, now: Instant) -> None:
        """Starts to read the log at intervals."""
        self.read_log(now)

    def read_log(self, now: Instant) -> None:
        """Asks for the records that are not folded yet."""
        self.kernel.emit(ReadLog(STREAM, self.next_offset))
        interval = self.kernel.settings.log_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_log)

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Folds new records of the configuration stream."""
        if event.stream != STREAM:
            return
        self.last_log_read = now
        for offset, payload in event.records:
            if offset >= self.next_offset:
                self.next_offset = Offset(offset + 1)
                self.fold(msgspec.json.decode(payload, type=ApplyRecord), now)

    def fold(self, record: ApplyRecord, now: Instant) -> None:
        """Applies a record if it wins on its base."""
        if record.base != self.version:
            return
        tables = ('organisations', 'keys', 'services', 'routes')
        for name in tables:
            table = getattr(self, name)
            for entity_id in getattr(record.removed, name):
                table.pop(entity_id, None)
            for entity in getattr(record.put, name):
                table[entity.id] = entity
        self.version = Version(self.version + 1)
        self.kernel.publish(ConfigurationChanged(self.version), now)

    def may_serve(self, now: Instant) -> bool:
        """Returns whether keyed requests may rely on this version."""
        return self.version > 0

    def route_for(self, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        matching = [
            route
            for route in self.routes.values()
            if path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def organisation(self, name: OrganisationId) -> Organisation | None:
        """Returns an organisation, or None."""
        return self.organisations.get(name)

    def service(self, name: ServiceId) -> Service | None:
        """Returns a service, or None."""
        return self.services.get(name)

    def key(self, name: KeyId) -> Key | None:
        """Returns a key, or None."""
        return self.keys.get(name)

    def server_address(self, server: BackendServerId) -> str | None:
        """Returns the address of a backend server, or None."""
        for service in self.services.values():
            for candidate in service.servers:
                if candidate.id == server:
                    return candidate.address
        return None
