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

# Seconds that a long poll waits, below the store's maximum of 30 s. Keep-alive
# probes detect dead connections sooner.
POLL_WAIT_S = 28
# Seconds for which a host cannot be the reader after its reads failed.
UNREACHABLE_READER_S = 10
# Age in seconds of the reader's last contact with the store from which on a
# host long polls for configurations itself. A working reader confirms its
# contact at least every 1.4 s (its interval and a heartbeat); a change must
# take effect within 2 s.
FOLLOW_AGE_S = 1.5
# The same for a host that is no hub: the hubs that it follows take over from a
# reader that fails, and pass the change on.
FOLLOWER_AGE_S = 3
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
        for record in self.kernel.service('hubs').current(now):
            if record == members.own:
                return True
            peer = members.peers.get(record.host)
            if peer is None or peer.can_read:
                return False
        return False

    def passes_on(self, is_first: bool, now: Instant) -> bool:
        """Returns whether this host sends a configuration to its zone.

        Hubs other than the reader read one only if the reader fails to, or
        after their start.

        Args:
            is_first: Whether it is the first configuration since the start.
            now: Present time.
        """
        is_hub = self.kernel.service('hubs').is_hub(now)
        return self.is_reader(now) or (is_hub and not is_first)

    def must_follow(self, now: Instant) -> bool:
        """Returns whether this host has to long poll for configurations."""
        if self.is_reader(now):
            return True
        members = self.kernel.service('members')
        if now - members.started_at < FOLLOW_START_S:
            return False
        has_hubs = bool(members.live(members.zone, now))
        follows = has_hubs and not self.kernel.service('hubs').is_hub(now)
        limit = FOLLOWER_AGE_S if follows else FOLLOW_AGE_S
        return now - self.followed_at > limit

    def poll_wait(self, is_first: bool, now: Instant) -> float | None:
        """Returns the seconds that a poll may wait, or None for no poll.

        Args:
            is_first: Whether nothing was read yet.
            now: Present time.
        """
        if is_first or self.can_confirm_first(now):
            return 0
        return POLL_WAIT_S if self.must_follow(now) else None

    def can_confirm_first(self, now: Instant) -> bool:
        """Returns whether a version can be confirmed that never was before."""
        catalog = self.kernel.service('catalog')
        unconfirmed = catalog.version > 0 and catalog.confirmed_at is None
        knows_fleet = self.kernel.service('members').knows_fleet(now)
        return unconfirmed and knows_fleet and not catalog.is_behind

    def followed_as_of(
        self, host: HostId, passes_on: bool, now: Instant
    ) -> Instant | None:
        """Returns when the zone was last known to be in contact with the store.

        Args:
            host: The host on whose clock the time is given.
            passes_on: Whether this host passes changes on to the other one; the
                result is None otherwise.
            now: Present time.
        """
        if not passes_on:
            return None
        as_of = self.followed_at
        if self.is_reader(now) and self.contacted_at is not None:
            as_of = max(as_of, self.contacted_at)
        return self.kernel.service('vouching').as_of_time(host, as_of)
