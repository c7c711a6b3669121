"""The backend servers registered in the store that may receive requests."""

import zlib

from msgspec.structs import replace

from teaselcove.ids import BackendServerId, HostId, Instant, ServiceId
from teaselcove.ingress.entities import Position, ServerEntry
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.known_servers import (
    KnownServer,
    Removals,
    Statement,
    is_old_copy,
)
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.kernel import Kernel

# Seconds after the store recovers within which live servers have registered
# again if their entries expired during the outage.
REREGISTRATION_S = 2
# Heartbeat intervals without a heartbeat after which an entry expires.
ENTRY_INTERVALS = 3
# Heartbeat intervals that an outage lasts at least if entries expired in it.
OUTAGE_INTERVALS = 2
# Seconds that a request takes to reach a server, by which hosts stop earlier
# than the bound for leaving servers requires.
SEND_MARGIN_S = 0.2
NEVER = Instant(float('-inf'))


@ingress_services.register('discovery')
class Discovery:
    """Keeps the known servers and selects those that may get new requests.

    Attributes:
        removals: Latest removals. Records before them are outdated, but may
            still arrive.
        confirmed_at: When the latest read that showed this list to be current
            was sent, by this host or another one.
        digest: Checksum of the list, compared between hosts.
        recovered_at: When the store answered again after an outage.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.servers: dict[BackendServerId, KnownServer] = {}
        self.by_service: dict[ServiceId, list[KnownServer]] = {}
        self.removals = Removals()
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
        renewed = KnownServer(
            entry.server,
            entry.service,
            entry.leaving,
            Statement(entry.started_ms, entry.sequence),
            position,
            Instant(now + entry.warmup_left),
        )
        previous = known or self.removals.by_server.get(server_id)
        if previous is not None and is_old_copy(renewed, previous):
            renewed = self.merge_old_copy(renewed, known, now)
        started_ms = renewed.statement.started_ms
        if known is not None and known.statement.started_ms != started_ms:
            self.forget_process(server_id)
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
            self.removals.record(server_id, position)
            return False
        self.remove_known(known, position, now)
        self.rebuild_index()
        return True

    def merge_old_copy(
        self, copied: KnownServer, known: KnownServer | None, now: Instant
    ) -> KnownServer:
        """Returns what is known of a server whose entry is an older copy.

        The server may have gone since the copy was made. If it is gone, the
        copy expires; if not, it need not write its entry again.

        Args:
            copied: What the copy says.
            known: What was known before, or None if the server was removed.
            now: Present time.
        """
        lifetime = ENTRY_INTERVALS * self.kernel.settings.server_heartbeat
        restored_at = self.kernel.service('store-era').restored_at or now
        held_until = Instant(
            restored_at + lifetime + self.kernel.settings.bounds.drain
        )
        if known is None:
            return replace(copied, held_until=held_until)
        return replace(
            known,
            position=copied.position,
            leaving=known.leaving or copied.leaving,
            expires_at=None,
            held_until=held_until if known.expires_at else known.held_until,
        )

    def remove_known(
        self, known: KnownServer, position: Position, now: Instant
    ) -> None:
        """Drops a server without an entry, at once or if it stays away.

        After the store's return, the server may be alive: its entry expired
        during the outage, or was lost.
        """
        if not self.is_recovering(now) or not known.is_usable(now):
            self.forget(known.server.id, position)
            return
        known.position = position
        bound = self.kernel.settings.bounds.drain - SEND_MARGIN_S
        known.expires_at = Instant(
            min(self.returned_at + REREGISTRATION_S, now + bound)
        )

    def is_outdated(
        self, server_id: BackendServerId, position: Position
    ) -> bool:
        """Returns whether a record of a server, or a newer one, was applied."""
        known = self.servers.get(server_id)
        if known is not None and known.position >= position:
            return True
        return self.removals.covers(server_id, position)

    def forget(self, server_id: BackendServerId, position: Position) -> None:
        """Drops a server whose entry was removed at a position."""
        known = self.servers.pop(server_id)
        self.forget_process(server_id)
        self.removals.record(server_id, position, known.statement)

    def forget_process(self, server_id: BackendServerId) -> None:
        """Drops what is known of a process that left or was restarted."""
        self.kernel.service('health').forget(server_id)
        self.kernel.service('server-limits').forget(server_id)

    def remove_unlisted(
        self, listed: set[BackendServerId], end: Position, now: Instant
    ) -> None:
        """Removes servers that are missing from a complete read of the topic.

        Args:
            listed: Servers with a record in the read.
            end: End of the topic before the read; servers with newer records
                are kept.
            now: Present time.
        """
        removed = [
            (server_id, known)
            for server_id, known in self.servers.items()
            if server_id not in listed and known.position < end
        ]
        # The removal lies before the end.
        position = Position(end.era, end.offset - 1)
        for server_id, known in removed:
            if known.position.era < end.era:
                self.remove_known(known, position, now)
            else:
                self.forget(server_id, position)
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

    @property
    def returned_at(self) -> Instant:
        """When the store last came back from an outage or from a copy."""
        restored_at = self.kernel.service('store-era').restored_at
        times = (self.recovered_at, restored_at)
        return max((when for when in times if when is not None), default=NEVER)

    def is_recovering(self, now: Instant) -> bool:
        """Returns whether entries may be missing after the store's return."""
        return now - self.returned_at < REREGISTRATION_S

    def rebuild_index(self) -> None:
        """Groups the servers by service and computes the digest.

        A server whose removal is in doubt is not part of the digest: hosts that
        have dropped it have the same list.
        """
        lines = sorted(
            f'{server_id} {known.service} {known.leaving}'
            f' {known.statement.started_ms} {known.server.address}'
            for server_id, known in self.servers.items()
            if known.expires_at is None
        )
        self.digest = zlib.crc32('\n'.join(lines).encode())
        self.by_service = {}
        for known in self.servers.values():
            self.by_service.setdefault(known.service, []).append(known)

    def usable(self, service: ServiceId, now: Instant) -> list[KnownServer]:
        """Returns the servers of a service that may get new requests."""
        announcements = self.kernel.service('announcements')
        return [
            known
            for known in self.by_service.get(service, ())
            if announcements.allow_use(known, now)
        ]

    def is_usable(self, server_id: BackendServerId, now: Instant) -> bool:
        """Returns whether a server may get new requests."""
        known = self.servers.get(server_id)
        announcements = self.kernel.service('announcements')
        return known is not None and announcements.allow_use(known, now)
