"""What a host knows of a backend server and of the removal of its entry."""

import msgspec

from teaselcove.entities import Server
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.ingress.entities import Position

# Removed servers whose removal is remembered, far more than can leave while a
# message is delayed.
MAX_REMOVALS = 2048


class Statement(msgspec.Struct, frozen=True, order=True):
    """Which statement of a server about itself is known.

    Unlike the place of its record, it says which one is newer also if the
    store has gone back to an older copy.
    """

    started_ms: int
    sequence: int


class Removal(msgspec.Struct, frozen=True):
    """Removal of the entry of a server.

    Attributes:
        position: Place of the removal.
        statement: The last known statement of the server, or None.
    """

    position: Position
    statement: Statement | None = None


class KnownServer(msgspec.Struct):
    """A backend server and the state of its entry in the store.

    Attributes:
        statement: Its statement that the entry stands for.
        position: Place of its newest record.
        warm_at: When its warm-up ends and it is as fast as the others.
        expires_at: When it counts as removed, if its entry expired during a
            store outage; None while it has an entry.
        held_until: Until when it gets no requests, since its entry is a copy
            from before its removal; None otherwise.
    """

    server: Server
    service: ServiceId
    leaving: bool
    statement: Statement
    position: Position
    warm_at: Instant
    expires_at: Instant | None = None
    held_until: Instant | None = None

    @property
    def compared_fields(self) -> tuple[object, ...]:
        """The fields compared to detect a change; heartbeat times are not."""
        return (
            self.server,
            self.service,
            self.leaving,
            self.statement.started_ms,
            (self.expires_at, self.held_until),
        )

    def is_usable(self, now: Instant) -> bool:
        """Returns whether the server may get new requests."""
        expired = self.expires_at is not None and now >= self.expires_at
        held = self.held_until is not None and now < self.held_until
        return not (self.leaving or expired or held)


class Removals:
    """Remembers the latest removals of entries.

    Attributes:
        by_server: Latest removal by server, oldest first.
    """

    def __init__(self) -> None:
        self.by_server: dict[BackendServerId, Removal] = {}

    def record(
        self,
        server_id: BackendServerId,
        position: Position,
        statement: Statement | None = None,
    ) -> None:
        """Remembers a removal, and drops the oldest one if there are many.

        Args:
            server_id: The server.
            position: Place of the removal.
            statement: The last known statement of the server; if None, the one
                that is remembered stays.
        """
        before = self.by_server.pop(server_id, None)
        if statement is None and before is not None:
            statement = before.statement
        self.by_server[server_id] = Removal(position, statement)
        if len(self.by_server) > MAX_REMOVALS:
            self.by_server.pop(next(iter(self.by_server)))

    def covers(self, server_id: BackendServerId, position: Position) -> bool:
        """Returns whether a record was written before the removal."""
        removal = self.by_server.get(server_id)
        return removal is not None and removal.position >= position


def is_old_copy(entry: KnownServer, previous: KnownServer | Removal) -> bool:
    """Returns whether an entry says nothing new about its server.

    A store that has gone back lists entries that were replaced or removed.
    """
    if entry.position.era <= previous.position.era:
        return False
    known = previous.statement
    return known is None or entry.statement <= known
