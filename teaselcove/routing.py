"""Choice of a backend server for an attempt."""

from collections import Counter

from teaselcove.attempts import Attempt
from teaselcove.balancers import Balancer, Candidate, balancers
from teaselcove.effects import ReadEndpoints
from teaselcove.entities import Server, Service
from teaselcove.events import AttemptResult, EndpointsListed, HostState
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.kernel import Kernel, on, services

# Seconds without new work for a server that announced its drain. After that,
# the platform's list decides.
LEAVING_HOLD_S = 30
# Seconds without new work after a result. A refused connection is the first
# sign of many drains and of every crash, which the list or the evidence
# confirms within this time. A server that shed a call has no free slot for
# about the latency of a short call.
UNAVAILABLE_S = {AttemptResult.NOT_SENT: 1, AttemptResult.SHED: 0.03}
# Seconds of warm-up for a server that is new in the list or listed again; it
# starts cold.
WARM_UP_S = 10
COLD_WEIGHT = 0.2


@services.register('routing')
class Routing:
    """Counts the attempts in flight and picks servers."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.in_flight: Counter[BackendServerId] = Counter()
        self.listed: set[BackendServerId] = set()
        self.cold_since: dict[BackendServerId, Instant] = {}
        self.unavailable_until: dict[BackendServerId, Instant] = {}
        self.listed_leaving: frozenset[BackendServerId] = frozenset()
        self.leaving_until: dict[BackendServerId, Instant] = {}
        name = kernel.settings.policies.balancer
        self.balancer: Balancer = balancers.get(name)(kernel)

    def start(self, now: Instant) -> None:
        """Starts to read the list of backend servers periodically."""
        self.read_list(now)

    def read_list(self, now: Instant) -> None:
        """Requests the platform's list of backend servers."""
        self.kernel.emit(ReadEndpoints())
        interval = self.kernel.settings.list_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_list)

    @on(EndpointsListed)
    def endpoints_listed(self, event: EndpointsListed, now: Instant) -> None:
        """Updates which servers are leaving and which start cold."""
        self.listed_leaving = frozenset(
            entry.server
            for entry in event.endpoints
            if entry.state is HostState.LEAVING
        )
        listed = {entry.server for entry in event.endpoints}
        for server in listed - self.listed if self.listed else ():
            self.cold_since[server] = now
        self.listed = listed

    def is_leaving(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server must get no new work."""
        if server in self.listed_leaving:
            return True
        return self.leaving_until.get(server, now) > now

    def is_unavailable(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server is assumed to refuse calls now."""
        if self.unavailable_until.get(server, now) > now:
            return True
        return self.is_leaving(server, now)

    def is_warm(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether the warm-up of a server has ended."""
        return self.warm_up_weight(server, now) == 1

    def warm_up_weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work during warm-up, or 1 after it."""
        since = self.cold_since.get(server)
        if since is None:
            return 1
        done = min((now - since) / WARM_UP_S, 1)
        return COLD_WEIGHT + (1 - COLD_WEIGHT) * done

    def record_leaving(self, server: BackendServerId, now: Instant) -> None:
        """Records that a server announced its drain in an answer."""
        self.leaving_until[server] = Instant(now + LEAVING_HOLD_S)

    def pick(
        self,
        service: ServiceId,
        exclude: frozenset[BackendServerId],
        now: Instant,
        idempotent: bool = False,
    ) -> Server | None:
        """Returns the server for a new attempt, or None if all are busy.

        Args:
            service: The service.
            exclude: Servers that have failed the request.
            now: Current time.
            idempotent: Whether the call may try an ejected server.
        """
        declared = self.kernel.service('configuration').service(service)
        if declared is None:
            return None
        trial = self.trial(declared, exclude, idempotent, now)
        if trial is not None:
            self.kernel.decide('trial', service=service, server=trial.id)
            return trial
        candidates = self.candidates(declared, exclude, now)
        if not candidates:
            return None
        idle = self.kernel.service('observations').view(service).idle
        idle_candidates = [
            item for item in candidates if item.server.id in idle
        ]
        chosen = self.balancer.choose(idle_candidates or candidates, now)
        self.kernel.decide(
            'route',
            service=service,
            server=chosen.server.id,
            in_flight=chosen.in_flight,
            weight=chosen.weight,
            candidates=len(candidates),
        )
        return chosen.server

    def trial(
        self,
        service: Service,
        exclude: frozenset[BackendServerId],
        idempotent: bool,
        now: Instant,
    ) -> Server | None:
        """Returns an ejected server that this call should try, or None."""
        if exclude:
            # A request that has failed once is not sent to an ejected server.
            return None
        tried = self.kernel.service('health').trial(service, idempotent, now)
        for server in service.servers:
            if server.id == tried:
                return server
        return None

    def candidates(
        self,
        service: Service,
        exclude: frozenset[BackendServerId],
        now: Instant,
    ) -> list[Candidate]:
        """Returns the servers with a free slot that may get new work."""
        weights = self.kernel.service('health').weights(service, now)
        found = []
        for server in service.servers:
            if server.id in exclude or self.is_unavailable(server.id, now):
                continue
            in_flight = self.in_flight[server.id]
            weight = weights[server.id] * self.warm_up_weight(server.id, now)
            if weight > 0 and in_flight < server.slots:
                found.append(Candidate(server, in_flight, weight))
        return found

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Counts an attempt as in flight."""
        self.in_flight[attempt.server] += 1

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, now: Instant
    ) -> None:
        """Removes an attempt from those in flight."""
        self.in_flight[attempt.server] -= 1
        if not self.in_flight[attempt.server]:
            self.in_flight.pop(attempt.server)
        duration = UNAVAILABLE_S.get(result)
        if duration is not None:
            self.unavailable_until[attempt.server] = Instant(now + duration)
