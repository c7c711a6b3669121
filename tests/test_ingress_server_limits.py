"""Tests of the limits that backend servers name in their answers."""

import random

import pytest

from teaselcove.ids import Instant
from teaselcove.ingress.server_limits import (
    BOUND_FACTOR,
    BOUND_REQUESTS,
    BOUND_WINDOW_S,
    REPORT_DELAY_S,
)
from teaselcove.kernel import Kernel
from tests.hub_fleet import HubFleet
from tests.ingress_fleet import IngressFleet
from tests.ingress_support import (
    ZONES,
    add_servers,
    at,
    make_kernel,
    most_in_window,
    pick,
)

STEP_S = 0.01
SETTLED_S = 4
PLAYED_S = 30


def bound(limit: float) -> float:
    """Returns the requests that a server may get in the window of the bound."""
    return BOUND_FACTOR * limit * BOUND_WINDOW_S + BOUND_REQUESTS


def limited_kernel(limit: float) -> Kernel:
    """Returns the kernel of a host to which a server has named a limit."""
    kernel = make_kernel()
    add_servers(kernel, 2)
    limits = kernel.service('server-limits')
    limits.record_answer('s0', limit, True, Instant(1))
    return kernel


class SpendingFleet:
    """Hosts in use of several zones that send to one server all they may.

    The hosts exchange heartbeats with the real decisions.
    """

    def __init__(self, zones: int, limit: float, seed: int) -> None:
        names = tuple('abcdefgh'[:zones])
        self.fleet = HubFleet(3, seed, names)
        self.limit = limit
        self.random = random.Random(seed)
        self.arrivals: list[float] = []
        for host in self.fleet.hosts.values():
            add_servers(host.kernel, 1)

    def spend(self, until: float) -> None:
        """Lets all hosts send as much as they may until a time."""
        while self.fleet.now < until:
            self.fleet.run(self.fleet.now + STEP_S)
            now = Instant(self.fleet.now)
            hosts = [host for host in self.fleet.hosts.values() if host.alive]
            self.random.shuffle(hosts)
            for host in hosts:
                limits = host.kernel.service('server-limits')
                limits.record_answer('s0', self.limit, True, now)
                if limits.allows('s0', now):
                    limits.started('s0')
                    self.arrivals.append(now)


class TestBound:
    """Requests of all hosts to a server that named a limit."""

    @pytest.mark.parametrize('limit', [0, 0.4, 1.2, 3, 7.5, 40])
    @pytest.mark.parametrize('zones', [3, 5])
    def test_sum_of_all_hosts(self, zones: int, limit: float) -> None:
        """Guards against a limit that each host keeps for itself only."""
        fleet = SpendingFleet(zones, limit, seed=1)
        fleet.spend(PLAYED_S)
        assert most_in_window(fleet.arrivals, BOUND_WINDOW_S) <= bound(limit)

    @pytest.mark.parametrize('limit', [1.2, 3, 7.5, 40])
    def test_limit_is_used(self, limit: float) -> None:
        """Guards against refusing what a limited server would take."""
        fleet = SpendingFleet(3, limit, seed=2)
        fleet.spend(PLAYED_S)
        used = sum(when > SETTLED_S for when in fleet.arrivals)
        assert used >= 0.9 * limit * (PLAYED_S - SETTLED_S)

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_host_is_replaced(self, seed: int) -> None:
        """Guards against shares that a dead host and its successor both use."""
        limit = 2
        fleet = SpendingFleet(3, limit, seed)
        fleet.spend(10)
        kernel = next(iter(fleet.fleet.hosts.values())).kernel
        in_use = kernel.service('hubs').in_use(Instant(fleet.fleet.now))
        fleet.fleet.hosts[in_use[0].host].alive = False
        fleet.spend(PLAYED_S)
        assert most_in_window(fleet.arrivals, BOUND_WINDOW_S) <= bound(limit)


class TestKnowledge:
    """What a host knows of a server's limit."""

    def test_server_without_a_share_is_not_picked(self) -> None:
        """Guards against placing requests by slots alone."""
        kernel = limited_kernel(0.6)
        assert pick(kernel, False, 1.1).known.server.id == 's1'
        assert pick(kernel, False, 1.1, 's1') is None
        assert pick(kernel, False, 12, 's1').known.server.id == 's0'

    def test_success_without_limit_ends_it(self) -> None:
        """Guards against a limit that lasts longer than the server says."""
        kernel = limited_kernel(1)
        limits = kernel.service('server-limits')
        limits.record_answer('s0', None, False, Instant(1.1))
        assert not limits.allows('s0', Instant(1.1))
        limits.record_answer('s0', None, True, Instant(1.2))
        assert limits.allows('s0', Instant(1.2))
        assert limits.take_changes() == {'s0': None}

    def test_other_hosts_learn_of_it(self) -> None:
        """Guards against hosts that go on until a server tells each."""
        other = make_kernel('host-2')
        add_servers(other, 2)
        limits = other.service('server-limits')
        changes = limited_kernel(1).service('server-limits').take_changes()
        limits.record_report(changes, Instant(2))
        assert not limits.allows('s0', Instant(2))
        limits.record_report({'s0': None}, Instant(2.1))
        assert limits.allows('s0', Instant(2.1))

    def test_outdated_report_does_not_end_it(self) -> None:
        """Guards against a report sent before the server named its limit."""
        limits = limited_kernel(1).service('server-limits')
        limits.record_report({'s0': None}, Instant(1.1))
        assert not limits.allows('s0', Instant(1.1))
        limits.record_report({'s0': None}, Instant(1.1 + REPORT_DELAY_S))
        assert limits.allows('s0', Instant(1.1 + REPORT_DELAY_S))

    def test_limit_of_zero_can_end(self) -> None:
        """Guards against a server that never gets a request again."""
        limits = limited_kernel(0).service('server-limits')
        assert not limits.allows('s0', Instant(2))
        assert limits.allows('s0', Instant(60))

    def test_host_that_is_not_in_use(self) -> None:
        """Guards against shares for more hosts than the limit is split by."""
        kernel = limited_kernel(10)
        limits = kernel.service('server-limits')
        assert limits.allows('s0', Instant(5))
        kernel.service('members').leaving = True
        assert not limits.allows('s0', Instant(6))

    def test_removed_server(self) -> None:
        """Guards against the limit of an earlier process with the same id."""
        kernel = limited_kernel(1)
        kernel.service('discovery').remove('s0', at(9), Instant(2))
        limits = kernel.service('server-limits')
        assert not limits.limited
        limits.record_answer('s0', 1, True, Instant(3))
        assert not limits.limited


class TestLoad:
    """Most servers of a service limit themselves under load."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_others_take_the_rest(self, seed: int) -> None:
        """Guards against refusals while unlimited servers have room.

        The load is 0.7 of what the limits and the other servers' slots allow.
        """
        fleet = IngressFleet(2 * len(ZONES), 18, seed)
        fleet.latency = 0.2
        fleet.run(8, 60)
        fleet.limits = {f's{index}': 3 for index in range(12)}
        free = 6 * 3 / fleet.latency
        before = len(fleet.requests)
        fleet.run(28, 0.7 * (free + sum(fleet.limits.values())))
        sent = fleet.requests[before:]
        assert sum(request.refused for request in sent) <= 0.01 * len(sent)
        for server, limit in fleet.limits.items():
            settled = [when for when in fleet.arrivals[server] if when > 11]
            assert most_in_window(settled, BOUND_WINDOW_S) <= bound(limit)
