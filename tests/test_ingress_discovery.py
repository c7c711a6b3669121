"""Tests of the list of backend servers that a host keeps."""

import pytest

from teaselcove.ids import Instant
from teaselcove.ingress.known_servers import MAX_REMOVALS
from teaselcove.ingress.peer_messages import ServerNews
from teaselcove.ingress.server_record import Condition
from tests.ingress_support import (
    add_servers,
    at,
    entry,
    make_kernel,
    pick,
    record_attempt,
)


class TestDiscovery:
    """Entries of servers in the store."""

    def test_leaving_server(self) -> None:
        """Guards against sending requests to a leaving server."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        assert discovery.update(entry('s0', leaving=True), at(9), Instant(1))
        usable = discovery.usable('job', Instant(1))
        assert [known.server.id for known in usable] == ['s1']

    def test_older_record_does_not_win(self) -> None:
        """Guards against older records: pages of a read are no snapshot."""
        kernel = make_kernel()
        discovery = kernel.service('discovery')
        discovery.update(entry('s0', leaving=True), at(9), Instant(1))
        assert not discovery.update(entry('s0'), at(4), Instant(2))
        assert not discovery.usable('job', Instant(2))

    def test_restarted_server(self) -> None:
        """Guards against health records of an earlier process of an id."""
        kernel = make_kernel()
        add_servers(kernel, 1)
        health = kernel.service('health')
        for _ in range(3):
            record_attempt(kernel, 's0', 1)
        kernel.service('discovery').update(
            entry('s0', started_ms=2), at(9), Instant(2)
        )
        assert health.condition('s0') is Condition.HEALTHY

    def test_expired_during_outage(self) -> None:
        """Guards against removing servers that could not renew their entry."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        discovery.store_recovered(Instant(10))
        discovery.remove('s0', at(9), Instant(10.1))
        assert len(discovery.usable('job', Instant(10.2))) == 2
        assert len(discovery.usable('job', Instant(12.1))) == 1
        discovery.update(entry('s0'), at(12), Instant(11))
        assert len(discovery.usable('job', Instant(12.1))) == 2

    def test_removed_server(self) -> None:
        """Guards against using a server after its entry was removed."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        discovery.remove('s0', at(9), Instant(1))
        discovery.remove_unlisted({'s0'}, at(20), Instant(1))
        assert not discovery.usable('job', Instant(1))

    def test_kept_server_is_dropped(self) -> None:
        """Guards against servers that are kept for ever after an outage."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        discovery.store_recovered(Instant(10))
        discovery.remove('s0', at(9), Instant(10.1))
        discovery.drop_expired(Instant(11))
        assert len(discovery.servers) == 2
        discovery.drop_expired(Instant(12))
        assert set(discovery.servers) == {'s1'}
        assert not discovery.update(entry('s0'), at(8), Instant(13))

    @pytest.mark.parametrize('unlisted', [False, True])
    def test_older_record_does_not_restore(self, unlisted: bool) -> None:
        """Guards against a removed server that is used again.

        Records may be applied late: reads overlap, and messages are delayed.
        """
        kernel = make_kernel()
        add_servers(kernel, 1)
        discovery = kernel.service('discovery')
        if unlisted:
            discovery.remove_unlisted(set(), at(10), Instant(1))
        else:
            discovery.remove('s0', at(9), Instant(1))
        assert not discovery.update(entry('s0'), at(8), Instant(2))
        assert not discovery.usable('job', Instant(2))
        assert discovery.update(entry('s0', started_ms=2), at(12), Instant(3))
        assert discovery.usable('job', Instant(3))

    def test_removal_overtakes_entry(self) -> None:
        """Guards against a server whose removal arrives before its entry."""
        kernel = make_kernel()
        discovery = kernel.service('discovery')
        assert not discovery.remove('s0', at(9), Instant(1))
        assert not discovery.update(entry('s0'), at(8), Instant(2))
        assert not discovery.usable('job', Instant(2))

    def test_removals_are_remembered_in_bounded_memory(self) -> None:
        """Guards against memory that grows with every server that left."""
        kernel = make_kernel()
        discovery = kernel.service('discovery')
        for offset in range(MAX_REMOVALS + 10):
            discovery.remove(f's{offset}', at(offset), Instant(1))
        assert len(discovery.removals.by_server) == MAX_REMOVALS
        assert not discovery.update(
            entry(f's{offset}'), at(offset - 1), Instant(2)
        )

    def test_kept_server_is_not_confirmed_to_others(self) -> None:
        """Guards against confirming the list of a host without the removal.

        A host that keeps a removed server for a while must not share the
        checksum of one that still takes the server for registered.
        """
        kernel, other = make_kernel(), make_kernel('host-2')
        for host in (kernel, other):
            add_servers(host, 2)
        discovery = kernel.service('discovery')
        discovery.store_recovered(Instant(10))
        discovery.remove('s0', at(9), Instant(10.1))
        assert len(discovery.usable('job', Instant(10.2))) == 2
        assert discovery.digest != other.service('discovery').digest
        other.service('discovery').remove('s0', at(9), Instant(10.2))
        assert discovery.digest == other.service('discovery').digest

    def test_change_from_another_host_is_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against removals whose source cannot be told afterwards."""
        caplog.set_level('INFO')
        kernel = make_kernel()
        add_servers(kernel, 1)
        kernel.service('discovery').apply(
            ServerNews('s0', 9, None), Instant(1), 'host-2'
        )
        figures = caplog.records[-1].figures
        assert caplog.records[-1].msg == 'server-gone'
        assert figures['peer'] == 'host-2'
        assert figures['offset'] == 9
        assert not figures['kept']

    def test_attempt_names_its_entry(self) -> None:
        """Guards against attempts at servers for which no entry is named."""
        kernel = make_kernel()
        add_servers(kernel, 1, now=1)
        chosen = pick(kernel, False, 2.5)
        assert chosen.list_age == pytest.approx(1.5)
        assert chosen.known.position == at(0)
