"""Heartbeats between hosts: message, packed entries and peer graph."""

import bisect
import hashlib
import struct
from collections.abc import Collection, Iterable
from functools import lru_cache
from itertools import count

import msgspec

from teaselcove.ids import HostId, Incarnation, Version
from teaselcove.messages import message

HEARTBEAT_INTERVAL_S = 1

# Number of rings; each host sends to its successor in each of them. One ring
# connects all hosts; eight keep the rounds few and the traffic bounded.
PEER_COUNT = 8
POSITION_BYTES = 8
POSITIONS = struct.Struct(f'>{PEER_COUNT}Q')

# Entries of other hosts in a heartbeat: 24 entries of 5 bytes to 8 peers are
# 960 bytes/s, a third of the budget for control messages.
RECENT_ENTRIES = 24
ENTRY = struct.Struct('>HBH')
TAG_BITS = 24
LOW_TAG_BITS = 8
COUNTER_SPAN = 1 << 15
LEAVING_BIT = COUNTER_SPAN
POSITION_CACHE = 8192


class Introduction(msgspec.Struct, frozen=True, array_like=True):
    """The process that runs on a host, according to the sender.

    Attributes:
        generation: Orders the incarnations of a host; see `membership`.
    """

    host: HostId
    incarnation: Incarnation
    generation: int


@message('heartbeat')
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of a host, with its configuration and load.

    Attributes:
        counter: Increases with each heartbeat of an incarnation.
        version: Version of the configuration in force at the sender.
        digest: Digest of that configuration.
        generation: Orders the incarnations of the sender.
        leaving: Whether the sender drains.
        load: Requests in flight at the sender.
        recent: Packed entries of hosts that were alive recently.
        introduction: The process that runs on some host, or None.
    """

    counter: int
    version: Version
    digest: int
    generation: int = 0
    leaving: bool = False
    load: int = 0
    recent: bytes = b''
    introduction: Introduction | None = None


class RecentEntry(msgspec.Struct, frozen=True):
    """Latest heartbeat counter of a host, as forwarded to peers.

    Attributes:
        tag: Short hash of host and incarnation.
        counter: The host's latest counter, modulo `COUNTER_SPAN`.
        leaving: Whether the host drains.
    """

    tag: int
    counter: int
    leaving: bool


def entry_tag(host: HostId, incarnation: Incarnation) -> int:
    """Returns the short hash that identifies a process in entries."""
    digest = hashlib.blake2b(
        f'{host}/{incarnation}'.encode(), digest_size=TAG_BITS // 8
    ).digest()
    return int.from_bytes(digest, 'big')


def pack_entries(entries: Iterable[RecentEntry]) -> bytes:
    """Returns entries in wire format."""
    return b''.join(pack_entry(entry) for entry in entries)


def pack_entry(entry: RecentEntry) -> bytes:
    """Returns an entry in wire format."""
    high, low = divmod(entry.tag, 1 << LOW_TAG_BITS)
    return ENTRY.pack(high, low, entry.counter + entry.leaving * LEAVING_BIT)


def unpack_entries(packed: bytes) -> list[RecentEntry]:
    """Decodes entries in wire format; ignores an incomplete last one."""
    whole = len(packed) - len(packed) % ENTRY.size
    return [
        RecentEntry(
            (high << LOW_TAG_BITS) | low,
            counter % COUNTER_SPAN,
            bool(counter & LEAVING_BIT),
        )
        for high, low, counter in ENTRY.iter_unpack(packed[:whole])
    ]


def is_newer(counter: int, known: int | None) -> bool:
    """Returns whether a counter is newer, modulo `COUNTER_SPAN`."""
    if known is None:
        return True
    ahead = (counter - known) % COUNTER_SPAN
    return 0 < ahead < COUNTER_SPAN // 2


@lru_cache(POSITION_CACHE)
def ring_positions(host: HostId) -> tuple[int, ...]:
    """Returns the rendezvous score of a host in each ring."""
    digest = hashlib.blake2b(
        host.encode(), digest_size=PEER_COUNT * POSITION_BYTES
    ).digest()
    return POSITIONS.unpack(digest)


class PeerGraph:
    """Graph of the listed hosts along which heartbeats are sent.

    Each of several rings orders the hosts by rendezvous score, and a host
    sends to its successors. Each ring is a cycle through all hosts, so the
    graph is connected; with eight peers chosen independently, about one host
    in 3,000 would have no sender.
    """

    def __init__(self, hosts: Collection[HostId]) -> None:
        self.hosts = sorted(hosts)
        self.rings = [
            sorted((ring_positions(host)[ring], host) for host in hosts)
            for ring in range(PEER_COUNT)
        ]

    def peers(self, own: HostId) -> list[HostId]:
        """Returns the hosts that a host sends to."""
        others = [host for host in self.hosts if host != own]
        if len(others) <= PEER_COUNT:
            return others
        peers: list[HostId] = []
        for ring in range(PEER_COUNT):
            peers.append(self.successor(ring, own, peers))
        return peers

    def successor(self, ring: int, own: HostId, taken: list[HostId]) -> HostId:
        """Returns the next host of a ring that is not yet a peer."""
        order = self.rings[ring]
        place = bisect.bisect_right(order, (ring_positions(own)[ring], own))
        following = (order[index % len(order)][1] for index in count(place))
        return next(
            host for host in following if host != own and host not in taken
        )
