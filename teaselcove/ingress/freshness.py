"""Reads the store for a host and keeps its beliefs fresh.

One host of each availability zone waits for new configurations with long polls
and passes them on. It reads the backend servers and confirms the configuration
at short intervals, and vouches for both. The others read for themselves when
nobody vouches.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from teaselcove.errors import (
    CodecError,
    HistoryLostError,
    StoreUnavailableError,
)
from teaselcove.ids import BackendServerId, Instant
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import KeyedRecord, RecordPage, ServerEntry
from teaselcove.ingress.gossip import Gossip
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.kernel import Kernel
from teaselcove.platform import records
from teaselcove.platform.store import StoreClient

log = logging.getLogger('teaselcove.store')

# Seconds that a long poll waits, below the store's maximum of 30 s. Keep-alive
# probes find silent connections sooner.
POLL_WAIT_S = 28
# Seconds between checks of a host whether it has to follow itself.
FOLLOW_CHECK_S = 0.1
# A host that hears of a newer version gets it from the reader within this time
# in seconds, or reads it itself.
NEWS_WAIT_S = 0.3
# A host that reads for its zone confirms the configuration at this interval
# in seconds. Others confirm it themselves at a higher age; withdrawn keys must
# stop within 5 s.
CONFIRM_INTERVAL_S = 1.6
CONFIRM_AGE_S = 2.8
# Age in seconds at which a host that serves requests reads the servers
# itself; one that leaves must get no work after 2 s.
SERVERS_AGE_S = 1.6
# Seconds that a request needs to reach a server, before which the bound for
# leaving servers must not have passed.
SERVERS_MARGIN_S = 0.2
# Time in seconds between reads because another host has a newer version.
OUTDATED_INTERVAL_S = 0.8
# Seconds that a request waits for the store to confirm.
CONFIRM_WAIT_S = 0.6
FIRST_PAUSE_S = 0.1
# A store that is back is noticed within this time; hosts have to be up to date
# 3 s after its return.
MAX_PAUSE_S = 1.5
# A host that served no request for this long stops to read the servers.
IDLE_S = 4
# Requests do not wait for the store again within this time in seconds after a
# read that failed.
AWAY_PAUSE_S = 0.5
# Failures in a row after which the store counts as away.
AWAY_FAILURES = 2


class Follower:
    """Reads one keyed topic from the newest records on.

    Attributes:
        offset: Offset to read from, or None before the first read.
    """

    def __init__(self, store: StoreClient, topic: str) -> None:
        self.store = store
        self.topic = topic
        self.offset: int | None = None

    async def read(self, wait: float = 0) -> tuple[RecordPage, bool]:
        """Returns new records, and whether they are all newest ones.

        Raises:
            StoreUnavailableError: If the store gave no answer.
            CodecError: If its answer is not in the format.
        """
        asked_at = boot_time()
        if self.offset is not None:
            try:
                page = await self.store.read(
                    self.topic, self.offset, asked_at, wait
                )
            except HistoryLostError as error:
                log.info('history-lost', extra={'figures': {'why': str(error)}})
                self.offset = None
            else:
                # Another read may have met a lost history meanwhile.
                self.offset = max(self.offset or 0, page.next_offset)
                return page, False
        page = await self.store.newest(self.topic, asked_at)
        self.offset = page.next_offset
        return page, True


class Freshness:
    """Keeps configuration and servers of a host as fresh as it needs.

    Attributes:
        served_at: When the host last served a request.
        failures: Reads in a row that failed.
        failed_at: When the latest of them failed.
        outdated_at: When a newer version elsewhere last caused a read.
    """

    def __init__(
        self, kernel: Kernel, store: StoreClient, gossip: Gossip
    ) -> None:
        self.kernel = kernel
        self.store = store
        self.gossip = gossip
        gossip.outdated = self.outdated
        self.reading = kernel.service('reading')
        self.followers = {
            topic: Follower(store, topic)
            for topic in (records.CONFIGURATION_TOPIC, records.SERVERS_TOPIC)
        }
        self.served_at = Instant(float('-inf'))
        self.failures = 0
        self.failed_at = Instant(float('-inf'))
        self.outdated_at = Instant(float('-inf'))
        self.confirming: asyncio.Task[None] | None = None
        self.catching_up: asyncio.Task[None] | None = None
        self.reading_servers: asyncio.Task[None] | None = None

    def outdated(self) -> None:
        """Gets the configuration because another host has a newer one.

        All heartbeats say so until it is known, also while the store refuses
        this host, so the reads are spaced.
        """
        now = boot_time()
        if now - self.outdated_at < OUTDATED_INTERVAL_S:
            return
        self.outdated_at = now
        if self.catching_up is None or self.catching_up.done():
            self.catching_up = self.spawn(self.catch_up)

    async def catch_up(self) -> bool:
        """Reads the configuration unless the reader passes a newer one on."""
        catalog = self.kernel.service('catalog')
        before = catalog.version
        await asyncio.sleep(NEWS_WAIT_S)
        return catalog.version > before or await self.read_configuration()

    def vouch(self) -> None:
        """Lets the other hosts of the zone know what was read."""
        self.gossip.send_heartbeats(boot_time())

    def is_serving(self, now: Instant) -> bool:
        """Returns whether the host served a request lately."""
        return now - self.served_at < IDLE_S

    def answered(self, now: Instant) -> None:
        """Notes an answer of the store."""
        if self.failures >= AWAY_FAILURES:
            log.warning(
                'store-regained', extra={'figures': {'failed': self.failures}}
            )
            self.kernel.service('discovery').store_recovered(now)
        self.failures = 0
        self.reading.heard(now)

    def failed(self, topic: str, error: Exception) -> None:
        """Notes a read without an answer."""
        now = boot_time()
        self.failures += 1
        self.failed_at = now
        if self.failures >= AWAY_FAILURES:
            self.reading.lost(now)
        if self.failures == AWAY_FAILURES:
            log.warning(
                'store-lost',
                extra={'figures': {'topic': topic, 'why': str(error)}},
            )

    async def follow_configuration(self) -> None:
        """Reads configurations until cancelled."""
        topic = records.CONFIGURATION_TOPIC
        pause = FIRST_PAUSE_S
        while True:
            first = self.followers[topic].offset is None
            if not first and not self.reading.must_follow(boot_time()):
                await asyncio.sleep(FOLLOW_CHECK_S)
                continue
            wait = 0 if first else POLL_WAIT_S
            if await self.read_configuration(wait):
                pause = FIRST_PAUSE_S
            else:
                await asyncio.sleep(pause)
                pause = min(MAX_PAUSE_S, 2 * pause)

    async def read_configuration(self, wait: float = 0) -> bool:
        """Reads new configurations; returns whether the store answered."""
        topic = records.CONFIGURATION_TOPIC
        try:
            page, _ = await self.followers[topic].read(wait)
        except (StoreUnavailableError, CodecError) as error:
            self.failed(topic, error)
            return False
        now = boot_time()
        self.answered(now)
        taken = [self.take_configuration(item) for item in page.records]
        # The store accepts valid configurations only, so a record that
        # cannot be read withdraws no key.
        catalog = self.kernel.service('catalog')
        if page.reaches_end:
            catalog.confirm(page.asked_at)
            read_at = catalog.read_at or page.asked_at
            # A long poll may have been sent before another read.
            catalog.read_at = max(read_at, page.asked_at)
            self.reading.contact(page.asked_at)
        if any(taken) and self.reading.is_reader(now):
            self.gossip.send_configuration(catalog.configuration)
            self.vouch()
        return True

    def take_configuration(self, record: KeyedRecord) -> bool:
        """Puts a configuration in force; returns whether it is new."""
        if record.key != records.CONFIGURATION_KEY or record.value is None:
            return False
        try:
            configuration = records.decode_configuration(record.value)
        except CodecError as error:
            log.error(
                'configuration-unreadable',
                extra={'figures': {'offset': record.offset, 'why': str(error)}},
            )
            return False
        catalog = self.kernel.service('catalog')
        before = catalog.version
        changed = catalog.adopt(configuration)
        if changed:
            log.info(
                'configuration',
                extra={
                    'figures': {
                        'version': configuration.version,
                        'before': before,
                        'offset': record.offset,
                    }
                },
            )
        return changed

    async def confirm(self) -> None:
        """Lets the store confirm the configuration, within a short time."""
        if self.confirming is None or self.confirming.done():
            self.confirming = self.spawn(self.read_configuration)
        await asyncio.wait([self.confirming], timeout=CONFIRM_WAIT_S)

    def spawn(self, read: Callable[[], Awaitable[bool]]) -> asyncio.Task[None]:
        """Runs a read in the background."""

        async def work() -> None:  # noqa: WPS430
            await read()

        return asyncio.get_running_loop().create_task(work())

    async def ensure_servers(self) -> None:
        """Reads the servers first if what is known is too old.

        A second read follows one that fails, since a kept connection may have
        been closed. While the store is away, requests do not wait for it.
        """
        self.served_at = boot_time()
        for _ in range(AWAY_FAILURES):
            if not self.should_read_servers(boot_time()):
                return
            if self.reading_servers is None or self.reading_servers.done():
                self.reading_servers = self.spawn(self.read_servers)
            reading = self.reading_servers
            await asyncio.wait([reading], timeout=CONFIRM_WAIT_S)
            if not reading.done():
                return

    def should_read_servers(self, now: Instant) -> bool:
        """Returns whether a request has to wait for a read of the servers."""
        discovery = self.kernel.service('discovery')
        bound = self.kernel.settings.bounds.drain - SERVERS_MARGIN_S
        if discovery.age(now) < bound:
            return False
        away = self.failures >= AWAY_FAILURES
        lately = now - self.failed_at < AWAY_PAUSE_S
        return not (away and lately and discovery.confirmed_at is not None)

    async def keep_fresh(self) -> None:
        """Reads the store at intervals, for the zone or when need be.

        The servers are read once at the start: the store may be away when
        the first request comes.
        """
        interval = self.kernel.settings.ingress.server_read_interval
        while not await self.read_servers():
            await asyncio.sleep(MAX_PAUSE_S)
        while True:
            now = boot_time()
            if self.reading.is_reader(now):
                await self.read_for_zone(now)
                await asyncio.sleep(interval)
                continue
            if self.is_serving(now):
                await self.read_if_old(now)
            await asyncio.sleep(interval / 2)

    async def read_for_zone(self, now: Instant) -> None:
        """Reads the servers and vouches for what the zone knows."""
        await self.read_servers()
        if self.kernel.service('catalog').age(now) > CONFIRM_INTERVAL_S:
            await self.confirm()
        self.vouch()

    async def read_if_old(self, now: Instant) -> None:
        """Reads what no other host has vouched for lately."""
        if self.kernel.service('discovery').age(now) > SERVERS_AGE_S:
            await self.read_servers()
        if self.kernel.service('catalog').age(now) > CONFIRM_AGE_S:
            await self.confirm()

    async def read_servers(self) -> bool:
        """Reads new server entries; returns whether the store answered."""
        topic = records.SERVERS_TOPIC
        try:
            page, complete = await self.followers[topic].read()
        except (StoreUnavailableError, CodecError) as error:
            self.failed(topic, error)
            return False
        now = boot_time()
        self.answered(now)
        discovery = self.kernel.service('discovery')
        tell = self.reading.is_reader(now) and not complete
        for record in page.records:
            changed = self.take_server(record, now)
            if changed and tell:
                self.tell_server(record)
        if complete:
            listed = {BackendServerId(item.key) for item in page.records}
            discovery.remove_unlisted(listed, page.next_offset)
        if page.reaches_end:
            discovery.confirm(page.asked_at)
            discovery.own_read_at = page.asked_at
            self.reading.contact(page.asked_at)
        return True

    def take_server(self, record: KeyedRecord, now: Instant) -> bool:
        """Takes over an entry of a server; returns whether it changed."""
        discovery = self.kernel.service('discovery')
        name = BackendServerId(record.key)
        entry = server_entry(record)
        if entry is None:
            changed = discovery.remove(name, record.offset, now)
        else:
            changed = discovery.update(entry, record.offset, now)
        if changed:
            log.info(
                'server' if entry else 'server-gone',
                extra={
                    'figures': {
                        'server': name,
                        'service': entry.service if entry else None,
                        'leaving': entry.leaving if entry else None,
                        'offset': record.offset,
                    }
                },
            )
        return changed

    def tell_server(self, record: KeyedRecord) -> None:
        """Tells the other hosts of the zone of a changed entry."""
        name = BackendServerId(record.key)
        news = ServerNews(name, record.offset, server_entry(record))
        self.gossip.send_server(news)


def server_entry(record: KeyedRecord) -> ServerEntry | None:
    """Returns the server of a record; None if it names no usable one."""
    if record.value is None:
        return None
    try:
        return records.decode_server(record.key, record.value)
    except CodecError as error:
        log.warning(
            'server-unreadable',
            extra={'figures': {'server': record.key, 'why': str(error)}},
        )
        return None
