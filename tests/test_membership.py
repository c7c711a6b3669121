"""Tests of heartbeats, suspicion and incarnations."""

import msgspec
import pytest

from standins.fleet import Fleet
from teaselcove import messages
from teaselcove.effects import Send
from teaselcove.events import (
    HostEntry,
    HostsListed,
    HostState,
    PauseDetected,
    PeerMessageReceived,
)
from teaselcove.heartbeats import (
    COUNTER_SPAN,
    Heartbeat,
    Introduction,
    PeerGraph,
    RecentEntry,
    is_newer,
    pack_entries,
    unpack_entries,
)
from teaselcove.ids import HostId, Instant
from teaselcove.kernel import Kernel
from teaselcove.membership import Membership
from tests.support import host_entry, make_kernel
from tests.test_fleet import make_fleet

# Bytes around each message: sender, incarnation, recipient and frame.
ENVELOPE_BYTES = 32
HEARTBEAT_BUDGET_BYTES = 1600


def rounds_to_all(graph: PeerGraph, source: HostId) -> int:
    """Returns the rounds until a heartbeat entry of a host reaches all."""
    known = {source}
    latest = [source]
    rounds = 0
    while len(known) < len(graph.hosts):
        reached = {peer for host in latest for peer in graph.peers(host)}
        latest = sorted(reached - known)
        assert latest, f'{len(known)} hosts reached'
        known.update(latest)
        rounds += 1
    return rounds


def membership_of(fleet: Fleet, index: int) -> Membership:
    """Returns the membership of a host."""
    return fleet.hosts[HostId(f'host-{index}')].kernel.service('membership')


def kernel_with_hosts(*entries: HostEntry) -> Kernel:
    """Returns a kernel of `host-1` with other hosts in its list."""
    kernel = make_kernel()
    kernel.handle(HostsListed((host_entry(1), *entries)), Instant(0))
    return kernel


def send_heartbeat(
    kernel: Kernel, now: float, incarnation: int, counter: int, **fields: int
) -> list:
    """Sends a heartbeat of `host-2` to a kernel; returns its replies."""
    event = PeerMessageReceived(
        'host-2', incarnation, Heartbeat(counter, 1, 0, **fields)
    )
    effects = kernel.handle(event, Instant(now))
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and effect.host == 'host-2'
    ]


