"""Lists of hubs in heartbeats, sent only when the recipient lacks them.

The list changes seldom and would be the largest part of a heartbeat.
"""

import zlib

import msgspec

from teaselcove.ids import HostId
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.peer_messages import Heartbeat

encoder = msgspec.msgpack.Encoder()


def digest_of(hears: tuple[HostRecord, ...]) -> int:
    """Returns the checksum of a list of hosts."""
    return zlib.crc32(encoder.encode(hears))


class HubLists:
    """Tracks which lists the other hosts have sent and received.

    Attributes:
        sent: Checksum of the list last sent, by recipient.
        received: Checksum and list last received, by sender.
        missing: Hosts whose latest checksum does not match their list.
        asked: Hosts that have asked for the list of this host.
    """

    def __init__(self) -> None:
        self.sent: dict[HostId, int] = {}
        self.received: dict[HostId, tuple[int, tuple[HostRecord, ...]]] = {}
        self.missing: set[HostId] = set()
        self.asked: set[HostId] = set()

    def list_for(
        self, host: HostId, hears: tuple[HostRecord, ...]
    ) -> tuple[HostRecord, ...] | None:
        """Returns the list to send to a host, or None if it has it."""
        digest = digest_of(hears)
        if self.sent.get(host) == digest and host not in self.asked:
            return None
        self.asked.discard(host)
        self.sent[host] = digest
        return hears

    def is_wanted_from(self, host: HostId) -> bool:
        """Returns whether the list of another host is missing."""
        return host in self.missing

    def receive(self, heartbeat: Heartbeat) -> tuple[HostRecord, ...]:
        """Returns the list that the sender of a heartbeat has."""
        host = heartbeat.record.host
        if heartbeat.wants_hears:
            self.asked.add(host)
        if heartbeat.hears is not None:
            self.received[host] = heartbeat.hears_digest, heartbeat.hears
        digest, hears = self.received.get(host, (None, ()))
        if digest == heartbeat.hears_digest:
            self.missing.discard(host)
        else:
            self.missing.add(host)
        return hears
