"""Limits on the idle time of reused keep-alive connections.

Load: servers that silently drop idle connections sooner than they announce. The
next request on such a connection is reset, and for a non-idempotent request it
is then unknown whether it ran.
"""

from teaselcove.ids import Instant

# Connections are reused up to this share of the idle timeout that the server
# announced, or up to the default if it announced none.
IDLE_SHARE = 0.6
DEFAULT_IDLE_S = 3
# Maximum for non-idempotent requests.
NON_IDEMPOTENT_IDLE_S = 1.5
# After an idle connection was lost, connections are reused only up to this
# share of its idle time, for REDUCED_FOR_S.
REDUCED_SHARE = 0.4
MIN_REDUCED_S = 0.08
REDUCED_FOR_S = 10


class IdleLimits:
    """Idle limits that are reduced after idle connections were lost.

    Attributes:
        reduced: Limit in seconds after a loss.
        reduced_until: When the reduced limit ends.
    """

    def __init__(self) -> None:
        self.reduced = float('inf')
        self.reduced_until = Instant(0)

    def record_loss(self, idle: float, now: Instant) -> None:
        """Records that a connection was lost after an idle time in seconds."""
        if now >= self.reduced_until:
            self.reduced = float('inf')
        limit = max(MIN_REDUCED_S, REDUCED_SHARE * idle)
        self.reduced = min(self.reduced, limit)
        self.reduced_until = Instant(now + REDUCED_FOR_S)

    def limit(
        self, announced: float | None, idempotent: bool, now: Instant
    ) -> float:
        """Returns the longest idle time in seconds for reuse.

        Args:
            announced: Idle timeout that the server announced, or None.
            idempotent: Whether the request is idempotent.
            now: Present time.
        """
        limit = float(DEFAULT_IDLE_S)
        if announced is not None:
            limit = announced * IDLE_SHARE
        if not idempotent:
            limit = min(limit, NON_IDEMPOTENT_IDLE_S)
        if now < self.reduced_until:
            limit = min(limit, self.reduced)
        return limit
