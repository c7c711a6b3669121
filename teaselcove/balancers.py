"""Policies that choose the server for an attempt among the candidates."""

from typing import Any, Protocol

import msgspec

from teaselcove.entities import Server
from teaselcove.ids import BackendServerId, Instant
from teaselcove.kernel import Kernel
from teaselcove.registry import Registry


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that may get the attempt.

    Attributes:
        in_flight: Attempts of this host at the server.
        weight: Share of work that its health allows, above 0 and up to 1.
        latency: Expected latency in multiples of that of its peers.
    """

    server: Server
    in_flight: int
    weight: float
    latency: float = 1

    @property
    def cost(self) -> float:
        """Expected wait in multiples of the latency of an idle server."""
        return (self.in_flight + 1) * self.latency / self.weight


class Balancer(Protocol):
    """Interface of the policies that choose among candidates."""

    def choose(self, candidates: list[Candidate], now: Instant) -> Candidate:
        """Returns one of the candidates, of which there is at least one."""


balancers: Registry[Any] = Registry('balancer')


@balancers.register('least-in-flight')
class LeastInFlight:
    """Baseline that chooses a server with the fewest attempts in flight.

    Each host counts only its own attempts.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def choose(self, candidates: list[Candidate], now: Instant) -> Candidate:
        """Returns a random candidate among those with the fewest attempts."""
        least = min(candidate.in_flight for candidate in candidates)
        return self.kernel.random.choice(
            [
                candidate
                for candidate in candidates
                if candidate.in_flight == least
            ]
        )


@balancers.register('round-robin')
class RoundRobin:
    """Baseline that chooses the least recently chosen server."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.turns: dict[BackendServerId, int] = {}
        self.turn = 0

    def choose(self, candidates: list[Candidate], now: Instant) -> Candidate:
        """Returns the least recently chosen candidate.

        The first turn of each server is random, so that the hosts do not
        choose the same servers in the same order.
        """
        for candidate in candidates:
            self.turns.setdefault(
                candidate.server.id, -self.kernel.random.getrandbits(16) - 1
            )
        chosen = min(candidates, key=self.turn_of)
        self.turn += 1
        self.turns[chosen.server.id] = self.turn
        return chosen

    def turn_of(self, candidate: Candidate) -> int:
        """Returns the turn at which a candidate was last chosen."""
        return self.turns[candidate.server.id]


@balancers.register('two-choices')
class TwoChoices:
    """Compares two random servers by work in flight and latency.

    Servers in the host's availability zone are drawn more often, in
    proportion to `zone_preference`, as long as enough of them are healthy.
    """

    # The latency between zones (about 1 ms) is small compared with a call, so
    # a strong preference would only waste free slots in other zones.
    zone_preference = 1.5

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def choose(self, candidates: list[Candidate], now: Instant) -> Candidate:
        """Returns the cheaper of two random candidates."""
        weights = [self.draw_weight(candidate) for candidate in candidates]
        first, second = (
            self.kernel.random.choices(candidates, weights)[0] for _ in '12'
        )
        return min(first, second, key=lambda candidate: candidate.cost)

    def draw_weight(self, candidate: Candidate) -> float:
        """Returns the relative probability of drawing a candidate."""
        if candidate.server.zone == self.kernel.settings.zone:
            return candidate.weight * self.zone_preference
        return candidate.weight
