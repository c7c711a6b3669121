"""Lets a host that reads the store vouch for the beliefs of others.

A host sends the time on its own clock with each heartbeat. The reader keeps
when the heartbeat arrived. A read that it sent after that proves that its
beliefs were the newest at a time not before the heartbeat was sent, so it
returns that time. Delayed messages and different clocks make a vouched belief
look older, never fresher.
"""

from collections import deque

import msgspec

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Heartbeats to keep of each host: those of the last few seconds.
KEPT = 8


class Heard(msgspec.Struct, frozen=True):
    """A heartbeat.

    Attributes:
        received_at: On the clock of this host.
        sent_at: On the clock of its sender.
    """

    received_at: Instant
    sent_at: Instant


@ingress_services.register('vouching')
class Vouching:
    """Keeps when heartbeats of other hosts were sent and received."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.heard: dict[HostId, deque[Heard]] = {}

    def note(self, host: HostId, sent_at: Instant, now: Instant) -> None:
        """Notes a heartbeat."""
        heard = self.heard.setdefault(host, deque(maxlen=KEPT))
        if heard and heard[-1].sent_at > sent_at:
            # The clock of a host that has restarted its machine.
            heard.clear()
        heard.append(Heard(now, sent_at))

    def time_for(
        self, host: HostId, asked_at: Instant | None
    ) -> Instant | None:
        """Returns the time, on a host's clock, that a read vouches for.

        Args:
            host: The host.
            asked_at: When the read was sent, on the clock of this host.
        """
        if asked_at is None:
            return None
        for heard in reversed(self.heard.get(host, ())):
            if heard.received_at <= asked_at:
                return heard.sent_at
        return None
