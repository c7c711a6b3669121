"""Tests of a store that comes back from an older copy of itself."""

import asyncio
from typing import Any
from unittest.mock import AsyncMock

import msgspec
import pytest

from teaselcove.answer_memory import AnswerMemory
from teaselcove.errors import HistoryLostError, StoreUnavailableError
from teaselcove.ids import Era, Instant, Version
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.configuration_exchange import ConfigurationExchange
from teaselcove.ingress.entities import KeyedRecord, RecordPage
from teaselcove.ingress.freshness import Freshness, server_entry
from teaselcove.ingress.peer_messages import (
    ConfigurationNews,
    ConfigurationWanted,
    ServerNews,
)
from teaselcove.ingress.topic_consumer import TopicConsumer
from teaselcove.kernel import Kernel
from teaselcove.platform.records import SERVERS_TOPIC, decode_configuration
from teaselcove.platform.store import NewestItem, NewestReply, StoreClient
from tests.ingress_support import configuration, make_kernel
from tests.test_ingress_freshness import DiscardingGossip, RefusingStore

BEFORE, AFTER = Era(0), Era(1)
# The store has gone back from here to a lower end.
OLD_END = 503
NEW_END = 300
# Seconds after which no removal is in doubt any more.
SETTLED_S = 3
# Seconds without a heartbeat after which the store drops an entry.
ENTRY_LIFETIME_S = 4.5


def record(
    server: str, offset: int, sequence: int = 1, **changes: Any
) -> KeyedRecord:
    """Returns the entry of a server in the store."""
    document = {
        'service': 'job',
        'address': '127.0.2.1:1',
        'zone': 'a',
        'maxConcurrency': 3,
        'state': 'ready',
        'sequence': sequence,
        'born': 1,
    }
    document.update(changes)
    return KeyedRecord(server, msgspec.json.encode(document), offset)


def removal(server: str, offset: int) -> KeyedRecord:
    """Returns the removal of an entry."""
    return KeyedRecord(server, None, offset)


class RestoredHost:
    """A host that has read the servers s0 and s1; s2 was removed."""

    def __init__(self) -> None:
        self.kernel: Kernel = make_kernel()
        self.freshness = Freshness(
            self.kernel, RefusingStore(), DiscardingGossip()
        )
        known = (record('s0', 500), record('s1', 501), record('s2', 499))
        self.read(BEFORE, OLD_END - 1, *known, complete=True)
        self.read(BEFORE, OLD_END, removal('s2', 502))

    def read(
        self,
        era: Era,
        end: int,
        *records: KeyedRecord,
        complete: bool = False,
        now: float = 1,
    ) -> None:
        """Applies what a read of the servers has returned."""
        page = RecordPage(records, end, Instant(now), era=era)
        self.freshness.read_succeeded(era, Instant(now))
        self.freshness.apply_servers(page, complete, Instant(now))

    def usable(self, now: float) -> list[str]:
        """Returns the servers that may get new requests."""
        self.kernel.service('discovery').drop_expired(Instant(now))
        usable = self.kernel.service('discovery').usable('job', Instant(now))
        return sorted(known.server.id for known in usable)


class OvertakenStore:
    """A store whose end has passed an old offset again after it went back.

    Attributes:
        reads: Era in which each read in turn is answered.
    """

    def __init__(self, *reads: Era) -> None:
        self.reads = list(reads)

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Returns the records from the offset on: a heartbeat of s0."""
        era = self.reads.pop(0)
        written = (record('s0', offset, sequence=9),)
        return RecordPage(written, offset + 1, asked_at, era=era)

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the entries of s0, and of s1, which is leaving."""
        era = self.reads.pop(0)
        written = (
            record('s0', OLD_END, sequence=9),
            record('s1', NEW_END, sequence=9, state='draining'),
        )
        return RecordPage(written, OLD_END + 1, asked_at, era=era)


class SlowStore:
    """A restored store that answers one read only after a full read."""

    def __init__(self) -> None:
        self.full_reads = 0
        self.full_read = asyncio.Event()

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Reports a loss to the plain read, then answers the long poll."""
        if not wait:
            raise HistoryLostError(topic)
        await self.full_read.wait()
        written = (record('s0', OLD_END + 1),)
        return RecordPage(written, OLD_END + 2, asked_at, era=AFTER)

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the entries up to an end that grows."""
        self.full_reads += 1
        asyncio.get_running_loop().call_soon(self.full_read.set)
        end = NEW_END if self.full_reads == 1 else OLD_END + 2
        return RecordPage((record('s0', 20),), end, asked_at, era=AFTER)


