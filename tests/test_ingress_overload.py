"""Tests of loads whose cause is not a single server."""

import pytest

from tests.ingress_fleet import IngressFleet

HOSTS = 6
SERVERS = 9
WARM_UP_S = 8
RATE = 60
MAX_WRONGFUL = 0.001


class TestAllServersSlow:
    """All servers become ten times slower at once."""

    @pytest.mark.parametrize('seed', [1, 2, 3, 4, 6, 8])
    def test_overload(self, seed: int) -> None:
        """Guards against ejecting servers when all are slow."""
        fleet = IngressFleet(HOSTS, SERVERS, seed)
        fleet.run(WARM_UP_S, RATE)
        fleet.latency *= 10
        fleet.run(WARM_UP_S + 8, RATE)
        assert not fleet.ejected()


class TestZoneLost:
    """The servers and hosts of an availability zone fail at once."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_refusals(self, seed: int) -> None:
        """Guards against refusals after the loss of a zone.

        0.7 of the capacity is 1.05 of what is left. The excess of ten seconds
        is half a second of work, which fits into the time that requests have.
        """
        servers = 33
        fleet = IngressFleet(HOSTS, servers, seed)
        fleet.latency = 0.2
        rate = 0.7 * servers * 3 / fleet.latency
        fleet.run(WARM_UP_S, rate)
        fleet.lost = {f's{index}' for index in range(1, servers, 3)}
        fleet.live_hosts = [host for host in range(HOSTS) if host % 3 != 1]
        fleet.run(WARM_UP_S + 12, rate)
        refused = sum(request.refused for request in fleet.requests)
        assert refused < MAX_WRONGFUL * len(fleet.requests)
