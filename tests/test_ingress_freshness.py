"""Tests of when a host reads the store."""

import asyncio

import pytest

from teaselcove.errors import HistoryLostError, StoreUnavailableError
from teaselcove.ids import Era, Instant
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import (
    IngressConfiguration,
    KeyedRecord,
    RecordPage,
)
from teaselcove.ingress.freshness import (
    PUSH_WAIT_S,
    STORE_DOWN_FAILURES,
    Freshness,
)
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.ingress.topic_consumer import TopicConsumer
from teaselcove.platform.records import SERVERS_TOPIC
from tests.ingress_support import add_servers, configuration, make_kernel

HEARTBEATS = 50
SERVER = (
    b'{"service": "job", "address": "127.0.2.1:1", "zone": "a",'
    b' "maxConcurrency": 3, "state": "ready"}'
)


class RefusingStore:
    """A store that refuses every read."""

    def __init__(self) -> None:
        self.reads = 0

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Fails."""
        self.reads += 1
        raise StoreUnavailableError(topic)


class DiscardedHeartbeats:
    """Discards heartbeats."""

    on_newer_version = None

    def send_heartbeats(self, now: Instant) -> None:
        """Discards them."""


class DiscardingGossip:
    """Discards all messages."""

    def send_configuration(self, configuration: IngressConfiguration) -> None:
        """Discards it."""

    def send_server(self, news: ServerNews) -> None:
        """Discards it."""

    heartbeats = DiscardedHeartbeats()


async def receive_newer_versions(freshness: Freshness) -> None:
    """Simulates heartbeats from hosts with a newer version."""
    for _ in range(HEARTBEATS):
        freshness.fetch_newer_version()
        await asyncio.sleep(0)
    await asyncio.sleep(2 * PUSH_WAIT_S)


class RacingStore:
    """A store that loses its history while a long poll is waiting."""

    def __init__(self) -> None:
        self.history_lost = asyncio.Event()

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Reports the loss to a plain read, then answers the long poll."""
        if not wait:
            self.history_lost.set()
            raise HistoryLostError(topic)
        await self.history_lost.wait()
        return RecordPage((), offset, asked_at)

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Answers after the long poll has ended."""
        await asyncio.sleep(0.01)
        return RecordPage((), 7, asked_at)


async def read_twice(consumer: TopicConsumer) -> None:
    """Runs a long poll and a plain read concurrently."""
    await asyncio.gather(consumer.read(wait=1), consumer.read())


class PartialStore:
    """A store whose answer does not reach the end of the topic."""

    def __init__(self, reaches_end: bool) -> None:
        self.reaches_end = reaches_end

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the first version of a configuration."""
        record = KeyedRecord('config', configuration(), 0)
        return RecordPage((record,), 1, asked_at, self.reaches_end)


