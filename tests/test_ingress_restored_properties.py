"""Properties of the list of servers while the store goes back repeatedly."""

import asyncio
import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from teaselcove.errors import HistoryLostError
from teaselcove.ids import Instant
from teaselcove.ingress.entities import KeyedRecord, RecordPage, ServerEntry
from teaselcove.ingress.freshness import Freshness, server_entry
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.ingress.topic_consumer import TopicConsumer
from teaselcove.platform.records import SERVERS_TOPIC
from tests.ingress_support import SERVER_HEARTBEAT_S, make_kernel
from tests.test_ingress_freshness import DiscardingGossip, RefusingStore

STEPS = 60
STEP_S = 0.5
SERVERS = ('s0', 's1', 's2', 's3')
# Seconds after its return in which the store drops the entries of servers that
# are gone.
ENTRY_LIFETIME_S = 3 * SERVER_HEARTBEAT_S
# Longer than any entry or removal stays in doubt.
SETTLED_S = 10


class SimulatedServer:
    """A backend server.

    Attributes:
        state: What it says of itself, or None while it does not run.
    """

    def __init__(self) -> None:
        self.born = 0
        self.sequence = 0
        self.state: str | None = None

    def statement(self) -> bytes:
        """Returns its next entry."""
        self.sequence += 1
        return msgspec.json.encode(
            {
                'service': 'job',
                'address': '127.0.2.1:1',
                'zone': 'a',
                'maxConcurrency': 3,
                'state': self.state,
                'sequence': self.sequence,
                'born': self.born,
            }
        )


class RestorableStore:
    """The topic of the servers in a store that goes back to copies."""

    def __init__(self) -> None:
        self.era = 1
        self.records: list[tuple[str, bytes | None]] = []
        self.returned_at = float('-inf')

    def newest_records(self) -> dict[str, KeyedRecord]:
        """Returns the newest record of each server that has an entry."""
        newest = {
            name: KeyedRecord(name, value, offset)
            for offset, (name, value) in enumerate(self.records)
        }
        return {name: item for name, item in newest.items() if item.value}

    def restore(self, lost: int, now: float) -> None:
        """Loses the last records."""
        self.records = self.records[: max(0, len(self.records) - lost)]
        self.era += 1
        self.returned_at = now

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Returns the records from an offset on."""
        if offset > len(self.records):
            raise HistoryLostError(topic)
        found = tuple(
            KeyedRecord(name, value, offset + index)
            for index, (name, value) in enumerate(self.records[offset:])
        )
        return RecordPage(found, len(self.records), asked_at, era=self.era)

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the newest records."""
        found = tuple(self.newest_records().values())
        return RecordPage(found, len(self.records), asked_at, era=self.era)


class ReadingHost:
    """A host that reads the store and gets entries from another host.

    Attributes:
        dropped: Lifetimes of servers that it knows to be gone or leaving.
    """

    def __init__(self, store: RestorableStore) -> None:
        self.kernel = make_kernel()
        self.freshness = Freshness(
            self.kernel, RefusingStore(), DiscardingGossip()
        )
        self.discovery = self.kernel.service('discovery')
        self.consumer = TopicConsumer(store, SERVERS_TOPIC)
        self.dropped: set[tuple[str, int]] = set()

    def read(self, now: Instant) -> RecordPage:
        """Reads the store; returns what it has read."""
        before = self.lifetimes()
        page, complete = asyncio.run(self.consumer.read())
        self.freshness.read_succeeded(page.era, now)
        self.freshness.apply_servers(page, complete, now)
        self.dropped |= before - self.lifetimes()
        return page

    def receive(self, news: ServerNews, now: Instant) -> None:
        """Applies an entry that another host has read."""
        before = self.lifetimes()
        self.discovery.apply(news, now, 'host-2')
        self.dropped |= before - self.lifetimes()

    def lifetimes(self) -> set[tuple[str, int]]:
        """Returns the known servers that are not leaving."""
        return {
            (name, known.statement.started_ms)
            for name, known in self.discovery.servers.items()
            if not known.leaving
        }

    def usable(self, now: Instant) -> set[tuple[str, int]]:
        """Returns the servers that may get new requests."""
        return {
            (known.server.id, known.statement.started_ms)
            for known in self.discovery.usable('job', now)
        }


