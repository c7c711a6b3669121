"""Selects the host that reads the store for its availability zone.

Load: many hosts share a store whose calls are limited and cost money. One host
of each zone, the reader, long polls for new configurations, reads the backend
servers and passes on what it finds. The others call the store only while no
reader of their zone confirms that it is in contact with the store.
"""

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.members import HEARTBEAT_TIMEOUT_S, SETTLE_S
from teaselcove.kernel import Kernel

# Seconds for which a host cannot be the reader after its reads failed.
UNREACHABLE_READER_S = 10
# Age in seconds of the reader's last contact with the store from which on a
# host long polls for configurations itself. A working reader confirms its
# contact at least every 1.4 s (its interval and a heartbeat); a change must
# take effect within 2 s.
FOLLOW_AGE_S = 1.5
# Seconds after the start of a process until a reader has confirmed its contact.
FOLLOW_START_S = 3


@ingress_services.register('reading')
class Reading:
    """Tracks the contact of this host and of its reader with the store.

    Attributes:
        answered_at: When the store last answered this host.
        unreachable_at: When it was last found to be unreachable.
        contacted_at: When the latest read that it answered was sent.
        followed_at: Time on this host's clock at which the reader of the zone
            was last known to be in contact with the store.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.answered_at: Instant | None = None
        self.unreachable_at = Instant(float('-inf'))
        self.contacted_at: Instant | None = None
        self.followed_at = Instant(float('-inf'))

    def record_answer(self, now: Instant) -> None:
        """Records an answer of the store."""
        self.answered_at = now
        self.unreachable_at = Instant(float('-inf'))

    def record_failure(self, now: Instant) -> None:
        """Records that the store does not answer this host."""
        self.unreachable_at = now

    def record_contact(self, asked_at: Instant) -> None:
        """Records when a read that the store has answered was sent."""
        self.contacted_at = max(self.contacted_at or asked_at, asked_at)

    def record_followed(self, as_of: Instant) -> None:
        """Records when the reader of the zone was in contact with the store."""
        self.followed_at = max(self.followed_at, as_of)

    def is_store_reachable(self, now: Instant) -> bool:
        """Returns whether the store answered this host recently."""
        answered = self.answered_at
        return answered is not None and now - answered < 2 * HEARTBEAT_TIMEOUT_S

    def can_read(self, now: Instant) -> bool:
        """Returns whether the store was not found unreachable recently."""
        return now - self.unreachable_at > UNREACHABLE_READER_S

    def is_reader(self, now: Instant) -> bool:
        """Returns whether this host reads for its zone.

        The reader is the first ranked host that can read the store. A host
        that has just started is excluded: it does not know the others yet, and
        all hosts may have started together.
        """
        members = self.kernel.service('members')
        if now - members.started_at < SETTLE_S or not self.can_read(now):
            return False
        for record in members.ranked_hosts(now):
            if record == members.own:
                return True
            if members.peers[record.host].can_read:
                return False
        return False

    def must_follow(self, now: Instant) -> bool:
        """Returns whether this host has to long poll for configurations."""
        if self.is_reader(now):
            return True
        started_at = self.kernel.service('members').started_at
        if now - started_at < FOLLOW_START_S:
            return False
        return now - self.followed_at > FOLLOW_AGE_S

    def followed_as_of(
        self, host: HostId, reads_for_host: bool
    ) -> Instant | None:
        """Returns when this host was last in contact with the store.

        Args:
            host: The host on whose clock the time is given.
            reads_for_host: Whether this host reads for its zone and the other
                host is in the same zone; the result is None otherwise.
        """
        if not reads_for_host:
            return None
        return self.kernel.service('vouching').as_of_time(
            host, self.contacted_at
        )