async def read_twice(
    consumer: TopicConsumer,
) -> list[tuple[RecordPage, bool]]:
    """Reads with a long poll, and meanwhile without one."""
    return await asyncio.gather(consumer.read(wait=1), consumer.read())


class TestOffsets:
    """Offsets that were valid before the store went back."""

    def test_records_below_the_old_end(self) -> None:
        """Guards against records that are never read.

        The store has records from the old offset on, so it reports no loss.
        """
        host = RestoredHost()
        consumer = host.freshness.consumers[SERVERS_TOPIC]
        consumer.offset = OLD_END
        consumer.era = BEFORE
        consumer.store = OvertakenStore(AFTER, AFTER)
        asyncio.run(host.freshness.read_servers())
        assert host.usable(boot_time()) == ['s0']
        assert (consumer.offset, consumer.era) == (OLD_END + 1, AFTER)

    def test_read_beside_a_full_read(self) -> None:
        """Guards against skipping what lies below an offset of before.

        A full read ends while another read, sent with the old offset, waits.
        """
        host = RestoredHost()
        consumer = host.freshness.consumers[SERVERS_TOPIC]
        consumer.offset = OLD_END
        consumer.era = BEFORE
        consumer.store = SlowStore()
        pages = asyncio.run(read_twice(consumer))
        assert [complete for _, complete in pages] == [True, True]
        assert consumer.offset == OLD_END + 2

    def test_late_answer(self) -> None:
        """Guards against an answer that the store gave before it went back."""
        host = RestoredHost()
        consumer = host.freshness.consumers[SERVERS_TOPIC]
        consumer.offset = OLD_END
        consumer.era = AFTER
        consumer.store = OvertakenStore(BEFORE)
        assert not asyncio.run(host.freshness.read_servers())
        assert consumer.offset == OLD_END

    def test_pages_of_two_eras(self) -> None:
        """Guards against a list that was never in the store."""
        client = StoreClient('127.0.0.1:1', AnswerMemory())
        answers = [
            (NewestReply([NewestItem('a', 1, 'e30=')], True, 9), BEFORE),
            (NewestReply([NewestItem('b', 2, 'e30=')], False, 5), AFTER),
        ]
        client.newest_page = AsyncMock(side_effect=answers)
        with pytest.raises(StoreUnavailableError, match='eras 0 and 1'):
            asyncio.run(client.newest('keyed.servers', Instant(0)))


