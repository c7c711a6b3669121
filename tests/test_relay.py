"""Tests of relay, snapshots and rebuild of the configuration under faults."""

import itertools

import msgspec
import pytest

from teaselcove import messages, parts, relay, snapshots
from teaselcove.configuration import STREAM
from teaselcove.core import Kernel
from teaselcove.entities import Entities, Organisation
from teaselcove.events import (
    HostsListed,
    PeerMessageReceived,
    RecordsRead,
    TimerDue,
)
from teaselcove.fold import SkipCounts
from teaselcove.records import ApplyRecord, encode_record
from teaselcove.relay import WinningRecord
from tests.operators import SERVICES, Operators
from tests.support import ENTITIES, host_entry, make_settings, records

MANY = Entities(
    organisations=tuple(
        Organisation(f'organisation-{number}', rate=number + 0.5, burst=1)
        for number in range(3000)
    )
)


@pytest.fixture
def operators() -> Operators:
    """Returns a fleet of three hosts that have the first version."""
    running = Operators(3)
    running.submit(running.plan(running.reference, 10))
    running.fleet.run_until(8)
    return running


def apply_change(operators: Operators, wait: float) -> None:
    """Applies a change and advances time."""
    operators.submit(operators.plan(operators.reference, operators.fleet.now))
    operators.fleet.run_until(operators.fleet.now + wait)


def cut_links(operators: Operators, *excluded: tuple[str, str]) -> None:
    """Cuts all links except the given ones."""
    for pair in itertools.permutations(operators.fleet.hosts, 2):
        if pair not in excluded:
            operators.fleet.cut(*pair)


