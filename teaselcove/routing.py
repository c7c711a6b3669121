"""Choice of a backend server for an attempt."""

from collections import Counter
from typing import Any, Protocol

import msgspec

from teaselcove.attempts import Attempt
from teaselcove.effects import ReadEndpoints
from teaselcove.entities import Server
from teaselcove.events import AttemptResult, EndpointsListed, HostState
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.kernel import Kernel, on, services
from teaselcove.registry import Registry

# A server that said it drains gets no new work for this long, unless the
# platform's list shows it as live after that.
LEAVING_HOLD_S = 30


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that may get the attempt.

    Attributes:
        in_flight: Attempts of this host at the server.
        weight: Share of work that its health allows, above 0 and up to 1.
    """

    server: Server
    in_flight: int
    weight: float


class Balancer(Protocol):
    """Interface of the policies that choose among candidates."""

    def choose(self, candidates: list[Candidate], now: Instant) -> Candidate:
        """Returns one of the candidates, of which there is at least one."""


balancers: Registry[Any] = Registry('balancer')


@balancers.register('least-in-flight')
class LeastInFlight:
    """Chooses the server with the fewest attempts of this host."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def choose(self, candidates: list[Candidate], now: Instant) -> Candidate:
        """Returns a candidate with the least work, at random among equals."""
        least = min(candidate.in_flight for candidate in candidates)
        return self.kernel.random.choice(
            [
                candidate
                for candidate in candidates
                if candidate.in_flight == least
            ]
        )


@services.register('routing')
class Routing:
    """Keeps the attempts in flight and picks servers."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.in_flight: Counter[BackendServerId] = Counter()
        self.listed_leaving: frozenset[BackendServerId] = frozenset()
        self.leaving_until: dict[BackendServerId, Instant] = {}
        name = kernel.settings.policies.balancer
        self.balancer: Balancer = balancers.get(name)(kernel)

    def start(self, now: Instant) -> None:
        """Starts to read the list of backend servers at intervals."""
        self.read_list(now)

    def read_list(self, now: Instant) -> None:
        """Asks for the platform's list of backend servers."""
        self.kernel.emit(ReadEndpoints())
        interval = self.kernel.settings.list_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_list)

    @on(EndpointsListed)
    def endpoints_listed(self, event: EndpointsListed, now: Instant) -> None:
        """Takes over which servers are leaving."""
        self.listed_leaving = frozenset(
            entry.server
            for entry in event.endpoints
            if entry.state is HostState.LEAVING
        )

    def is_leaving(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server must get no new work."""
        if server in self.listed_leaving:
            return True
        return self.leaving_until.get(server, now) > now

    def note_leaving(self, server: BackendServerId, now: Instant) -> None:
        """Notes that a server announced its drain in an answer."""
        self.leaving_until[server] = Instant(now + LEAVING_HOLD_S)

    def pick(
        self,
        service: ServiceId,
        exclude: frozenset[BackendServerId],
        now: Instant,
    ) -> Server | None:
        """Returns the server for a new attempt, or None if all are busy."""
        candidates = self.candidates(service, exclude, now)
        if not candidates:
            return None
        chosen = self.balancer.choose(candidates, now)
        self.kernel.decide(
            'route',
            service=service,
            server=chosen.server.id,
            in_flight=chosen.in_flight,
            weight=chosen.weight,
            candidates=len(candidates),
        )
        return chosen.server

    def candidates(
        self,
        service: ServiceId,
        exclude: frozenset[BackendServerId],
        now: Instant,
    ) -> list[Candidate]:
        """Returns the servers with a free slot that may get new work."""
        declared = self.kernel.service('configuration').service(service)
        if declared is None:
            return []
        health = self.kernel.service('health')
        found = []
        for server in declared.servers:
            if server.id in exclude or self.is_leaving(server.id, now):
                continue
            in_flight = self.in_flight[server.id]
            weight = health.weight(server.id, now)
            if weight > 0 and in_flight < server.slots:
                found.append(Candidate(server, in_flight, weight))
        return found

    def started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""
        self.in_flight[attempt.server] += 1

    def finished(
        self, attempt: Attempt, result: AttemptResult, now: Instant
    ) -> None:
        """Notes that an attempt has ended."""
        self.in_flight[attempt.server] -= 1
        if not self.in_flight[attempt.server]:
            self.in_flight.pop(attempt.server)
