"""Tests of entries in the store that no host or server has written."""

import asyncio

import pytest

from teaselcove.answer_memory import AnswerMemory
from teaselcove.errors import CodecError
from teaselcove.ids import Era, Instant
from teaselcove.ingress.entities import (
    IngressConfiguration,
    KeyedRecord,
    RecordPage,
)
from teaselcove.ingress.freshness import Freshness
from teaselcove.ingress.registration import Registration
from teaselcove.kernel import Kernel
from teaselcove.platform import hosts, records
from teaselcove.platform.addresses import is_address
from teaselcove.platform.store import StoreAnswer, StoreClient
from tests.ingress_support import configuration, host_record, make_kernel

DEPTH = 4096
LARGE_NUMBERS = (str(2**63), str(2**64), '9' * 400, '9' * 5000, '1e400')
SERVER = (
    '{"service": "job", "address": "127.0.2.1:%s", "zone": "a",'
    ' "maxConcurrency": 3, "state": "%s", "sequence": %s, "labels": %s}'
)
HOST = (
    '{"host": "host-2", "zone": "a", "address": "127.0.0.1:1",'
    ' "peer_address": "127.0.0.1:2", "started_ms": %s, "capacity": %s}'
)


def server(
    state: str = 'ready',
    port: str = '80',
    sequence: str = '1',
    labels: str = '0',
) -> bytes:
    """Returns the entry of a backend server."""
    return (SERVER % (port, state, sequence, labels)).encode()


def nested(closed: bool) -> str:
    """Returns lists within lists, cut off in the middle if not closed."""
    end = ']' * DEPTH if closed else ''
    return f'{"[" * DEPTH}{end}'


NESTED = (nested(closed=True), nested(closed=False))


