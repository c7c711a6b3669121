"""What backend servers ask of this host in their answers.

Load: servers that leave, or are in need for some seconds, while their entries
in the store do not say so yet, or the store cannot be read.
"""

import msgspec

from teaselcove.ids import BackendServerId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.known_servers import KnownServer
from teaselcove.kernel import Kernel

# Servers whose leaving is remembered, far more than leave while an older copy
# of their entry may come back.
MAX_LEAVING = 2048


class Announcement(msgspec.Struct, frozen=True):
    """What an answer says of its server.

    Attributes:
        leaving: Whether the server leaves.
        pause: Seconds for which it wants no request from this host, or None.
    """

    leaving: bool = False
    pause: float | None = None


class Pause(msgspec.Struct, frozen=True):
    """A pause that a server asked for.

    Attributes:
        started_ms: Start of the process of the server that asked.
    """

    started_ms: int
    until: Instant


@ingress_services.register('announcements')
class Announcements:
    """Keeps which servers leave or have asked this host for a pause.

    Both hold for the process of the server that said so: one that starts again
    under the same id knows nothing of it.

    Attributes:
        leaving: Start in Unix milliseconds of each server that leaves, oldest
            announcement first.
        pauses: Pause that each server asked for.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.leaving: dict[BackendServerId, int] = {}
        self.pauses: dict[BackendServerId, Pause] = {}

    def record_answer(
        self, known: KnownServer, announcement: Announcement, now: Instant
    ) -> None:
        """Records what an answer says of its server.

        Args:
            known: The server as it was known when the request was sent.
            announcement: What the answer says.
            now: Present time.
        """
        if announcement.leaving and not self.is_leaving(known):
            self.record_leaving(known)
        if announcement.pause is not None:
            self.record_pause(known, announcement.pause, now)

    def record_leaving(self, known: KnownServer) -> None:
        """Records that a server leaves, and drops the oldest if many do."""
        server_id = known.server.id
        self.leaving.pop(server_id, None)
        self.leaving[server_id] = known.statement.started_ms
        if len(self.leaving) > MAX_LEAVING:
            self.leaving.pop(next(iter(self.leaving)))
        self.kernel.decide(
            'server-leaving', server=server_id, service=known.service
        )

    def record_pause(
        self, known: KnownServer, seconds: float, now: Instant
    ) -> None:
        """Records a pause; one that ends later stays."""
        server_id = known.server.id
        started_ms = known.statement.started_ms
        until = Instant(now + seconds)
        before = self.pauses.get(server_id)
        if before is not None and before.started_ms == started_ms:
            until = max(until, before.until)
        self.pauses[server_id] = Pause(started_ms, until)
        self.kernel.decide('server-pause', server=server_id, seconds=seconds)

    def allow_use(self, known: KnownServer, now: Instant) -> bool:
        """Returns whether neither its entry nor an answer forbids requests."""
        return known.is_usable(now) and not self.is_leaving(known)

    def is_leaving(self, known: KnownServer) -> bool:
        """Returns whether a server has said that it leaves."""
        return self.leaving.get(known.server.id) == known.statement.started_ms

    def is_paused(self, known: KnownServer, now: Instant) -> bool:
        """Returns whether a server wants no request from this host now."""
        pause = self.pauses.get(known.server.id)
        if pause is None:
            return False
        if now >= pause.until:
            self.pauses.pop(known.server.id)
            return False
        return pause.started_ms == known.statement.started_ms
