"""Batching of ended grants that a host reports to their owners."""

from teaselcove.accounts import Owner
from teaselcove.effects import Send
from teaselcove.entities import Organisation
from teaselcove.grants import SettleGrants, Settlement
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel

# Settlements for the same owner are batched for at most this long.
SETTLE_DELAY_S = 0.05
# A small bucket cannot refill until granted tokens are settled, so the delay
# is at most this share of the time in which the burst refills.
SETTLE_SHARE = 0.02
# Shorter delays are replaced by sending at once.
MIN_SETTLE_DELAY_S = 0.01


def settle_delay(declared: Organisation) -> float:
    """Returns the seconds for which a settlement may be batched."""
    if declared.rate <= 0:
        return 0
    refill = declared.burst / declared.rate
    delay = min(SETTLE_DELAY_S, SETTLE_SHARE * refill)
    return delay if delay >= MIN_SETTLE_DELAY_S else 0


class SettlementQueue:
    """Batches settlements for the same owner into one message.

    Attributes:
        queues: Settlements to be sent, by owner.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.queues: dict[Owner, list[Settlement]] = {}

    def add(
        self, owner: Owner, settlement: Settlement, delay: float, now: Instant
    ) -> None:
        """Adds a settlement, to be sent within the given delay."""
        queue = self.queues.setdefault(owner, [])
        queue.append(settlement)
        if not delay:
            self.send(owner, now)
        elif len(queue) == 1:
            self.kernel.call_at(
                Instant(now + delay), lambda later: self.send(owner, later)
            )

    def take(self, owner: Owner) -> tuple[Settlement, ...]:
        """Removes and returns the queued settlements for an owner."""
        return tuple(self.queues.pop(owner, ()))

    def send(self, owner: Owner, now: Instant) -> None:
        """Sends the queued settlements to an owner."""
        queue = self.take(owner)
        if queue:
            incarnation = self.kernel.service('membership').incarnation
            settled = SettleGrants(owner.incarnation, incarnation, queue)
            self.kernel.emit(Send(owner.host, settled))

    def clear(self) -> None:
        """Drops all settlements; the owners let these grants expire."""
        self.queues.clear()
