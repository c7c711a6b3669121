"""The backend servers registered in the store that may receive requests."""

import zlib

import msgspec

from teaselcove.entities import Server
from teaselcove.ids import BackendServerId, HostId, Instant, ServiceId
from teaselcove.ingress.entities import Position, ServerEntry
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.kernel import Kernel

# Seconds after the store recovers within which live servers have registered
# again if their entries expired during the outage.
REREGISTRATION_S = 2
# Heartbeat intervals that an outage lasts at least if entries expired in it: an
# entry expires after three intervals without a heartbeat.
OUTAGE_INTERVALS = 2
# Seconds that a request takes to reach a server, by which hosts stop earlier
# than the bound for leaving servers requires.
SEND_MARGIN_S = 0.2
# Removed servers whose removal is remembered, far more than can leave while a
# message is delayed.
MAX_REMOVALS = 2048


class KnownServer(msgspec.Struct):
    """A backend server and the state of its entry in the store.

    Attributes:
        position: Place of its newest record.
        warm_at: When its warm-up ends and it is as fast as the others.
        expires_at: When it counts as removed, if its entry expired during a
            store outage; None while it has an entry.
    """

    server: Server
    service: ServiceId
    leaving: bool
    started_ms: int
    position: Position
    warm_at: Instant
    expires_at: Instant | None = None

    @property
    def compared_fields(self) -> tuple[object, ...]:
        """The fields compared to detect a change; heartbeat times are not."""
        return (
            self.server,
            self.service,
            self.leaving,
            self.started_ms,
            self.expires_at,
        )

    def is_usable(self, now: Instant) -> bool:
        """Returns whether the server may get new requests."""
        expired = self.expires_at is not None and now >= self.expires_at
        return not self.leaving and not expired


