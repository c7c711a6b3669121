"""Tests of the hosts in use and of the messages between hosts."""

import msgspec

from teaselcove.ids import Instant
from tests.ingress_support import (
    host_record,
    make_kernel,
    record_attempt,
)


class TestMembers:
    """Selection of the hosts for callers to use."""

    def test_in_use(self) -> None:
        """Guards against hosts that select different hosts."""
        kernel = make_kernel(hosts_in_use=2)
        members = kernel.service('members')
        for index in range(2, 6):
            members.record_heartbeat(
                host_record(f'host-{index}', started_ms=index * 10_000),
                False,
                False,
                (host_record('host-1'),),
                Instant(3),
            )
        names = [
            record.host for record in kernel.service('hubs').in_use(Instant(3))
        ]
        assert names == ['host-1', 'host-2']

    def test_silent_and_leaving_hosts(self) -> None:
        """Guards against selecting hosts that are dead or leaving."""
        kernel = make_kernel(hosts_in_use=3)
        members = kernel.service('members')
        hears = (host_record('host-1'),)
        members.record_heartbeat(
            host_record('host-2'), False, False, hears, Instant(3)
        )
        members.record_heartbeat(
            host_record('host-3'), True, False, hears, Instant(5)
        )
        members.record_heartbeat(
            host_record('host-4'), False, False, hears, Instant(5)
        )
        names = {
            record.host for record in kernel.service('hubs').in_use(Instant(5))
        }
        assert names == {'host-1', 'host-4'}

    def test_host_whose_heartbeats_are_lost(self) -> None:
        """Guards against a host cut off in one direction that takes a share.

        The other hosts do not receive its heartbeats and leave it out.
        """
        kernel = make_kernel()
        members = kernel.service('members')
        for now in (8, 9, 10):
            members.record_heartbeat(
                host_record('host-2'), False, False, (), Instant(now)
            )
        assert not kernel.service('hubs').is_in_use(Instant(10))

    def test_clock_that_has_jumped_back(self) -> None:
        """Guards against ignoring a restarted host."""
        kernel = make_kernel()
        members = kernel.service('members')
        hears = (host_record('host-1'),)
        for started_ms in (9000, 5000):
            record = host_record('host-2', started_ms=started_ms)
            members.record_heartbeat(record, False, False, hears, Instant(9))
        assert members.peers['host-2'].record.started_ms == 5000

    def test_host_that_has_just_appeared(self) -> None:
        """Guards against hosts that leave use whenever another host starts."""
        kernel = make_kernel()
        members = kernel.service('members')
        members.record_heartbeat(
            host_record('host-2', started_ms=60_000),
            False,
            False,
            (),
            Instant(60),
        )
        assert kernel.service('hubs').is_in_use(Instant(60.5))

    def test_pause(self) -> None:
        """Guards against acting on stale state after a pause of the process."""
        kernel = make_kernel()
        members = kernel.service('members')
        members.tick(Instant(9))
        assert members.tick(Instant(14))
        assert not kernel.service('hubs').is_in_use(Instant(14.1))


class TestVouching:
    """Times as of which another host confirms state."""

    def test_never_fresher_than_the_read(self) -> None:
        """Guards against messages delayed by a paused host.

        They must not make state look newer than the read that confirms it.
        """
        vouching = make_kernel().service('vouching')
        vouching.record_heartbeat('host-2', Instant(100), Instant(1))
        vouching.record_heartbeat('host-2', Instant(101), Instant(2))
        assert vouching.as_of_time('host-2', None) is None
        assert vouching.as_of_time('host-2', Instant(0.5)) is None
        times = [vouching.as_of_time('host-2', Instant(at)) for at in (1.5, 2)]
        assert times == [Instant(100), Instant(101)]

    def test_restarted_machine(self) -> None:
        """Guards against times on the clock before a restart of the machine."""
        vouching = make_kernel().service('vouching')
        vouching.record_heartbeat('host-2', Instant(100), Instant(1))
        vouching.record_heartbeat('host-2', Instant(3), Instant(2))
        assert vouching.as_of_time('host-2', Instant(1.5)) is None


class TestMessages:
    """Messages between hosts."""

    def test_evidence_is_small(self) -> None:
        """Guards against reports whose size outweighs their benefit."""
        kernel = make_kernel()
        health = kernel.service('health')
        record_attempt(kernel, 'i-7f3a91c2', 1)
        news = health.take_evidence(Instant(3))
        assert len(msgspec.msgpack.encode(news)) < 20
