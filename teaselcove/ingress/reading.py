"""Which host reads the store for its availability zone.

Load: calls of the store are limited and priced, and hosts are many. One host
of each zone waits for new configurations and reads the backend servers, and
passes on what it finds. The others call the store only while no reader of
their zone vouches for its contact with the store.
"""

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.members import SETTLE_S, SILENCE_S
from teaselcove.kernel import Kernel

# A host that the store has refused is no reader for this long.
LOST_S = 10
# Age in seconds of the reader's last contact with the store at which a host
# waits for configurations itself. A reader that works vouches at least each
# 1.4 s (its interval and a heartbeat); a change must be in force after 2 s.
FOLLOW_AGE_S = 1.5
# Time in seconds after the start of a process by which a reader vouches.
FOLLOW_START_S = 3


@ingress_services.register('reading')
class Reading:
    """Keeps how this host and its reader reach the store.

    Attributes:
        heard_at: When the store last answered this host.
        lost_at: When it was last found to be away.
        contact_at: When the latest read was sent that it answered.
        followed_at: Time on the own clock as of which the reader of the zone
            was in contact with the store.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.heard_at: Instant | None = None
        self.lost_at = Instant(float('-inf'))
        self.contact_at: Instant | None = None
        self.followed_at = Instant(float('-inf'))

    def heard(self, now: Instant) -> None:
        """Notes an answer of the store."""
        self.heard_at = now
        self.lost_at = Instant(float('-inf'))

    def lost(self, now: Instant) -> None:
        """Notes that the store does not answer this host."""
        self.lost_at = now

    def contact(self, asked_at: Instant) -> None:
        """Notes when a read was sent that the store has answered."""
        self.contact_at = max(self.contact_at or asked_at, asked_at)

    def followed(self, as_of: Instant) -> None:
        """Notes as of when the reader of the zone followed the store."""
        self.followed_at = max(self.followed_at, as_of)

    def hears_store(self, now: Instant) -> bool:
        """Returns whether the store answered lately."""
        heard = self.heard_at
        return heard is not None and now - heard < 2 * SILENCE_S

    def can_read(self, now: Instant) -> bool:
        """Returns whether the store has not refused this host lately."""
        return now - self.lost_at > LOST_S

    def is_reader(self, now: Instant) -> bool:
        """Returns whether this host reads for its zone.

        The first host does whose reads the store has not refused lately. One
        that has just started does not yet know the others, and all hosts may
        have started together.
        """
        members = self.kernel.service('members')
        if now - members.started_at < SETTLE_S or not self.can_read(now):
            return False
        for record in members.in_order(now):
            if record == members.own:
                return True
            if members.peers[record.host].can_read:
                return False
        return False

    def must_follow(self, now: Instant) -> bool:
        """Returns whether this host has to wait for new configurations."""
        if self.is_reader(now):
            return True
        started_at = self.kernel.service('members').started_at
        if now - started_at < FOLLOW_START_S:
            return False
        return now - self.followed_at > FOLLOW_AGE_S

    def followed_as_of(self, host: HostId, vouches: bool) -> Instant | None:
        """Returns the time on a host's clock that this host vouches for.

        Args:
            host: The host.
            vouches: Whether this host reads for its zone and the other one is
                of the same zone.
        """
        if not vouches:
            return None
        return self.kernel.service('vouching').time_for(host, self.contact_at)
