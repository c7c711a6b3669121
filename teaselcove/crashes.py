"""Detects requests that crash each server that runs them."""

from collections import OrderedDict

import msgspec

from teaselcove.ids import BackendServerId, Instant
from teaselcove.messages import message

# Seconds for which a request is blocked.
BLOCKED_S = 60
# Seconds after which crashes during the same request count as unrelated.
CRASH_WINDOW_S = 60
# Servers that one request may crash before it is refused.
MAX_CRASHED_SERVERS = 2
# Maximum number of entries in each table.
MAX_ENTRIES = 1024
# Seconds after a completion during which the same request is not taken for the
# cause of a crash: popular requests often run at several servers that crash.
RECENT_COMPLETION_S = 10


@message('crash-suspect')
class CrashSuspected(msgspec.Struct, frozen=True):
    """Reports that a server reset the connection of a request.

    Attributes:
        digest: Digest of method, path and body of the request.
    """

    digest: bytes
    server: BackendServerId


@message('crash-block')
class CrashBlocked(msgspec.Struct, frozen=True):
    """Asks the receiver to refuse a request that crashed two servers.

    Attributes:
        duration: Seconds for which to refuse the request.
    """

    digest: bytes
    duration: float


@message('crash-clear')
class CrashCleared(msgspec.Struct, frozen=True):
    """Reports that a server completed a suspected request.

    Identical requests of many callers are often running when a server crashes,
    and must not be refused because of that.
    """

    digest: bytes


class Suspect(msgspec.Struct):
    """A request that was running when its server reset the connection.

    Attributes:
        crashed_servers: Time of the latest reset by each server.
        cleared: Whether a server has completed the request since.
    """

    crashed_servers: dict[BackendServerId, Instant]
    cleared: bool = False


class CrashTable:
    """Suspected, blocked and completed requests, in bounded memory.

    Attributes:
        max_crashed_servers: Servers that one request may crash before it is
            refused.
        suspects: Requests whose connections were reset, by digest.
        blocked: Until when each blocked request is refused.
        completed: When each request was last completed at this host.
    """

    def __init__(self, max_crashed_servers: int = MAX_CRASHED_SERVERS) -> None:
        self.max_crashed_servers = max_crashed_servers
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.blocked: OrderedDict[bytes, Instant] = OrderedDict()
        self.completed: OrderedDict[bytes, Instant] = OrderedDict()

    def record_completion(self, digest: bytes, now: Instant) -> None:
        """Records that a server completed a request."""
        self.completed[digest] = now
        self.completed.move_to_end(digest)
        if len(self.completed) > MAX_ENTRIES:
            self.completed.popitem(last=False)

    def completed_recently(self, digest: bytes, now: Instant) -> bool:
        """Returns whether a server recently completed a request."""
        completed = self.completed.get(digest)
        return completed is not None and now - completed <= RECENT_COMPLETION_S

    def record_crash(
        self, digest: bytes, server: BackendServerId, now: Instant
    ) -> bool:
        """Records a crash; returns whether the request is to be blocked.

        Args:
            digest: Digest of the request.
            server: The server that reset the connection.
            now: Present time.
        """
        suspect = self.suspects.pop(digest, None)
        if suspect is None or self.is_expired(suspect, now):
            suspect = Suspect({}, cleared=self.completed_recently(digest, now))
        suspect.crashed_servers[server] = now
        self.suspects[digest] = suspect
        if len(self.suspects) > MAX_ENTRIES:
            self.suspects.popitem(last=False)
        return (
            len(suspect.crashed_servers) >= self.max_crashed_servers
            and not suspect.cleared
        )

    def is_expired(self, suspect: Suspect, now: Instant) -> bool:
        """Returns whether all crashes of a suspect have expired."""
        return max(suspect.crashed_servers.values()) < now - CRASH_WINDOW_S

    def crashed_servers(self, digest: bytes) -> frozenset[BackendServerId]:
        """Returns the servers that crashed while running a request."""
        suspect = self.suspects.get(digest)
        return frozenset(suspect.crashed_servers if suspect else ())

    def clear(self, digest: bytes) -> bool:
        """Clears a request that a server completed from suspicion.

        Returns:
            Whether the request was suspected.
        """
        if not self.is_suspect(digest):
            return False
        self.suspects[digest].cleared = True
        self.blocked.pop(digest, None)
        return True

    def block(self, digest: bytes, until: Instant) -> None:
        """Blocks a request until a time, unless it was cleared."""
        suspect = self.suspects.get(digest)
        if suspect is not None and suspect.cleared:
            return
        self.blocked[digest] = until
        self.blocked.move_to_end(digest)
        if len(self.blocked) > MAX_ENTRIES:
            self.blocked.popitem(last=False)

    def is_blocked(self, digest: bytes, now: Instant) -> bool:
        """Returns whether a request is blocked."""
        return self.blocked.get(digest, now) > now

    def is_suspect(self, digest: bytes) -> bool:
        """Returns whether a request is a suspect and was not cleared."""
        suspect = self.suspects.get(digest)
        return suspect is not None and not suspect.cleared
