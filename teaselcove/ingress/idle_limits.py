"""For how long a kept connection may be idle and still be used.

Load: servers that forget idle connections sooner than they announce, without
a sign. What is sent next is reset, and for a request that may run once it is
then unknown whether it ran.
"""

from teaselcove.ids import Instant

# Kept connections are used up to this share of the idle time that the
# server announced, or up to the default if it did not.
IDLE_SHARE = 0.6
DEFAULT_IDLE_S = 3
# The same for requests that may run once.
ONCE_IDLE_S = 1.5
# After a connection was lost while idle, none is used that was idle for more
# than this share of that time, for a while.
LEARNED_SHARE = 0.4
MIN_LEARNED_S = 0.08
LEARNED_FOR_S = 10


class IdleLimits:
    """Limits that shrink after connections were lost while idle.

    Attributes:
        learned: The limit in seconds that a loss has taught.
        learned_until: When it ends.
    """

    def __init__(self) -> None:
        self.learned = float('inf')
        self.learned_until = Instant(0)

    def record_loss(self, idle: float, now: Instant) -> None:
        """Notes that a connection was lost after an idle time in seconds."""
        if now >= self.learned_until:
            self.learned = float('inf')
        limit = max(MIN_LEARNED_S, LEARNED_SHARE * idle)
        self.learned = min(self.learned, limit)
        self.learned_until = Instant(now + LEARNED_FOR_S)

    def limit(
        self, announced: float | None, idempotent: bool, now: Instant
    ) -> float:
        """Returns for how many seconds a connection may have been idle.

        Args:
            announced: Idle time that the server announced, or None.
            idempotent: Whether the request may be repeated.
            now: Present time.
        """
        limit = float(DEFAULT_IDLE_S)
        if announced is not None:
            limit = announced * IDLE_SHARE
        if not idempotent:
            limit = min(limit, ONCE_IDLE_S)
        if now < self.learned_until:
            limit = min(limit, self.learned)
        return limit
