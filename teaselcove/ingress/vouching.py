"""Confirms to other hosts how recent the state read from the store is.

Each heartbeat carries the time on its sender's clock. The host that reads the
store records when the heartbeat arrived. If it sends a read after that, the
result is at least as recent as the heartbeat, so it returns the heartbeat's
time to the sender. Delayed messages and different clocks make the state look
older, never newer.
"""

from collections import deque

import msgspec

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Heartbeats kept per host, which cover the last few seconds.
MAX_HEARTBEATS_PER_HOST = 8


class ReceivedHeartbeat(msgspec.Struct, frozen=True):
    """When a heartbeat was sent and received.

    Attributes:
        received_at: Time on the clock of this host.
        sent_at: Time on the clock of its sender.
    """

    received_at: Instant
    sent_at: Instant


@ingress_services.register('vouching')
class Vouching:
    """Converts the times of reads to the clocks of other hosts."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.heartbeats: dict[HostId, deque[ReceivedHeartbeat]] = {}

    def record_heartbeat(
        self, host: HostId, sent_at: Instant, now: Instant
    ) -> None:
        """Records a heartbeat."""
        heartbeats = self.heartbeats.setdefault(
            host, deque(maxlen=MAX_HEARTBEATS_PER_HOST)
        )
        if heartbeats and heartbeats[-1].sent_at > sent_at:
            # The sender's machine was restarted, and with it its clock.
            heartbeats.clear()
        heartbeats.append(ReceivedHeartbeat(now, sent_at))

    def as_of_time(
        self, host: HostId, asked_at: Instant | None
    ) -> Instant | None:
        """Returns the time on a host's clock as of which a read is current.

        Args:
            host: The host on whose clock the time is given.
            asked_at: When the read was sent, on the clock of this host.
        """
        if asked_at is None:
            return None
        for heartbeat in reversed(self.heartbeats.get(host, ())):
            if heartbeat.received_at <= asked_at:
                return heartbeat.sent_at
        return None
