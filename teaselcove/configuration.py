"""The configuration in force, folded from the records of the log."""

import logging

from teaselcove.effects import ReadLog
from teaselcove.entities import Key, Organisation, Route, Service
from teaselcove.events import ConfigurationChanged, RecordsRead
from teaselcove.fold import Fate, State, fold
from teaselcove.ids import (
    BackendServerId,
    Instant,
    KeyId,
    OrganisationId,
    ServiceId,
    Version,
)
from teaselcove.kernel import Kernel, on, services
from teaselcove.records import STREAM, ApplyRecord, Removed

log = logging.getLogger(__name__)

__all__ = ('STREAM', 'ApplyRecord', 'Removed')


@services.register('configuration')
class Configuration:
    """Version and entities in force on this host."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.state = State()
        self.last_log_read: Instant | None = None

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
        """Asks for the records that are not folded yet."""
        self.kernel.emit(ReadLog(STREAM, self.state.next_offset))
        interval = self.kernel.settings.log_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_log)

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Folds new records of the configuration stream."""
        if event.stream != STREAM:
            return
        self.last_log_read = now
        for offset, payload in event.records:
            if offset >= self.state.next_offset:
                fate = fold(self.state, offset, payload)
                if fate is Fate.WON:
                    changed = ConfigurationChanged(self.version)
                    self.kernel.publish(changed, now)

    def may_serve(self, now: Instant) -> bool:
        """Returns whether keyed requests may rely on this version."""
        return self.version > 0

    def route_for(self, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        return self.state.tables.routes.match(path)

    def organisation(self, name: OrganisationId) -> Organisation | None:
        """Returns an organisation, or None."""
        return self.state.tables.find('organisations', name)

    def service(self, name: ServiceId) -> Service | None:
        """Returns a service, or None."""
        return self.state.tables.find('services', name)

    def key(self, name: KeyId) -> Key | None:
        """Returns a key, or None."""
        return self.state.tables.find('keys', name)

    def server_address(self, server: BackendServerId) -> str | None:
        """Returns the address of a backend server, or None."""
        return self.state.tables.services.server_address(server)