class LostVersionStore:
    """A restored store that has only the first of two versions."""

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the first version."""
        first = KeyedRecord('config', configuration(1), 0)
        return RecordPage((first,), 1, asked_at, era=AFTER)


class CountedRequests:
    """Counts the requests for a configuration."""

    def __init__(self) -> None:
        self.count = 0

    def request(self) -> None:
        """Counts a request."""
        self.count += 1


class VersionGossip(DiscardingGossip):
    """Sends nothing but requests for a configuration."""

    def __init__(self) -> None:
        self.configurations = CountedRequests()


class TestConfiguration:
    """A version that was in force before the store went back."""

    def test_older_version_is_not_confirmed(self) -> None:
        """Guards against keys that a lost version has withdrawn."""
        kernel = make_kernel()
        gossip = VersionGossip()
        freshness = Freshness(kernel, LostVersionStore(), gossip)
        catalog = kernel.service('catalog')
        catalog.record_version(Version(2), 'host-2')
        asyncio.run(freshness.catch_up())
        assert (catalog.version, gossip.configurations.count) == (1, 1)
        assert not catalog.are_keys_current(boot_time())
        catalog.adopt(decode_configuration(configuration(2)))
        catalog.confirm(boot_time())
        assert catalog.are_keys_current(boot_time())

    def test_host_that_has_it_is_asked(self) -> None:
        """Guards against a host that stays behind until the next change."""
        answers: list[tuple[str, object]] = []
        catalog = make_kernel('host-2').service('catalog')
        catalog.adopt(decode_configuration(configuration(2)))
        exchange = ConfigurationExchange(
            catalog.kernel, lambda *sent: answers.append(sent), print
        )
        for version in (Version(2), Version(3)):
            wanted = ConfigurationWanted(version)
            exchange.handle_wanted('host-1', wanted, Instant(1))
        assert answers == [('host-1', ConfigurationNews(catalog.configuration))]


class TestServers:
    """Servers that were known before the store went back."""

    def test_unlisted_server_goes(self) -> None:
        """Guards against a server that the store no longer lists."""
        host = RestoredHost()
        host.read(AFTER, NEW_END, record('s0', 20), complete=True, now=10)
        assert host.usable(10 + SETTLED_S) == ['s0']

    def test_server_registers_again(self) -> None:
        """Guards against ignoring a server until the old end is reached."""
        host = RestoredHost()
        host.read(AFTER, NEW_END + 3, record('s2', 302, sequence=2), now=10)
        assert host.usable(10) == ['s0', 's1', 's2']

    def test_leaving_server(self) -> None:
        """Guards against requests to a server that leaves after the loss."""
        host = RestoredHost()
        leaving = record('s0', 310, sequence=2, state='draining')
        host.read(AFTER, NEW_END + 11, leaving, now=10)
        assert host.usable(10) == ['s1']

    def test_copy_of_a_leaving_server(self) -> None:
        """Guards against a server that is ready again in an older copy."""
        host = RestoredHost()
        leaving = record('s0', 503, sequence=2, state='draining')
        host.read(BEFORE, 504, leaving, now=5)
        copies = (record('s0', 20), record('s1', 21))
        host.read(AFTER, NEW_END, *copies, complete=True, now=10)
        assert host.usable(10) == host.usable(100) == ['s1']

    def test_copy_of_a_removed_server(self) -> None:
        """Guards against a server that is back without having written.

        If it is alive, it need not write the same entry again, so it is used
        when the entry of a server that is gone would have expired.
        """
        host = RestoredHost()
        copies = (record('s0', 20), record('s1', 21), record('s2', 22))
        host.read(AFTER, NEW_END, *copies, complete=True, now=10)
        assert host.usable(10 + ENTRY_LIFETIME_S) == ['s0', 's1']
        assert host.usable(20) == ['s0', 's1', 's2']

    @pytest.mark.parametrize('name', ['s0', 's2'])
    def test_copy_from_another_host(self, name: str) -> None:
        """Guards against an older copy that is believed the second time."""
        host = RestoredHost()
        leaving = record('s0', 503, sequence=2, state='draining')
        host.read(BEFORE, 504, leaving, now=5)
        copies = (record('s0', 20), record('s1', 21), record('s2', 22))
        host.read(AFTER, NEW_END, *copies, complete=True, now=10)
        copied = {item.key: item for item in copies}[name]
        news = ServerNews(name, copied.offset, server_entry(copied), AFTER)
        host.kernel.service('discovery').apply(news, Instant(11), 'host-2')
        assert host.usable(11) == ['s1']

    def test_missing_server_is_kept_for_a_while(self) -> None:
        """Guards against dropping servers that started in the lost seconds."""
        host = RestoredHost()
        host.read(AFTER, NEW_END, record('s0', 20), complete=True, now=10)
        assert host.usable(10) == ['s0', 's1']
        host.read(AFTER, NEW_END + 1, record('s1', 300), now=11)
        assert host.usable(10 + SETTLED_S) == ['s0', 's1']

    def test_missing_server_after_a_late_read(self) -> None:
        """Guards against keeping a server long after the store is back.

        A host that reads nothing while it is idle hears of the new era from
        other hosts.
        """
        host = RestoredHost()
        host.kernel.service('store-era').observe(AFTER, Instant(10), 'host-2')
        host.read(AFTER, NEW_END, record('s0', 20), complete=True, now=30)
        assert host.usable(30) == ['s0']

    def test_record_of_an_earlier_era(self) -> None:
        """Guards against records of before that arrive late."""
        host = RestoredHost()
        copies = (record('s0', 20), record('s1', 21))
        host.read(AFTER, NEW_END, *copies, complete=True, now=10)
        gone = ServerNews('s1', 505, None, BEFORE)
        assert not host.kernel.service('discovery').apply(gone, Instant(11))
        assert host.usable(11) == ['s0', 's1']

    def test_removed_server_goes(self) -> None:
        """Guards against a server that is removed after the loss."""
        host = RestoredHost()
        host.read(AFTER, NEW_END + 12, removal('s1', 311), now=10)
        assert host.usable(10 + SETTLED_S) == ['s0']


class TestEra:
    """The era of the store that a host has heard of."""

    def test_restoration_is_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against records whose era cannot be told afterwards."""
        caplog.set_level('INFO')
        era = make_kernel().service('store-era')
        assert not era.observe(Era(3), Instant(1))
        assert not era.observe(Era(3), Instant(2))
        assert era.observe(Era(4), Instant(3), 'host-2')
        assert not era.observe(Era(3), Instant(4))
        assert (era.current, era.restored_at) == (4, 3)
        restored = [item for item in caplog.records if item.msg != 'start']
        assert [item.msg for item in restored] == ['store-restored']
        assert restored[0].figures['peer'] == 'host-2'