@ingress_services.register('discovery')
class Discovery:
    """Keeps the known servers and selects those that may get new requests.

    Attributes:
        removals: Place of the latest removal by server, oldest first. Records
            before it are outdated, but may still arrive.
        confirmed_at: When the latest read that showed this list to be current
            was sent, by this host or another one.
        digest: Checksum of the list, compared between hosts.
        recovered_at: When the store answered again after an outage.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.servers: dict[BackendServerId, KnownServer] = {}
        self.by_service: dict[ServiceId, list[KnownServer]] = {}
        self.removals: dict[BackendServerId, Position] = {}
        self.confirmed_at: Instant | None = None
        self.digest = 0
        self.recovered_at: Instant | None = None

    def age(self, now: Instant) -> float:
        """Returns the seconds since the list was last confirmed."""
        return (
            float('inf')
            if self.confirmed_at is None
            else now - self.confirmed_at
        )

    def confirm(self, asked_at: Instant) -> None:
        """Records that the list was current at the given time."""
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def store_recovered(self, now: Instant) -> None:
        """Records that the store answers again after an outage."""
        self.recovered_at = now

    def recheck_recovery(self, heartbeats: int, elapsed: float) -> None:
        """Takes a recovery back if servers could write in the meantime.

        Then only this host was cut off, and no entry expired.

        Args:
            heartbeats: Heartbeats of the most active server since the last
                successful read.
            elapsed: Seconds since that read.
        """
        interval = self.kernel.settings.server_heartbeat
        silence = elapsed - heartbeats * interval
        if silence < OUTAGE_INTERVALS * interval:
            self.recovered_at = None

    def apply(
        self, news: ServerNews, now: Instant, peer: HostId | None = None
    ) -> bool:
        """Applies a record of the store; returns whether it had an effect.

        Args:
            news: The record.
            now: Present time.
            peer: The host that passed it on, or None if this host read it.
        """
        entry = news.entry
        if entry is None:
            changed = self.remove(news.server, news.position, now)
        else:
            changed = self.update(entry, news.position, now)
        if changed:
            self.kernel.decide(
                'server' if entry else 'server-gone',
                server=news.server,
                service=entry.service if entry else None,
                leaving=entry.leaving if entry else None,
                kept=news.server in self.servers,
                offset=news.offset,
                era=news.era,
                peer=peer,
            )
        return changed

    def update(
        self, entry: ServerEntry, position: Position, now: Instant
    ) -> bool:
        """Applies an entry; returns whether any compared field changed."""
        server_id = entry.server.id
        known = self.servers.get(server_id)
        if self.is_outdated(server_id, position):
            return False
        if known is not None and known.started_ms != entry.started_ms:
            self.forget_process(server_id)
        renewed = KnownServer(
            entry.server,
            entry.service,
            entry.leaving,
            entry.started_ms,
            position,
            Instant(now + entry.warmup_left),
        )
        self.servers[server_id] = renewed
        if (
            known is not None
            and renewed.compared_fields == known.compared_fields
        ):
            return False
        self.rebuild_index()
        return True

    def remove(
        self, server_id: BackendServerId, position: Position, now: Instant
    ) -> bool:
        """Applies the removal of an entry; returns whether it had an effect."""
        if self.is_outdated(server_id, position):
            return False
        known = self.servers.get(server_id)
        if known is None:
            self.record_removal(server_id, position)
            return False
        if self.is_recovering(now) and not known.leaving:
            # The server may be alive: its entry expired during the outage.
            known.position = position
            bound = self.kernel.settings.bounds.drain - SEND_MARGIN_S
            known.expires_at = Instant(
                min((self.recovered_at or now) + REREGISTRATION_S, now + bound)
            )
            self.rebuild_index()
            return True
        self.forget(server_id, position)
        self.rebuild_index()
        return True

    def is_outdated(
        self, server_id: BackendServerId, position: Position
    ) -> bool:
        """Returns whether a newer record of a server was applied before."""
        known = self.servers.get(server_id)
        if known is not None and known.position.offset > position.offset:
            return True
        removal = self.removals.get(server_id)
        return removal is not None and removal.offset >= position.offset

    def forget(self, server_id: BackendServerId, position: Position) -> None:
        """Drops a server whose entry was removed at a position."""
        self.servers.pop(server_id)
        self.forget_process(server_id)
        self.record_removal(server_id, position)

    def forget_process(self, server_id: BackendServerId) -> None:
        """Drops what is known of a process that left or was restarted."""
        self.kernel.service('health').forget(server_id)
        self.kernel.service('server-limits').forget(server_id)

    def record_removal(
        self, server_id: BackendServerId, position: Position
    ) -> None:
        """Remembers a removal, and drops the oldest one if there are many."""
        self.removals.pop(server_id, None)
        self.removals[server_id] = position
        if len(self.removals) > MAX_REMOVALS:
            self.removals.pop(next(iter(self.removals)))

    def remove_unlisted(
        self, listed: set[BackendServerId], end: Position
    ) -> None:
        """Removes servers that are missing from a complete read of the topic.

        Args:
            listed: Servers with a record in the read.
            end: End of the topic before the read; servers with newer records
                are kept.
        """
        removed = [
            server_id
            for server_id, known in self.servers.items()
            if server_id not in listed and known.position.offset < end.offset
        ]
        for server_id in removed:
            # The removal lies before the end.
            self.forget(server_id, Position(end.era, end.offset - 1))
        if removed:
            self.rebuild_index()

    def drop_expired(self, now: Instant) -> None:
        """Drops servers that were kept after a removal and did not return."""
        expired = [
            (server_id, known.position)
            for server_id, known in self.servers.items()
            if known.expires_at is not None and now >= known.expires_at
        ]
        for server_id, position in expired:
            self.forget(server_id, position)
        if expired:
            self.rebuild_index()

    def is_recovering(self, now: Instant) -> bool:
        """Returns whether entries may be missing after a store outage."""
        return (
            self.recovered_at is not None
            and now - self.recovered_at < REREGISTRATION_S
        )

    def rebuild_index(self) -> None:
        """Groups the servers by service and computes the digest.

        A server whose removal is in doubt is not part of the digest: hosts that
        have dropped it have the same list.
        """
        lines = sorted(
            f'{server_id} {known.service} {known.leaving} {known.started_ms}'
            f' {known.server.address}'
            for server_id, known in self.servers.items()
            if known.expires_at is None
        )
        self.digest = zlib.crc32('\n'.join(lines).encode())
        self.by_service = {}
        for known in self.servers.values():
            self.by_service.setdefault(known.service, []).append(known)

    def usable(self, service: ServiceId, now: Instant) -> list[KnownServer]:
        """Returns the servers of a service that may get new requests."""
        return [
            known
            for known in self.by_service.get(service, ())
            if known.is_usable(now)
        ]

    def is_usable(self, server_id: BackendServerId, now: Instant) -> bool:
        """Returns whether a server may get new requests."""
        known = self.servers.get(server_id)
        return known is not None and known.is_usable(now)
