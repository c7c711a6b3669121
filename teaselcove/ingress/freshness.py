"""Keeps a host's configuration and list of servers up to date with the store.

One host of each availability zone, the reader, long polls for new
configurations and passes them on. It reads the backend servers and confirms the
configuration at short intervals, and sends the other hosts the times as of
which both are current. The others read the store themselves when they receive
no such confirmation.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable

from teaselcove.errors import CodecError, StoreUnavailableError
from teaselcove.ids import BackendServerId, Era, Instant
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.discovery import SEND_MARGIN_S
from teaselcove.ingress.entities import (
    IngressConfiguration,
    KeyedRecord,
    Position,
    RecordPage,
    ServerEntry,
)
from teaselcove.ingress.gossip import Gossip
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.ingress.topic_consumer import TopicConsumer
from teaselcove.kernel import Kernel
from teaselcove.platform import records
from teaselcove.platform.store import StoreClient

log = logging.getLogger('teaselcove.store')

# Seconds between checks of whether a host has to long poll itself.
FOLLOW_CHECK_INTERVAL_S = 0.1
# Seconds that a host waits for the reader to send a newer version before it
# reads that version itself.
PUSH_WAIT_S = 0.3
# Age in seconds of the last confirmation at which the reader of a zone confirms
# the configuration again. The other hosts confirm it themselves only at the
# higher age below. Withdrawn keys must stop working within 5 s.
CONFIRM_INTERVAL_S = 1.6
CONFIRM_AGE_S = 2.8
# Age in seconds of the list of servers at which a host that serves requests
# reads it itself. A leaving server must get no requests after 2 s.
SERVERS_AGE_S = 1.6
# Minimum seconds between reads caused by a newer version at another host.
OUTDATED_INTERVAL_S = 0.8
# Seconds that a request waits for a read of the store.
CONFIRM_WAIT_S = 0.6
INITIAL_BACKOFF_S = 0.1
# Longest back-off in seconds, which bounds the time to detect that the store
# has recovered: hosts have to be up to date within 3 s of it.
MAX_BACKOFF_S = 1.5
# Seconds without a request after which a host stops reading the servers.
IDLE_S = 4
# Seconds after a failed read within which requests do not wait for the store
# again while it counts as unavailable.
STORE_DOWN_PAUSE_S = 0.5
# Consecutive failed reads after which the store counts as unavailable.
STORE_DOWN_FAILURES = 2


class Freshness:
    """Reads the configuration and the servers as often as a host needs.

    Attributes:
        served_at: When the host last served a request.
        failures: Number of consecutive failed reads.
        failed_at: When the latest of them failed.
        last_catch_up_at: When a newer version at another host last caused a
            read.
    """

    def __init__(
        self, kernel: Kernel, store: StoreClient, gossip: Gossip
    ) -> None:
        self.kernel = kernel
        self.store = store
        self.gossip = gossip
        self.entries = kernel.service('entry-reader')
        gossip.heartbeats.on_newer_version = self.fetch_newer_version
        self.reading = kernel.service('reading')
        self.consumers = {
            topic: TopicConsumer(store, topic)
            for topic in (records.CONFIGURATION_TOPIC, records.SERVERS_TOPIC)
        }
        self.served_at = Instant(float('-inf'))
        self.failures = 0
        self.failed_at = Instant(float('-inf'))
        self.last_catch_up_at = Instant(float('-inf'))
        self.confirming: asyncio.Task[None] | None = None
        self.catching_up: asyncio.Task[None] | None = None
        self.reading_servers: asyncio.Task[None] | None = None

    def fetch_newer_version(self) -> None:
        """Fetches the configuration because another host has a newer one.

        Every heartbeat triggers this until the version is known, even while
        the store refuses this host, so the reads are rate limited.
        """
        now = boot_time()
        if now - self.last_catch_up_at < OUTDATED_INTERVAL_S:
            return
        self.last_catch_up_at = now
        if self.catching_up is None or self.catching_up.done():
            self.catching_up = self.spawn(self.catch_up)

    async def catch_up(self) -> bool:
        """Reads the configuration unless the reader sends a newer one first.

        If the store does not have it, or does not answer this host, the host
        that has it is asked.
        """
        catalog = self.kernel.service('catalog')
        before = catalog.version
        await asyncio.sleep(PUSH_WAIT_S)
        if catalog.version > before:
            return True
        answered = await self.read_configuration()
        if catalog.is_behind:
            self.gossip.configurations.request()
        return answered

    def announce_read(self) -> None:
        """Sends heartbeats to confirm to the other hosts what was read."""
        self.gossip.heartbeats.send_heartbeats(boot_time())

    def is_serving(self, now: Instant) -> bool:
        """Returns whether the host served a request recently."""
        return now - self.served_at < IDLE_S

    def read_succeeded(self, era: Era, now: Instant) -> None:
        """Records that the store answered a read."""
        self.kernel.service('store-era').observe(era, now)
        if self.failures >= STORE_DOWN_FAILURES:
            log.warning(
                'store-regained', extra={'figures': {'failed': self.failures}}
            )
            # If other hosts were in contact with the store meanwhile, only this
            # host was refused, and no entry expired because of an outage.
            if self.reading.followed_at <= self.failed_at:
                self.kernel.service('discovery').store_recovered(now)
        self.failures = 0
        self.reading.record_answer(now)

    def read_failed(self, topic: str, error: Exception) -> None:
        """Records that a read failed."""
        now = boot_time()
        self.failures += 1
        self.failed_at = now
        if self.failures >= STORE_DOWN_FAILURES:
            self.reading.record_failure(now)
        if self.failures == STORE_DOWN_FAILURES:
            log.warning(
                'store-lost',
                extra={'figures': {'topic': topic, 'why': str(error)}},
            )

    async def follow_configuration(self) -> None:
        """Reads new configurations until cancelled."""
        topic = records.CONFIGURATION_TOPIC
        backoff = INITIAL_BACKOFF_S
        while True:
            first = self.consumers[topic].offset is None
            wait = self.reading.poll_wait(first, boot_time())
            if wait is None:
                await asyncio.sleep(FOLLOW_CHECK_INTERVAL_S)
            elif await self.read_configuration(wait):
                backoff = INITIAL_BACKOFF_S
            else:
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def read_configuration(self, wait: float = 0) -> bool:
        """Reads new configurations; returns whether the store answered."""
        topic = records.CONFIGURATION_TOPIC
        consumer = self.consumers[topic]
        try:
            page, _ = await consumer.read(wait)
        except (StoreUnavailableError, CodecError) as error:
            self.read_failed(topic, error)
            return False
        now = boot_time()
        with consumer.read_again_on_failure():
            self.apply_configurations(page, now)
        return True

    def apply_configurations(self, page: RecordPage, now: Instant) -> None:
        """Applies configurations and sends the newest one, as the reader."""
        self.read_succeeded(page.era, now)
        catalog = self.kernel.service('catalog')
        is_first = catalog.version == 0
        found = self.entries.decode_all(
            records.CONFIGURATION_TOPIC,
            (item for item in page.records if is_configuration(item)),
            lambda item: records.decode_configuration(item.value),
        )
        adopted = [
            self.apply_configuration(configuration, record, page.era)
            for record, configuration in found
        ]
        # The store accepts only valid configurations, so a record that cannot
        # be decoded withdraws no key.
        if page.reaches_end:
            if self.kernel.service('members').knows_fleet(now):
                catalog.confirm(page.asked_at)
            self.reading.record_contact(page.asked_at)
        if any(adopted) and self.reading.passes_on(is_first, now):
            self.gossip.send_configuration(catalog.configuration)
            self.announce_read()

    def apply_configuration(
        self, configuration: IngressConfiguration, record: KeyedRecord, era: Era
    ) -> bool:
        """Applies a configuration; returns whether it is newer."""
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
                        'era': era,
                    }
                },
            )
        return changed

    async def confirm(self) -> None:
        """Confirms the configuration with the store, for a limited time."""
        if self.confirming is None or self.confirming.done():
            self.confirming = self.spawn(self.read_configuration)
        await asyncio.wait([self.confirming], timeout=CONFIRM_WAIT_S)

    def spawn(self, read: Callable[[], Awaitable[bool]]) -> asyncio.Task[None]:
        """Runs a read in the background."""
        work = self.kernel.service('supervisor').run_once('read', read)
        return asyncio.get_running_loop().create_task(work)

    async def ensure_servers(self) -> None:
        """Reads the servers before a request if the list is too old.

        A failed read is repeated once, since the store may have closed a
        reused connection. While the store is unavailable, requests do not wait
        for it.
        """
        self.served_at = boot_time()
        for _ in range(STORE_DOWN_FAILURES):
            if not self.should_read_servers(boot_time()):
                return
            if self.reading_servers is None or self.reading_servers.done():
                self.reading_servers = self.spawn(self.read_servers)
            read = self.reading_servers
            await asyncio.wait([read], timeout=CONFIRM_WAIT_S)
            if not read.done():
                return

    def should_read_servers(self, now: Instant) -> bool:
        """Returns whether a request has to wait for a read of the servers."""
        discovery = self.kernel.service('discovery')
        bound = self.kernel.settings.bounds.drain - SEND_MARGIN_S
        if discovery.age(now) < bound:
            return False
        store_down = self.failures >= STORE_DOWN_FAILURES
        failed_recently = now - self.failed_at < STORE_DOWN_PAUSE_S
        return not (
            store_down
            and failed_recently
            and discovery.confirmed_at is not None
        )

    async def keep_fresh(self) -> None:
        """Reads the store at intervals, for the zone or if state is too old.

        The servers are read once at the start, since the store may be
        unavailable when the first request arrives.
        """
        interval = self.kernel.settings.ingress.server_read_interval
        while not await self.read_servers():
            await asyncio.sleep(MAX_BACKOFF_S)
        while True:
            now = boot_time()
            if self.reading.is_reader(now):
                await self.read_for_zone(now)
                await asyncio.sleep(interval)
                continue
            if self.is_serving(now):
                await self.read_if_stale(now)
            await asyncio.sleep(interval / 2)

    async def read_for_zone(self, now: Instant) -> None:
        """Reads for the zone and confirms to its hosts what is current."""
        await self.read_servers()
        if self.kernel.service('catalog').age(now) > CONFIRM_INTERVAL_S:
            await self.confirm()
        self.announce_read()

    async def read_if_stale(self, now: Instant) -> None:
        """Reads the state that no other host has confirmed recently."""
        if self.kernel.service('discovery').age(now) > SERVERS_AGE_S:
            await self.read_servers()
        if self.kernel.service('catalog').age(now) > CONFIRM_AGE_S:
            await self.confirm()

    async def read_servers(self) -> bool:
        """Reads new server entries; returns whether the store answered."""
        topic = records.SERVERS_TOPIC
        consumer = self.consumers[topic]
        since = consumer.asked_at
        try:
            page, complete = await consumer.read()
        except (StoreUnavailableError, CodecError) as error:
            self.read_failed(topic, error)
            return False
        now = boot_time()
        self.read_succeeded(page.era, now)
        if since is not None and since < self.failed_at and not complete:
            self.kernel.service('discovery').recheck_recovery(
                most_heartbeats(page), page.asked_at - since
            )
        with consumer.read_again_on_failure():
            self.apply_servers(page, complete, now)
        return True

    def apply_servers(
        self, page: RecordPage, complete: bool, now: Instant
    ) -> None:
        """Applies server entries and sends what changed, as the reader.

        Args:
            page: The entries.
            complete: Whether they are the newest ones of all servers.
            now: Present time.
        """
        discovery = self.kernel.service('discovery')
        discovery.drop_expired(now)
        should_notify = self.reading.is_reader(now) and not complete
        topic = records.SERVERS_TOPIC
        for record in page.records:
            name = BackendServerId(record.key)
            entry = self.entries.decode(topic, record, server_entry)
            news = ServerNews(name, record.offset, entry, page.era)
            with self.entries.applying(topic, record):
                if discovery.apply(news, now) and should_notify:
                    self.gossip.send_server(news)
        if complete:
            listed = {BackendServerId(item.key) for item in page.records}
            end = Position(page.era, page.next_offset)
            discovery.remove_unlisted(listed, end, now)
        if page.reaches_end:
            discovery.confirm(page.asked_at)
            self.reading.record_contact(page.asked_at)


def most_heartbeats(page: RecordPage) -> int:
    """Returns the number of entries of the server that has most of them."""
    counts = Counter(item.key for item in page.records if item.value)
    return max(counts.values(), default=0)


def server_entry(record: KeyedRecord) -> ServerEntry | None:
    """Returns the server entry of a record, or None if it was removed.

    Raises:
        CodecError: If the record has no valid one.
    """
    if record.value is None:
        return None
    return records.decode_server(record.key, record.value)


def is_configuration(record: KeyedRecord) -> bool:
    """Returns whether a record of its topic is a configuration."""
    return record.key == records.CONFIGURATION_KEY
