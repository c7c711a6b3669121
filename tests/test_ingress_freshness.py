"""Tests of when a host calls the store."""

import asyncio

import pytest

from teaselcove.errors import HistoryLostError, StoreUnavailableError
from teaselcove.ids import Instant
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import (
    IngressConfiguration,
    KeyedRecord,
    RecordPage,
)
from teaselcove.ingress.freshness import (
    AWAY_FAILURES,
    NEWS_WAIT_S,
    Follower,
    Freshness,
)
from tests.ingress_support import configuration, make_kernel

HEARTBEATS = 50


class RefusingStore:
    """A store that refuses this host."""

    def __init__(self) -> None:
        self.reads = 0

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Refuses."""
        self.reads += 1
        raise StoreUnavailableError(topic)


class NoGossip:
    """Messages that nobody gets."""

    outdated = None

    def send_configuration(self, configuration: IngressConfiguration) -> None:
        """Drops it."""

    def send_heartbeats(self, now: Instant) -> None:
        """Drops them."""


async def hear_newer_versions(freshness: Freshness) -> None:
    """Plays heartbeats of hosts that have a newer version."""
    for _ in range(HEARTBEATS):
        freshness.outdated()
        await asyncio.sleep(0)
    await asyncio.sleep(2 * NEWS_WAIT_S)


class RacingStore:
    """A store that forgets its history between two reads."""

    def __init__(self) -> None:
        self.forgotten = asyncio.Event()

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Answers the long poll after the other read has met the loss."""
        if not wait:
            self.forgotten.set()
            raise HistoryLostError(topic)
        await self.forgotten.wait()
        return RecordPage((), offset, asked_at)

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Answers when the long poll has ended."""
        await asyncio.sleep(0.01)
        return RecordPage((), 7, asked_at)


async def read_twice(follower: Follower) -> None:
    """Reads with a long poll and without one at the same time."""
    await asyncio.gather(follower.read(wait=1), follower.read())


class PartialStore:
    """A store whose answer does not reach the end of the topic."""

    def __init__(self, reaches_end: bool) -> None:
        self.reaches_end = reaches_end

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns a first configuration."""
        record = KeyedRecord('config', configuration(), 0)
        return RecordPage((record,), 1, asked_at, self.reaches_end)


class TestReads:
    """Reads that race or end early."""

    def test_history_lost_during_a_long_poll(self) -> None:
        """Guards against a host that ends because two reads race."""
        follower = Follower(RacingStore(), 'keyed.op')
        follower.offset = 3
        asyncio.run(read_twice(follower))
        assert follower.offset == 7

    @pytest.mark.parametrize('reaches_end', [True, False])
    def test_newest_version_is_proved(self, reaches_end: bool) -> None:
        """Guards against trust in keys while newer versions are unread."""
        kernel = make_kernel()
        freshness = Freshness(kernel, PartialStore(reaches_end), NoGossip())
        asyncio.run(freshness.read_configuration())
        catalog = kernel.service('catalog')
        assert catalog.version == 1
        assert (catalog.confirmed_at is not None) is reaches_end


class ReturningStore:
    """A store that fails some reads and then answers."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.reads = 0

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns no servers."""
        self.reads += 1
        if self.reads <= self.failures:
            raise StoreUnavailableError(topic)
        return RecordPage((), 1, asked_at)


class TestServersBeforeRequests:
    """Reads that a request waits for."""

    def freshness(self, store: ReturningStore) -> Freshness:
        """Returns the reads of a host that knew the servers long ago."""
        kernel = make_kernel()
        kernel.service('discovery').confirm(Instant(0))
        return Freshness(kernel, store, NoGossip())

    def test_store_that_is_back(self) -> None:
        """Guards against old beliefs after an outage that went unnoticed.

        A host that others vouch for makes no reads that would show the
        return of the store.
        """
        store = ReturningStore(0)
        freshness = self.freshness(store)
        freshness.failures = AWAY_FAILURES
        freshness.failed_at = Instant(0)
        asyncio.run(freshness.ensure_servers())
        assert store.reads == 1
        assert not freshness.should_read_servers(boot_time())

    def test_one_broken_connection(self) -> None:
        """Guards against old beliefs because one read has failed."""
        store = ReturningStore(1)
        freshness = self.freshness(store)
        asyncio.run(freshness.ensure_servers())
        assert store.reads == 2
        assert not freshness.should_read_servers(boot_time())

    def test_store_that_is_away(self) -> None:
        """Guards against reads by every request during an outage."""
        store = ReturningStore(100)
        freshness = self.freshness(store)
        for _ in range(5):
            asyncio.run(freshness.ensure_servers())
        assert store.reads == AWAY_FAILURES


class TestRefusedHost:
    """The store refuses a host and serves the others."""

    def test_newer_version_elsewhere(self) -> None:
        """Guards against a call of the store for each heartbeat."""
        store = RefusingStore()
        freshness = Freshness(make_kernel(), store, NoGossip())
        asyncio.run(hear_newer_versions(freshness))
        assert store.reads == 1