class TestPeerGraph:
    """Choice of the peers that heartbeats are sent to."""

    @pytest.mark.parametrize(
        ('hosts', 'rounds'), [(2, 1), (9, 1), (12, 2), (44, 3), (3000, 5)]
    )
    def test_rounds(self, hosts: int, rounds: int) -> None:
        """Guards against hosts that forwarded entries don't reach."""
        graph = PeerGraph([HostId(f'host-{index}') for index in range(hosts)])
        sources = graph.hosts[:: max(1, hosts // 8)]
        assert max(rounds_to_all(graph, host) for host in sources) == rounds
        assert all(len(graph.peers(host)) <= 8 for host in sources)

    def test_one_host_leaves(self) -> None:
        """Guards against one removed host that changes most of the graph."""
        hosts = [HostId(f'host-{index}') for index in range(44)]
        before = PeerGraph(hosts)
        after = PeerGraph(hosts[1:])
        changed = [
            host
            for host in hosts[1:]
            if before.peers(host) != after.peers(host)
        ]
        assert len(changed) <= 16


class TestMessage:
    """Encoding of heartbeats and their packed entries."""

    @pytest.mark.parametrize(
        'heartbeat',
        [
            Heartbeat(1, 2, 3),
            Heartbeat(1, 2, 1 << 63, 4, True, 5, b'12345'),
            Heartbeat(1, 2, 3, introduction=Introduction('h', 1 << 62, 7)),
        ],
    )
    def test_codec(self, heartbeat: Heartbeat) -> None:
        """Guards against fields that the codec loses."""
        assert messages.decode(messages.encode(heartbeat)) == heartbeat

    def test_entries(self) -> None:
        """Guards against truncated tags, counters or flags."""
        entries = [
            RecentEntry((1 << 24) - 1, COUNTER_SPAN - 1, leaving=True),
            RecentEntry(1, 0, leaving=False),
        ]
        packed = pack_entries(entries)
        assert len(packed) == 10
        assert unpack_entries(b''.join((packed, b'torn'))) == entries

    @pytest.mark.parametrize(
        ('counter', 'known', 'newer'),
        [
            (1, None, True),
            (5, 4, True),
            (4, 4, False),
            (3, 4, False),
            (1, COUNTER_SPAN - 1, True),
            (COUNTER_SPAN - 1, 1, False),
        ],
    )
    def test_counter_order(
        self, counter: int, known: int | None, newer: bool
    ) -> None:
        """Guards against late or repeated heartbeats that count as new."""
        assert is_newer(counter, known) is newer


class TestSuspicion:
    """Detection of hosts that are down, from missing heartbeats."""

    @pytest.mark.parametrize('hosts', [6, 12, 44])
    def test_bytes(self, hosts: int) -> None:
        """Guards against heartbeats that exceed their share of 3 KB/s."""
        fleet = make_fleet(hosts)
        fleet.run_until(5)
        sent = fleet.sent['host-1']
        sent_bytes = fleet.sent_bytes['host-1']
        fleet.run_until(15)
        per_second = (
            fleet.sent_bytes['host-1']
            - sent_bytes
            + (fleet.sent['host-1'] - sent) * ENVELOPE_BYTES
        ) / 10
        assert per_second <= HEARTBEAT_BUDGET_BYTES

    def test_crash_and_one_way_loss(self) -> None:
        """Guards against suspecting a host whose heartbeats some receive."""
        fleet = make_fleet(12)
        fleet.loss_share = 0.05
        for index in range(2, 12):
            fleet.cut('host-12', f'host-{index}')
        fleet.run_until(5)
        fleet.hosts.pop('host-11')
        fleet.run_until(15)
        for index in range(1, 11):
            assert not membership_of(fleet, index).is_suspected(
                'host-12', fleet.now
            )
            assert membership_of(fleet, index).is_suspected(
                'host-11', fleet.now
            )
            assert membership_of(fleet, index).has_heard_majority(fleet.now, 5)

    def test_minority_hears_no_majority(self) -> None:
        """Guards against an isolated host that assumes a majority."""
        fleet = make_fleet(12)
        fleet.run_until(5)
        for index in range(2, 13):
            fleet.cut(f'host-{index}', 'host-1')
        fleet.run_until(11.1)
        assert not membership_of(fleet, 1).has_heard_majority(fleet.now, 5)
        assert not membership_of(fleet, 1).is_suspected('host-2', fleet.now)
        assert membership_of(fleet, 2).has_heard_majority(fleet.now, 5)

    def test_pause(self) -> None:
        """Guards against acting on the state from before a pause.

        Heartbeats that waited in sockets must not prove that hosts are alive,
        and heartbeats missed during the pause must not cause suspicion.
        """
        fleet = make_fleet(12)
        fleet.run_until(5)
        fleet.pause('host-1', 8)
        fleet.run_until(9)
        for index in range(2, 13):
            fleet.cut(f'host-{index}', 'host-1')
        fleet.run_until(13.2)
        assert not membership_of(fleet, 1).has_heard_majority(fleet.now, 5)
        assert len(membership_of(fleet, 1).usable_hosts(fleet.now)) == 12

    def test_leaving_reaches_all(self) -> None:
        """Guards against hosts that refer callers to a draining host."""
        fleet = make_fleet(44)
        fleet.run_until(5)
        membership_of(fleet, 7).draining = True
        fleet.run_until(9)
        for host in fleet.hosts.values():
            usable = host.kernel.service('membership').usable_hosts(fleet.now)
            assert 'host-7' not in {entry.host for entry in usable}

    def test_leaving_in_list(self) -> None:
        """Guards against ignoring that the list shows a host as leaving."""
        leaving = msgspec.structs.replace(
            host_entry(2), state=HostState.LEAVING
        )
        kernel = kernel_with_hosts(leaving)
        usable = kernel.service('membership').usable_hosts(Instant(1))
        assert [entry.host for entry in usable] == ['host-1']

    def test_unlisted_host(self) -> None:
        """Guards against accepting a host that is not in the list."""
        kernel = kernel_with_hosts()
        send_heartbeat(kernel, 1, 20, 1)
        assert kernel.service('membership').incarnation_of('host-2') is None

    def test_backlog(self) -> None:
        """Guards against counting messages from before a pause."""
        kernel = kernel_with_hosts(host_entry(2))
        membership = kernel.service('membership')
        membership.pause_detected(PauseDetected(60), Instant(1))
        send_heartbeat(kernel, 1.1, 20, 1, generation=1)
        assert not membership.has_heard_majority(Instant(1.2), 5)


class TestIncarnations:
    """Which process of a host is the current one."""

    def test_late_heartbeat_of_earlier_process(self) -> None:
        """Guards against returning to a process that has ended."""
        kernel = kernel_with_hosts(host_entry(2))
        membership = kernel.service('membership')
        send_heartbeat(kernel, 1, 20, 9)
        assert membership.incarnation_of('host-2') == 20
        corrections = send_heartbeat(kernel, 1, 21, 1)
        known = Introduction('host-2', 20, 0)
        assert [sent.introduction for sent in corrections] == [known]
        assert membership.incarnation_of('host-2') == 20
        send_heartbeat(kernel, 2.1, 21, 2, generation=1)
        assert membership.incarnation_of('host-2') == 21
        send_heartbeat(kernel, 2.2, 20, 10)
        assert membership.incarnation_of('host-2') == 21

    def test_generation_is_raised(self) -> None:
        """Guards against a restarted host that others ignore forever."""
        kernel = kernel_with_hosts(host_entry(2))
        membership = kernel.service('membership')
        earlier = Introduction('host-1', 1, 4)
        send_heartbeat(kernel, 1, 20, 1, introduction=earlier)
        assert membership.generation == 5
        assert not send_heartbeat(kernel, 1, 20, 2, introduction=earlier)
        assert membership.generation == 5

    def test_restart_in_fleet(self) -> None:
        """Guards against restarted hosts that are accepted too late."""
        fleet = make_fleet(12)
        fleet.run_until(5)
        settings = fleet.hosts['host-12'].kernel.settings
        restarted = fleet.add_host(settings).service('membership')
        fleet.run_until(9)
        for index in range(1, 12):
            known = membership_of(fleet, index).incarnation_of('host-12')
            assert known == restarted.incarnation
