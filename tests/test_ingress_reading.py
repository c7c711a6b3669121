"""Tests of which host reads the store for its zone."""

import asyncio
from typing import Any

from teaselcove.ids import Instant
from teaselcove.ingress.entities import (
    IngressConfiguration,
    KeyedRecord,
    RecordPage,
)
from teaselcove.ingress.freshness import FOLLOW_CHECK_INTERVAL_S, Freshness
from teaselcove.ingress.peer_messages import ConfigurationNews
from teaselcove.ingress.reading import (
    FOLLOW_AGE_S,
    FOLLOW_START_S,
    UNREACHABLE_READER_S,
)
from teaselcove.kernel import Kernel
from teaselcove.messages import decode, encode
from teaselcove.platform.records import decode_configuration
from tests.ingress_support import configuration, host_record, make_kernel

HEARD = (host_record('host-1'), host_record('host-2'))


def receive_heartbeat(
    kernel: Kernel, host: str, now: float, can_read: bool = True
) -> None:
    """Simulates the heartbeat of an older host of the zone."""
    record = host_record(host, started_ms=-60_000)
    kernel.service('members').record_heartbeat(
        record, False, False, HEARD, Instant(now), can_read
    )


class TestReader:
    """Selection of the reader of a zone."""

    def test_oldest_host_reads(self) -> None:
        """Guards against several readers and against none."""
        kernel = make_kernel()
        reading = kernel.service('reading')
        assert reading.is_reader(Instant(10))
        receive_heartbeat(kernel, 'host-2', 10)
        assert not reading.is_reader(Instant(10))

    def test_refused_reader_steps_down(self) -> None:
        """Guards against a reader whose reads the store refuses."""
        kernel = make_kernel()
        reading = kernel.service('reading')
        receive_heartbeat(kernel, 'host-2', 10, can_read=False)
        assert reading.is_reader(Instant(10))
        reading.record_failure(Instant(10))
        assert not reading.is_reader(Instant(10))
        receive_heartbeat(
            kernel, 'host-2', 10 + UNREACHABLE_READER_S, can_read=False
        )
        assert reading.is_reader(Instant(10.1 + UNREACHABLE_READER_S))

    def test_host_not_in_use_takes_over(self) -> None:
        """Guards against a zone without a reader while a host can read."""
        kernel = make_kernel(hosts_in_use=1)
        receive_heartbeat(kernel, 'host-2', 10, can_read=False)
        assert not kernel.service('hubs').is_in_use(Instant(10))
        assert kernel.service('reading').is_reader(Instant(10))


class TestFollowing:
    """When a host long polls for configurations itself."""

    def test_reader_that_fell_silent(self) -> None:
        """Guards against missing a change because the reader went silent."""
        kernel = make_kernel()
        reading = kernel.service('reading')
        receive_heartbeat(kernel, 'host-2', 10)
        reading.record_followed(Instant(10))
        assert not reading.must_follow(Instant(10 + FOLLOW_AGE_S))
        receive_heartbeat(kernel, 'host-2', 11)
        assert reading.must_follow(Instant(10.1 + FOLLOW_AGE_S))

    def test_start_of_all_hosts(self) -> None:
        """Guards against long polls by all hosts before a reader confirms."""
        kernel = make_kernel()
        reading = kernel.service('reading')
        receive_heartbeat(kernel, 'host-2', FOLLOW_START_S)
        assert not reading.must_follow(Instant(FOLLOW_START_S - 0.1))
        assert reading.must_follow(Instant(FOLLOW_START_S))

    def test_only_the_reader_confirms(self) -> None:
        """Guards against relying on a host that passes on no changes."""
        kernel = make_kernel()
        reading = kernel.service('reading')
        kernel.service('vouching').record_heartbeat(
            'host-2', Instant(50), Instant(9)
        )
        reading.record_contact(Instant(9.5))
        now = Instant(10)
        assert reading.followed_as_of('host-2', True, now) == Instant(50)
        assert reading.followed_as_of('host-2', False, now) is None


class OneVersionStore:
    """A store with one configuration that counts reads."""

    def __init__(self) -> None:
        self.reads = 0

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Finds nothing new."""
        self.reads += 1
        await asyncio.sleep(wait)
        return RecordPage((), offset, asked_at)

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the configuration."""
        self.reads += 1
        record = KeyedRecord('config', configuration(), 0)
        return RecordPage((record,), 1, asked_at)


class DiscardedHeartbeats:
    """Discards heartbeats."""

    on_newer_version: Any = None

    def send_heartbeats(self, now: Instant) -> None:
        """Discards them."""


class RecordingGossip:
    """Records the configurations that are sent."""

    def __init__(self) -> None:
        self.sent: list[IngressConfiguration] = []

    def send_configuration(self, newest: IngressConfiguration) -> None:
        """Records a configuration."""
        self.sent.append(newest)

    heartbeats = DiscardedHeartbeats()


async def follow(freshness: Freshness) -> None:
    """Runs the loop that reads configurations for a few checks."""
    work = asyncio.get_running_loop().create_task(
        freshness.follow_configuration()
    )
    await asyncio.sleep(5 * FOLLOW_CHECK_INTERVAL_S)
    work.cancel()


class TestCalls:
    """Reads of the store and the messages that replace them."""

    def test_host_with_a_reader_reads_once(self) -> None:
        """Guards against long polls by every host."""
        kernel = make_kernel()
        receive_heartbeat(kernel, 'host-2', float('inf'))
        kernel.service('reading').record_followed(Instant(float('inf')))
        store = OneVersionStore()
        gossip = RecordingGossip()
        asyncio.run(follow(Freshness(kernel, store, gossip)))
        assert (store.reads, gossip.sent) == (1, [])

    def test_reader_sends_configuration(self) -> None:
        """Guards against a reader that does not send what it has read."""
        kernel = make_kernel()
        store = OneVersionStore()
        gossip = RecordingGossip()
        asyncio.run(follow(Freshness(kernel, store, gossip)))
        assert [item.version for item in gossip.sent] == [1]
        assert store.reads == 2

    def test_message_round_trip(self) -> None:
        """Guards against fields lost in a message between hosts."""
        newest = decode_configuration(configuration())
        news = ConfigurationNews(newest)
        assert decode(encode(news)) == news