class RestoredFleet:
    """Servers, a store that goes back, and two hosts that read it."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = float(1)
        self.store = RestorableStore()
        self.servers = {name: SimulatedServer() for name in SERVERS}
        self.hosts = [ReadingHost(self.store) for _ in range(2)]
        self.delayed: list[ServerNews] = []
        self.gone: set[tuple[str, int]] = set()

    def step(self) -> None:
        """Plays a random change, then time passes."""
        action = self.rng.choice(
            (self.start, self.leave, self.end, self.go_back, self.deliver)
        )
        action(self.rng.choice(SERVERS))
        self.pass_time()

    def start(self, name: str) -> None:
        """Starts a server that does not run."""
        server = self.servers[name]
        if server.state is None:
            server.born += 1
            server.sequence = 0
            self.say(name, 'ready')

    def leave(self, name: str) -> None:
        """Lets a server announce that it leaves."""
        if self.servers[name].state == 'ready':
            self.say(name, 'draining')

    def end(self, name: str) -> None:
        """Ends a server; its entry is removed."""
        server = self.servers[name]
        if server.state is not None:
            server.state = None
            self.gone.add((name, server.born))
            self.store.records.append((name, None))

    def go_back(self, name: str) -> None:
        """Lets the store go back; live servers write what it has lost."""
        if self.now - self.store.returned_at > SETTLED_S:
            self.store.restore(self.rng.randrange(1, 12), self.now)

    def deliver(self, name: str) -> None:
        """Delivers an entry that was held up between the hosts."""
        if self.delayed:
            news = self.delayed.pop(self.rng.randrange(len(self.delayed)))
            self.rng.choice(self.hosts).receive(news, Instant(self.now))

    def say(self, name: str, state: str) -> None:
        """Lets a server write its entry."""
        self.servers[name].state = state
        statement = self.servers[name].statement()
        self.store.records.append((name, statement))

    def pass_time(self) -> None:
        """Lets servers and the store correct entries, and hosts read."""
        self.now += STEP_S
        listed = self.store.newest_records()
        for name in SERVERS:
            said = listed.get(name)
            self.correct(name, said and server_entry(said))
        for host in self.hosts:
            page = host.read(Instant(self.now))
            self.delayed.extend(
                ServerNews(item.key, item.offset, server_entry(item), page.era)
                for item in page.records
            )

    def correct(self, name: str, entry: ServerEntry | None) -> None:
        """Lets a server, or the store if it is gone, correct its entry."""
        server = self.servers[name]
        if server.state is None:
            away = self.now - self.store.returned_at
            if entry and away > ENTRY_LIFETIME_S:
                self.store.records.append((name, None))
            return
        said = entry and (entry.started_ms, entry.leaving)
        if said != (server.born, server.state == 'draining'):
            self.say(name, server.state)

    def check(self) -> None:
        """Checks that no host uses a server that it knows to be gone."""
        for host in self.hosts:
            used = host.usable(Instant(self.now))
            assert not used & host.dropped & self.gone

    def settle(self) -> set[tuple[str, int]]:
        """Lets everything come to rest; returns the servers that are ready."""
        for _ in range(int(SETTLED_S / STEP_S)):
            self.pass_time()
        return {
            (name, server.born)
            for name, server in self.servers.items()
            if server.state == 'ready'
        }


class TestRestorations:
    """Random lives of servers in a store that goes back."""

    @given(st.integers(min_value=0, max_value=2**32))
    def test_lists_of_servers(self, seed: int) -> None:
        """Guards against servers that stay, come back or are ignored."""
        fleet = RestoredFleet(random.Random(seed))
        for _ in range(STEPS):
            fleet.step()
            fleet.check()
        ready = fleet.settle()
        now = Instant(fleet.now)
        assert [host.usable(now) for host in fleet.hosts] == [ready, ready]