class OvertakingStore:
    """A store whose second answer arrives before its first one."""

    def __init__(self) -> None:
        self.second_answered = asyncio.Event()
        self.reads = 0

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Returns a heartbeat of a server, the second time its removal too."""
        self.reads += 1
        heartbeat = KeyedRecord('s0', SERVER, 5)
        if self.reads == 1:
            await self.second_answered.wait()
            return RecordPage((heartbeat,), 6, asked_at)
        self.second_answered.set()
        removal = KeyedRecord('s0', None, 6)
        return RecordPage((heartbeat, removal), 7, asked_at)


async def read_servers_twice(freshness: Freshness) -> None:
    """Reads the servers at intervals and for a request at the same time."""
    await asyncio.gather(freshness.read_servers(), freshness.read_servers())


class TestReads:
    """Concurrent and incomplete reads."""

    def test_history_lost_during_a_long_poll(self) -> None:
        """Guards against a crash when a plain read resets the offset.

        The long poll that was waiting meanwhile finds no offset.
        """
        consumer = TopicConsumer(RacingStore(), 'keyed.op')
        consumer.offset = 3
        asyncio.run(read_twice(consumer))
        assert consumer.offset == 7

    def test_overlapping_reads_of_the_servers(self) -> None:
        """Guards against a removed server that an older answer restores."""
        kernel = make_kernel()
        freshness = Freshness(kernel, OvertakingStore(), DiscardingGossip())
        freshness.consumers[SERVERS_TOPIC].offset = 5
        asyncio.run(read_servers_twice(freshness))
        assert not kernel.service('discovery').usable('job', boot_time())

    @pytest.mark.parametrize('reaches_end', [True, False])
    def test_only_whole_reads_confirm(self, reaches_end: bool) -> None:
        """Guards against trusting keys while newer versions are unread."""
        kernel = make_kernel()
        freshness = Freshness(
            kernel, PartialStore(reaches_end), DiscardingGossip()
        )
        asyncio.run(freshness.read_configuration())
        catalog = kernel.service('catalog')
        assert catalog.version == 1
        assert (catalog.confirmed_at is not None) is reaches_end


class RecoveringStore:
    """A store that answers after a number of failed reads."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.reads = 0

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Fails or returns no servers."""
        self.reads += 1
        if self.reads <= self.failures:
            raise StoreUnavailableError(topic)
        return RecordPage((), 1, asked_at)


class TestServersBeforeRequests:
    """Reads of the servers that a request waits for."""

    def freshness(self, store: RecoveringStore) -> Freshness:
        """Returns the reads of a host whose list of servers is too old."""
        kernel = make_kernel()
        kernel.service('discovery').confirm(Instant(0))
        return Freshness(kernel, store, DiscardingGossip())

    def test_store_recovered(self) -> None:
        """Guards against stale servers after an undetected recovery.

        A host that receives confirmations makes no reads itself that would
        show the recovery.
        """
        store = RecoveringStore(0)
        freshness = self.freshness(store)
        freshness.failures = STORE_DOWN_FAILURES
        freshness.failed_at = Instant(0)
        asyncio.run(freshness.ensure_servers())
        assert store.reads == 1
        assert not freshness.should_read_servers(boot_time())

    def test_one_failed_read(self) -> None:
        """Guards against stale servers because one connection was closed."""
        store = RecoveringStore(1)
        freshness = self.freshness(store)
        asyncio.run(freshness.ensure_servers())
        assert store.reads == 2
        assert not freshness.should_read_servers(boot_time())

    def test_store_unavailable(self) -> None:
        """Guards against reads by every request during an outage."""
        store = RecoveringStore(100)
        freshness = self.freshness(store)
        for _ in range(5):
            asyncio.run(freshness.ensure_servers())
        assert store.reads == STORE_DOWN_FAILURES


class ResumedStore:
    """A store that was out of reach for 12 s, in which a server has left."""

    def __init__(self, servers: list[str], heartbeats: int) -> None:
        self.servers = servers
        self.heartbeats = heartbeats

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Returns the heartbeats of all servers, then a removal."""
        keys = self.servers * self.heartbeats
        written = [
            KeyedRecord(key, SERVER, offset + index)
            for index, key in enumerate(keys)
        ]
        end = offset + len(written)
        written.append(KeyedRecord(self.servers[0], None, end))
        return RecordPage(tuple(written), end + 1, asked_at)


class TestRefusedHost:
    """A host whose reads the store refuses while it serves the others."""

    @pytest.mark.parametrize('others_in_contact', [False, True])
    def test_removal_after_own_failures(self, others_in_contact: bool) -> None:
        """Guards against keeping a removed server because own reads failed.

        Only an outage of the store makes entries of live servers expire.
        """
        kernel = make_kernel()
        freshness = Freshness(kernel, RecoveringStore(0), DiscardingGossip())
        freshness.failures = STORE_DOWN_FAILURES
        freshness.failed_at = Instant(5)
        if others_in_contact:
            kernel.service('reading').record_followed(Instant(6))
        freshness.read_succeeded(Era(0), Instant(15))
        discovery = kernel.service('discovery')
        assert discovery.is_recovering(Instant(15.1)) is not others_in_contact

    @pytest.mark.parametrize('heartbeats', [0, 8])
    def test_removal_after_a_cut_of_this_host(self, heartbeats: int) -> None:
        """Guards against keeping a server that left after a cut of this host.

        No other host can tell that the store served it during the cut, but the
        heartbeats of the servers in the store can.
        """
        kernel = make_kernel()
        names = add_servers(kernel, 2)
        store = ResumedStore(names, heartbeats)
        freshness = Freshness(kernel, store, DiscardingGossip())
        now = boot_time()
        servers = freshness.consumers[SERVERS_TOPIC]
        servers.offset = 5
        servers.asked_at = Instant(now - 12.5)
        freshness.failures = STORE_DOWN_FAILURES
        freshness.failed_at = Instant(now - 0.5)
        asyncio.run(freshness.read_servers())
        usable = kernel.service('discovery').usable('job', boot_time())
        was_outage = not heartbeats
        assert ('s0' in {known.server.id for known in usable}) is was_outage

    def test_newer_version_at_other_hosts(self) -> None:
        """Guards against a read of the store for each heartbeat."""
        store = RefusingStore()
        freshness = Freshness(make_kernel(), store, DiscardingGossip())
        asyncio.run(receive_newer_versions(freshness))
        assert store.reads == 1
