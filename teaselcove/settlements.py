"""Ended grants that a host has yet to tell their owners."""

from teaselcove.accounts import Owner
from teaselcove.effects import Send
from teaselcove.entities import Organisation
from teaselcove.grants import SettleGrants, Settlement
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel

# Settlements wait at most this long for others to the same owner.
SETTLE_DELAY_S = 0.05
# Granted tokens leave no room to refill a small bucket until they are
# settled, so the wait is at most this share of the refill time of the burst.
SETTLE_SHARE = 0.02
SETTLE_AT_ONCE_S = 0.01


def settle_delay(declared: Organisation) -> float:
    """Returns how long a settlement may wait for others, in seconds."""
    if declared.rate <= 0:
        return 0
    refill = declared.burst / declared.rate
    delay = min(SETTLE_DELAY_S, SETTLE_SHARE * refill)
    return delay if delay >= SETTLE_AT_ONCE_S else 0


class SettlementQueue:
    """Collects settlements by owner, so that they share messages.

    Attributes:
        queues: Settlements that wait, by owner.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.queues: dict[Owner, list[Settlement]] = {}

    def add(
        self, owner: Owner, settlement: Settlement, delay: float, now: Instant
    ) -> None:
        """Adds a settlement; sends it after a delay at the latest."""
        queue = self.queues.setdefault(owner, [])
        queue.append(settlement)
        if not delay:
            self.send(owner, now)
        elif len(queue) == 1:
            self.kernel.call_at(
                Instant(now + delay), lambda later: self.send(owner, later)
            )

    def take(self, owner: Owner) -> tuple[Settlement, ...]:
        """Removes and returns the settlements of an owner."""
        return tuple(self.queues.pop(owner, ()))

    def send(self, owner: Owner, now: Instant) -> None:
        """Sends the settlements of an owner."""
        queue = self.take(owner)
        if queue:
            incarnation = self.kernel.service('membership').incarnation
            settled = SettleGrants(owner.incarnation, incarnation, queue)
            self.kernel.emit(Send(owner.host, settled))

    def clear(self) -> None:
        """Forgets all settlements; their grants expire at the owners."""
        self.queues.clear()