class PagedStore:
    """A store whose topics hold the given records."""

    def __init__(self, *entries: tuple[str, bytes]) -> None:
        self.records = tuple(
            KeyedRecord(key, content, offset)
            for offset, (key, content) in enumerate(entries)
        )

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns all records."""
        return RecordPage(self.records, len(self.records), asked_at)


class UnusedHeartbeats:
    """Heartbeats that are not sent."""

    on_newer_version = None

    def send_heartbeats(self, now: Instant) -> None:
        """Discards them."""


class UnusedGossip:
    """Messages that are not sent."""

    heartbeats = UnusedHeartbeats()

    def send_configuration(self, newest: IngressConfiguration) -> None:
        """Discards it."""


def freshness(kernel: Kernel, *entries: tuple[str, bytes]) -> Freshness:
    """Returns what reads a store with the given entries."""
    return Freshness(kernel, PagedStore(*entries), UnusedGossip())


class TestDecoders:
    """Decoders of entries name one type of error."""

    @pytest.mark.parametrize('labels', NESTED, ids=['closed', 'cut off'])
    def test_nested_server(self, labels: str) -> None:
        """Guards against RecursionError, also in a field that is ignored."""
        with pytest.raises(CodecError):
            records.decode_server('s1', server(labels=labels))

    @pytest.mark.parametrize('number', LARGE_NUMBERS, ids=len)
    def test_large_number_in_server(self, number: str) -> None:
        """Guards against numbers that hosts cannot pass on to each other."""
        with pytest.raises(CodecError):
            records.decode_server('s1', server(sequence=number))

    @pytest.mark.parametrize('port', ['0', '-1', '65536', '9' * 5000, '', '²'])
    def test_port(self, port: str) -> None:
        """Guards against a port whose digits cannot become a number."""
        assert not is_address(f'127.0.0.1:{port}')

    @pytest.mark.parametrize('number', LARGE_NUMBERS, ids=len)
    def test_large_number_in_host(self, number: str) -> None:
        """Guards against a start or a capacity that cannot be ranked."""
        for content in (HOST % (number, 1), HOST % (1, f'{number}e400')):
            with pytest.raises(CodecError):
                hosts.decode_host(KeyedRecord('host-2', content.encode(), 0))

    @pytest.mark.parametrize('version', [f'r{2**64}', f'r{"9" * 5000}'])
    def test_version(self, version: str) -> None:
        """Guards against a version that hosts cannot pass on."""
        with pytest.raises(CodecError):
            records.decode_version(version)


class TestReading:
    """Entries behind an odd one count."""

    @pytest.mark.parametrize('labels', NESTED, ids=['closed', 'cut off'])
    def test_leaving_server_behind_it(self, labels: str) -> None:
        """Guards against requests to a server whose leaving was skipped."""
        kernel = make_kernel()
        reader = freshness(
            kernel,
            ('odd', server(labels=labels)),
            ('s1', server(state='draining')),
        )
        assert asyncio.run(reader.read_servers())
        discovery = kernel.service('discovery')
        assert list(discovery.servers) == ['s1']
        assert not discovery.is_usable('s1', Instant(0))
        assert reader.entries.skipped == {records.SERVERS_TOPIC: 1}

    def test_configuration_behind_it(self) -> None:
        """Guards against a version that is missed for an unreadable one."""
        kernel = make_kernel()
        odd = configuration(9).replace(b'"job"', NESTED[0].encode())
        reader = freshness(kernel, ('config', odd), ('config', configuration()))
        assert asyncio.run(reader.read_configuration())
        assert kernel.service('catalog').version == 1

    def test_host_behind_it(self) -> None:
        """Guards against hosts that are not found behind an odd entry."""
        kernel = make_kernel()
        good = host_record('host-3')
        store = PagedStore(
            ('host-2', (HOST % (NESTED[1], 1)).encode()),
            ('host-3', hosts.encode_host(good)),
        )
        registration = Registration(kernel, store, host_record('host-1'))
        asyncio.run(registration.load_hosts())
        assert list(kernel.service('members').peers) == ['host-3']

    def test_entry_that_fails(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an entry that is read, and fails as it is applied."""
        kernel = make_kernel()
        reader = freshness(kernel, ('s1', server()), ('s2', server()))
        discovery = kernel.service('discovery')
        update = discovery.update
        monkeypatch.setattr(
            discovery,
            'update',
            lambda entry, *rest: (
                fail() if entry.server.id == 's1' else update(entry, *rest)
            ),
        )
        assert asyncio.run(reader.read_servers())
        assert list(discovery.servers) == ['s2']
        assert reader.entries.skipped == {records.SERVERS_TOPIC: 1}

    def test_failure_to_apply(self) -> None:
        """Guards against a list that counts as read without an entry."""
        kernel = make_kernel()
        reader = freshness(kernel, ('s1', server()), ('s2', server()))
        kernel.service('discovery').confirm = fail
        with pytest.raises(ZeroDivisionError):
            asyncio.run(reader.read_servers())
        assert reader.consumers[records.SERVERS_TOPIC].offset is None


def fail(*_: object) -> None:
    """Fails as a fault in the code would."""
    raise ZeroDivisionError


class AnsweringStore(StoreClient):
    """A store whose answers to all calls have one body."""

    def __init__(self, body: bytes) -> None:
        super().__init__('127.0.0.1:1', AnswerMemory())
        self.body = body

    async def call(self, *arguments: object, **options: object) -> StoreAnswer:
        """Answers a call."""
        return StoreAnswer(200, self.body, Era(0))


class TestPages:
    """Pages of the store that cannot be read as a whole."""

    @pytest.mark.parametrize(
        'body',
        [
            f'{{"items":{NESTED[0]}}}'.encode(),
            f'{{"other":{NESTED[1]}'.encode(),
            b'{"items":[{"key":"a","offset":1e400}],"hasMore":false,"end":1}',
        ],
        ids=['nested', 'cut off', 'large number'],
    )
    def test_newest(self, body: bytes) -> None:
        """Guards against an error that the readers do not expect."""
        reader = Freshness(make_kernel(), AnsweringStore(body), UnusedGossip())
        assert not asyncio.run(reader.read_servers())
        assert reader.failures == 1