class TestPaths:
    """A change reaches a host over any remaining path."""

    def test_peers_only(self, operators: Operators) -> None:
        """Guards against a host without log access that stays behind."""
        operators.fleet.log.cuts.add('host-1')
        apply_change(operators, 3)
        assert operators.configuration('host-1').version == 2
        operators.fleet.run_until(30)
        assert operators.configuration('host-1').may_serve(30)

    def test_log_only(self, operators: Operators) -> None:
        """Guards against a host without reachable peers that stays behind."""
        cut_links(operators)
        operators.fleet.run_until(20)
        apply_change(operators, 1)
        configuration = operators.configuration('host-1')
        assert configuration.version == 2
        assert configuration.may_serve(operators.fleet.now)

    def test_receives_only(self, operators: Operators) -> None:
        """Guards against a change that is sent only on request."""
        operators.fleet.log.cuts.add('host-1')
        cut_links(operators, ('host-2', 'host-1'), ('host-2', 'host-3'))
        apply_change(operators, 4)
        assert operators.configuration('host-1').version == 2

    def test_isolated(self, operators: Operators) -> None:
        """Guards against serving requests with an outdated version."""
        operators.fleet.log.cuts.add('host-1')
        cut_links(operators)
        apply_change(operators, 6)
        configuration = operators.configuration('host-1')
        assert configuration.version == 1
        assert not configuration.may_serve(operators.fleet.now)

    def test_log_unavailable(self, operators: Operators) -> None:
        """Guards against a log outage that stops the hosts from serving."""
        operators.fleet.log.available = False
        operators.fleet.run_until(600)
        assert operators.configuration('host-1').may_serve(600)

    def test_newer_version_is_announced(
        self, operators: Operators, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a majority that serves with an outdated version.

        Two of three hosts cannot get the newer version, but learn of it.
        """
        monkeypatch.setattr(relay, 'MAX_PUSH_BYTES', 0)
        operators.fleet.log.cuts.update(('host-1', 'host-2'))
        cut_links(operators, ('host-3', 'host-2'), ('host-2', 'host-1'))
        apply_change(operators, 9)
        for name in ('host-1', 'host-2'):
            configuration = operators.configuration(name)
            assert configuration.version == 1
            assert not configuration.may_serve(operators.fleet.now), name


class TestStart:
    """A host without state gets the current configuration."""

    @pytest.mark.parametrize('loss', [0, 0.3])
    def test_from_peer(self, operators: Operators, loss: float) -> None:
        """Guards against a start that needs the log."""
        record = ApplyRecord('many', operators.reference.version, MANY)
        operators.submit(record)
        operators.fleet.run_until(12)
        for name in operators.fleet.hosts:
            kernel = operators.fleet.hosts[name].kernel
            kernel.service('relay').clear_records()
        operators.fleet.log.available = False
        operators.fleet.loss_share = loss
        operators.add_host(4)
        operators.fleet.run_until(30)
        configuration = operators.configuration('host-4')
        assert configuration.version == 2
        expected = operators.reference.tables.entities()
        assert configuration.state.tables.entities() == expected
        assert configuration.state.winners == operators.reference.winners

    def test_from_snapshot(
        self, operators: Operators, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a start that needs dropped records."""
        monkeypatch.setattr(snapshots, 'SNAPSHOT_RECORDS', 3)
        operators.append(b'{')
        for _ in range(4):
            apply_change(operators, 3)
        operators.fleet.run_until(40)
        operators.truncate()
        assert operators.fleet.log.first[STREAM] == 6
        apply_change(operators, 1)
        operators.add_host(4)
        cut_links(operators)
        operators.fleet.run_until(50)
        configuration = operators.configuration('host-4')
        assert configuration.version == 6
        assert configuration.state.skipped == operators.reference.skipped
        assert configuration.may_serve(50)

    def test_retention(self, operators: Operators) -> None:
        """Guards against a host that never recovers from dropped records."""
        operators.fleet.run_until(25)
        operators.fleet.log.cuts.add('host-1')
        cut_links(operators)
        apply_change(operators, 650)
        apply_change(operators, 1)
        operators.truncate()
        operators.fleet.log.cuts.clear()
        operators.fleet.run_until(operators.fleet.now + 5)
        configuration = operators.configuration('host-1')
        assert configuration.version == operators.reference.version
        assert (
            configuration.state.next_offset > operators.fleet.log.first[STREAM]
        )

    @pytest.mark.parametrize(
        'damaged', [b'', b'\x00', 'cut', 'bit', 'format', 'part']
    )
    def test_damaged_snapshot(
        self, operators: Operators, damaged: bytes | str
    ) -> None:
        """Guards against a start from a damaged or partial snapshot."""
        stored = operators.fleet.log.streams[parts.STREAM]
        good = list(
            map(messages.encode, parts.split_into_parts(operators.read()))
        )
        apply_change(operators, 1)
        part = parts.build_part(operators.read(), 0)
        payload = messages.encode(part)
        newest = {
            'cut': payload[:-9],
            'bit': payload.replace(b'village', b'willage'),
            'format': messages.encode(msgspec.structs.replace(part, format=2)),
            'part': payload,
        }.get(damaged, damaged)
        stored.clear()
        stored.extend([*good, newest])
        found = operators.read()
        assert found.version == operators.reference.version
        assert found.digest == operators.reference.digest
        operators.fleet.log.truncate(STREAM, 1)
        assert operators.read().digest == operators.reference.digest


class TestMismatch:
    """Content that differs is detected and rebuilt from the log."""

    def test_equal_version(self, operators: Operators) -> None:
        """Guards against a host that keeps damaged content."""
        operators.fleet.keep_decisions = True
        state = operators.configuration('host-1').state
        state.tables.by_kind['organisations'].remove('village')
        state.digest += 1
        operators.fleet.run_until(12)
        operators.check(8)
        configuration = operators.configuration('host-1')
        assert configuration.organisation('village') is not None
        kinds = {entry.kind for _, _, entry in operators.fleet.decisions}
        assert kinds >= {'digest-mismatch', 'rebuilt'}

    def test_next_record(self, operators: Operators) -> None:
        """Guards against a host with damaged content that stays behind."""
        state = operators.configuration('host-1').state
        state.digest += 1
        apply_change(operators, 6)
        operators.check(8)
        assert operators.configuration('host-1').version == 2


def make_kernel() -> Kernel:
    """Returns a kernel with three hosts and the first version."""
    kernel = Kernel(make_settings(), 1, SERVICES)
    kernel.start(0)
    kernel.handle(HostsListed(tuple(map(host_entry, (1, 2, 3)))), 0)
    kernel.handle(records(0, ENTITIES), 0)
    return kernel


class TestStaleness:
    """The age of a host's information limits how long it serves."""

    def test_late_result(self) -> None:
        """Guards against counting a result from before a pause as new."""
        kernel = make_kernel()
        configuration = kernel.service('configuration')
        assert configuration.may_serve(5)
        kernel.handle(TimerDue(), 0.5)
        kernel.handle(records(1, ENTITIES), 20)
        assert configuration.version == 2
        assert not configuration.may_serve(20)

    def test_partial_read(self) -> None:
        """Guards against counting a partial read of the log as complete."""
        kernel = make_kernel()
        configuration = kernel.service('configuration')
        kernel.handle(RecordsRead(STREAM, 1, 0, 1, ()), 0.5)
        more = msgspec.structs.replace(records(1, ENTITIES), next_offset=9)
        kernel.handle(more, 4)
        assert configuration.version == 2
        assert not configuration.may_serve(6)

    def test_newer_version(self) -> None:
        """Guards against serving with keys that a newer version withdrew."""
        configuration = make_kernel().service('configuration')
        configuration.record_version(2, 1)
        configuration.last_log_read = 7
        assert configuration.may_serve(6)
        assert not configuration.may_serve(6.1)

    @pytest.mark.parametrize(
        'payload',
        [b'', b'{', encode_record(ApplyRecord('late', 0, ENTITIES))],
    )
    def test_damaged_relay(self, payload: bytes) -> None:
        """Guards against an invalid relayed record that hides the log's."""
        kernel = make_kernel()
        message = WinningRecord(2, 1, 5, SkipCounts(lost=3), payload)
        kernel.handle(PeerMessageReceived('host-2', 2, message), 1)
        configuration = kernel.service('configuration')
        assert (configuration.version, configuration.state.next_offset) == (
            1,
            1,
        )
        kernel.handle(records(1, ENTITIES), 1)
        assert configuration.version == 2
