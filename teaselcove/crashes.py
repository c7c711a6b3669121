"""Requests that crash each server that runs them."""

from collections import OrderedDict

import msgspec

from teaselcove.ids import BackendServerId, Instant
from teaselcove.messages import message

BLOCKED_S = 60
# Crashes of one request further apart than this are taken as unrelated.
CRASH_WINDOW_S = 60
# Servers that one request may hurt before it is refused.
MAX_HURT = 2
MAX_ENTRIES = 1024
# A request that completed this long ago in seconds or less is not the cause of
# a crash: popular look-ups are often running at several servers that crash.
RECENT_COMPLETION_S = 10


@message('crash-suspect')
class CrashSuspected(msgspec.Struct, frozen=True):
    """The server that ran a request reset its connection.

    Attributes:
        digest: Digest of method, path and body of the request.
    """

    digest: bytes
    server: BackendServerId


@message('crash-block')
class CrashBlocked(msgspec.Struct, frozen=True):
    """A request has hurt two servers and must not run again.

    Attributes:
        duration: Seconds to refuse it.
    """

    digest: bytes
    duration: float


@message('crash-clear')
class CrashCleared(msgspec.Struct, frozen=True):
    """A server has completed a request that was suspected.

    Look-ups that many callers make alike are often running when a server
    crashes, and must not be refused because of that.
    """

    digest: bytes


class Suspect(msgspec.Struct):
    """A request that was running when its server reset the connection.

    Attributes:
        crashed_servers: When each server did so.
        innocent: Whether a server has completed the request since.
    """

    crashed_servers: dict[BackendServerId, Instant]
    innocent: bool = False


class CrashTable:
    """What one host knows about crashing requests, in bounded memory.

    Attributes:
        max_hurt: Servers that one request may hurt before it is refused.
        completed: When each request was last completed here.
    """

    def __init__(self, max_hurt: int = MAX_HURT) -> None:
        self.max_hurt = max_hurt
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.blocked: OrderedDict[bytes, Instant] = OrderedDict()
        self.completed: OrderedDict[bytes, Instant] = OrderedDict()

    def record_completion(self, digest: bytes, now: Instant) -> None:
        """Notes that a server has completed a request."""
        self.completed[digest] = now
        self.completed.move_to_end(digest)
        if len(self.completed) > MAX_ENTRIES:
            self.completed.popitem(last=False)

    def completed_recently(self, digest: bytes, now: Instant) -> bool:
        """Returns whether a server has completed a request lately."""
        completed = self.completed.get(digest)
        return completed is not None and now - completed <= RECENT_COMPLETION_S

    def record_crash(
        self, digest: bytes, server: BackendServerId, now: Instant
    ) -> bool:
        """Notes a crash; returns whether the request is to be blocked.

        Args:
            digest: The request.
            server: The server that reset the connection.
            now: Present time.
        """
        suspect = self.suspects.pop(digest, None)
        if suspect is None or self.is_old(suspect, now):
            suspect = Suspect({}, innocent=self.completed_recently(digest, now))
        suspect.crashed_servers[server] = now
        self.suspects[digest] = suspect
        if len(self.suspects) > MAX_ENTRIES:
            self.suspects.popitem(last=False)
        return (
            len(suspect.crashed_servers) >= self.max_hurt
            and not suspect.innocent
        )

    def is_old(self, suspect: Suspect, now: Instant) -> bool:
        """Returns whether all crashes of a suspect are long ago."""
        return max(suspect.crashed_servers.values()) < now - CRASH_WINDOW_S

    def crashed_servers(self, digest: bytes) -> frozenset[BackendServerId]:
        """Returns the servers that crashed while they ran a request."""
        suspect = self.suspects.get(digest)
        return frozenset(suspect.crashed_servers if suspect else ())

    def clear(self, digest: bytes) -> bool:
        """Notes that a server has completed a request.

        Returns:
            Whether the request was suspected until now.
        """
        if not self.is_suspect(digest):
            return False
        self.suspects[digest].innocent = True
        self.blocked.pop(digest, None)
        return True

    def block(self, digest: bytes, until: Instant) -> None:
        """Refuses a request for some time, unless it is known as innocent."""
        suspect = self.suspects.get(digest)
        if suspect is not None and suspect.innocent:
            return
        self.blocked[digest] = until
        self.blocked.move_to_end(digest)
        if len(self.blocked) > MAX_ENTRIES:
            self.blocked.popitem(last=False)

    def is_blocked(self, digest: bytes, now: Instant) -> bool:
        """Returns whether a request is to be refused."""
        return self.blocked.get(digest, now) > now

    def is_suspect(self, digest: bytes) -> bool:
        """Returns whether a request has hurt a server and not completed."""
        suspect = self.suspects.get(digest)
        return suspect is not None and not suspect.innocent
