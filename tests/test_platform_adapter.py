"""Tests of decoders for data of the users' platform."""

import msgspec
import pytest

from teaselcove.errors import CodecError, SettingsError
from teaselcove.ingress.entities import KeyedRecord
from teaselcove.platform.boot import decode_boot
from teaselcove.platform.headers import decode_server_limit, decode_store_era
from teaselcove.platform.hosts import decode_host, encode_host
from teaselcove.platform.records import decode_configuration, decode_server
from teaselcove.platform.store import (
    decode_records,
    encode_record,
)
from tests.ingress_support import configuration, host_record, rule

SERVER = {
    'service': 'job',
    'address': '127.0.0.9:80',
    'zone': 'a',
    'version': 'v1',
    'maxConcurrency': 3,
    'state': 'ready',
    'warmupLeftMs': 500,
    'sequence': 4,
    'born': 1700000000000,
}
BOOT = {
    'self': {
        'nodeName': 'edge-a-1',
        'role': 'host',
        'ip': '127.0.0.1',
        'zone': 'a',
        'limits': {'memoryMb': 300, 'maxFds': 4100},
    },
    'network': {
        'listenAddrs': {
            'frontendAddr': '127.0.0.1:1',
            'ready': '127.0.0.1:2',
            'directoryAddr': '127.0.0.1:3',
        },
        'internalPortRange': [7000, 7015],
        'zones': {'a': 'r', 'b': 'r'},
    },
    'platform': {'platform': {'address': '127.0.0.2:9'}},
    'terms': {'bounds': {'revokeMs': 5000, 'graceS': 6}},
}


class TestConfiguration:
    """Decoding of the operator's configuration."""

    def test_fields(self) -> None:
        """Guards against confusing seconds and milliseconds."""
        decoded = decode_configuration(configuration(version=12))
        route = decoded.routes['jobs.example'][0]
        assert decoded.version == 12
        assert decoded.limits.idle_timeout == 15
        assert (route.timeout, route.target_latency) == (2, 0.6)
        assert (route.idempotent, route.max_attempts) == (True, 2)

    def test_split(self) -> None:
        """Guards against losing a part of a traffic split."""
        split = [
            {'service': 'job', 'weight': 90},
            {'service': 'other', 'weight': 10},
        ]
        changed = rule('r', 'safe', '/read/', trafficSplit=split)
        changed['action'].pop('service')
        listeners = [{'host': 'h', 'rules': [changed]}]
        decoded = decode_configuration(configuration(listeners=listeners))
        parts = decoded.routes['h'][0].services
        assert [part.weight for part in parts] == [90, 10]

    def test_unknown_route_type(self) -> None:
        """Guards against retrying requests of an unknown route type."""
        listeners = [{'host': 'h', 'rules': [rule('r', 'new-kind', '/x/')]}]
        decoded = decode_configuration(configuration(listeners=listeners))
        assert not decoded.routes['h'][0].idempotent

    @pytest.mark.parametrize(
        'payload',
        [
            b'',
            b'{"version": "r1"',
            b'[]',
            configuration()[:-20],
            msgspec.json.encode({'version': 'r1'}),
            configuration().replace(b'"r1"', b'"12"'),
            configuration().replace(b'"r1"', b'"r-1"'),
        ],
    )
    def test_unreadable(self, payload: bytes) -> None:
        """Guards against a crash on a malformed configuration."""
        with pytest.raises(CodecError):
            decode_configuration(payload)


class TestServerEntries:
    """Decoding of backend servers' records."""

    def test_fields(self) -> None:
        """Guards against losing the start time, which detects restarts."""
        decoded = decode_server('i-1', msgspec.json.encode(SERVER))
        assert decoded.server.slots == 3
        assert decoded.warmup_left == pytest.approx(0.5)
        assert decoded.started_ms == 1700000000000
        assert not decoded.leaving

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'asleep'},
            {'address': 'nowhere'},
            {'address': 'nowhere:80'},
            {'address': '127.0.0.9:99999'},
            {'address': 7},
            {'maxConcurrency': 0},
            {'maxConcurrency': 'three'},
            {'service': None},
            {'born': 'long ago'},
        ],
    )
    def test_unusable(self, changes: dict[str, object]) -> None:
        """Guards against sending requests to a server with a bad record."""
        with pytest.raises(CodecError):
            decode_server('i-1', msgspec.json.encode({**SERVER, **changes}))


class TestHostRecords:
    """Records of the fleet's hosts."""

    def test_round_trip(self) -> None:
        """Guards against hosts that cannot read each other's records."""
        record = host_record('host-7', 'b', 99)
        item = KeyedRecord('host-7', encode_host(record), 0)
        assert decode_host(item) == record

    def test_unreadable(self) -> None:
        """Guards against a startup that fails on a malformed record."""
        with pytest.raises(CodecError):
            decode_host(KeyedRecord('host-7', b'?', 0))


class TestRecordFormat:
    """Encoding of records in the store's log."""

    def test_round_trip(self) -> None:
        """Guards against splitting keys and values wrongly."""
        payload = encode_record('config', b'{}') + encode_record('gone', b'')
        first, second = decode_records(payload, 7)
        assert (first.key, first.value, first.offset) == ('config', b'{}', 7)
        assert (second.key, second.value, second.offset) == ('gone', None, 8)

    def test_cut_short(self) -> None:
        """Guards against taking a truncated record for a complete one."""
        with pytest.raises(CodecError):
            decode_records(encode_record('config', b'{}')[:-1], 0)


class TestServerLimit:
    """Limits that backend servers name in their answers."""

    @pytest.mark.parametrize(
        ('text', 'limit'),
        [
            (None, None),
            ('2.5', 2.5),
            ('0', 0),
            ('-1', None),
            ('nan', None),
            ('inf', None),
            ('many', None),
        ],
    )
    def test_decode(self, text: str | None, limit: float | None) -> None:
        """Guards against limits that no rate of requests can follow."""
        assert decode_server_limit(text) == limit


class TestEra:
    """Decoding of the era of the store."""

    @pytest.mark.parametrize(
        ('text', 'era'), [(None, None), ('0', 0), ('12', 12), ('x', None)]
    )
    def test_decode(self, text: str | None, era: int | None) -> None:
        """Guards against a wrong era, which makes newer records outdated."""
        assert decode_store_era(text) == era


class TestBoot:
    """Decoding of the platform's settings file."""

    def test_fields(self) -> None:
        """Guards against listening on the wrong address."""
        boot = decode_boot(msgspec.json.encode(BOOT), 'boot.json')
        assert boot.caller_address == '127.0.0.1:1'
        assert boot.store_address == '127.0.0.2:9'
        assert (boot.bounds.revoke, boot.bounds.grace) == (5, 6)

    def test_new_fields_are_ignored(self) -> None:
        """Guards against failing on fields of a newer platform."""
        boot = decode_boot(msgspec.json.encode({**BOOT, 'new': 1}), 'x')
        assert boot.host == 'edge-a-1'

    def test_missing_field_is_named(self) -> None:
        """Guards against an error that does not name the missing field."""
        broken = {**BOOT, 'platform': {}}
        with pytest.raises(SettingsError, match='platform'):
            decode_boot(msgspec.json.encode(broken), 'boot.json')
