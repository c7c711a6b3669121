"""Ejection policies: which servers get no new work.

A server is ejected by the verdict of the aggregator or if the evidence of this
host is strong enough. The floor is applied last, on each host and each time
that the weights are read, so that no verdict, message or view of the peers can
eject more servers than it allows.
"""

import msgspec

from teaselcove.attempts import Attempt
from teaselcove.effects import CancelAttempt, CloseConnections
from teaselcove.entities import Service
from teaselcove.events import AttemptResult
from teaselcove.floors import limit_ejections
from teaselcove.health import ejection_policies
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.judge import RAMP_S, RAMP_START
from teaselcove.kernel import Kernel
from teaselcove.observations import Observations
from teaselcove.scores import TRIAL_RATIO, Stage
from teaselcove.views import CallsOverdue, ServiceView

# Share of work of an ejected server that the floor keeps in use.
FLOOR_WEIGHT = 0.25
# Trial calls per second for each service, over all hosts. A trial at a server
# that is still unhealthy costs a caller one repeated call.
TRIAL_RATE = 2
# Shortest time between two trials of one host at a server.
TRIAL_INTERVAL_S = 0.3
# Seconds between renewals of the connections to a server with overdue calls.
# Calls to the server use new connections for as long.
RENEWAL_INTERVAL_S = 10
PERCENT = 100
# A call in flight at an ejected server is cancelled at this multiple of the
# scale, which is enough evidence to end a trial.
CANCEL_RATIO = TRIAL_RATIO


class ServerState(msgspec.Struct, frozen=True):
    """Stage and share of work of a server on this host.

    Attributes:
        rank: Position by score; the smallest has the strongest evidence.
    """

    stage: Stage
    weight: float
    rank: float = 0


@ejection_policies.register('peer-comparison')
class PeerComparison:
    """Ejects servers that perform worse than their peers."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.trial_at: dict[BackendServerId, Instant] = {}
        self.renew_until: dict[BackendServerId, Instant] = {}

    @property
    def observations(self) -> Observations:
        """Service that collects the evidence."""
        return self.kernel.service('observations')

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""
        self.observations.attempt_started(attempt, now)

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Records the result of an attempt."""
        self.observations.attempt_finished(attempt, result, status, now)

    def state(
        self, view: ServiceView, server: BackendServerId, now: Instant
    ) -> ServerState:
        """Returns the more cautious of the local and the pooled state."""
        tracker = view.local.tracker
        record = tracker.records.get(server)
        local = ServerState(Stage.IN_USE, 1)
        if record is not None:
            local = ServerState(
                record.stage,
                tracker.weight(server, now),
                PERCENT - record.ejection_score,
            )
        pooled = self.pooled_state(view, server, now)
        if pooled is None or local.weight < pooled.weight:
            return local
        return pooled

    def pooled_state(
        self, view: ServiceView, server: BackendServerId, now: Instant
    ) -> ServerState | None:
        """Returns the state in the aggregator's verdict, or None if in use."""
        verdict = view.fresh_verdict(now)
        if verdict is None:
            return None
        for rank, standing in enumerate(verdict.standings):
            if standing.server == server:
                weight = standing.percent / PERCENT
                if standing.stage is Stage.RAMP:
                    done = (now - view.verdict_at) / RAMP_S
                    weight = min(weight + (1 - RAMP_START) * done, 1)
                return ServerState(standing.stage, weight, rank)
        return None

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns the shares of work of the servers of a service, 0 to 1."""
        if self.all_in_full_use(service, now):
            return {server.id: 1 for server in service.servers}
        states = self.states(service, now)
        ejected = self.ejected(service, states, now)
        floor_weights = {
            server: FLOOR_WEIGHT for server in states if server not in ejected
        }
        return {
            server: state.weight or floor_weights.get(server, 0)
            for server, state in states.items()
        }

    def all_in_full_use(self, service: Service, now: Instant) -> bool:
        """Returns whether all servers are in full use.

        This is so most of the time, and computing the states of all servers
        for each call was the largest cost of the core.
        """
        view = self.observations.view(service.id)
        verdict = view.fresh_verdict(now)
        if verdict is not None and verdict.standings:
            return False
        return not view.local.tracker.is_busy()

    def states(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, ServerState]:
        """Returns the states of the servers before the floor applies."""
        view = self.observations.view(service.id)
        return {
            server.id: self.state(view, server.id, now)
            for server in service.servers
        }

    def ejected(
        self,
        service: Service,
        states: dict[BackendServerId, ServerState],
        now: Instant,
    ) -> frozenset[BackendServerId]:
        """Returns the servers that get no work, as far as the floor allows."""
        routing = self.kernel.service('routing')
        active = [
            server for server in states if not routing.is_leaving(server, now)
        ]
        unhealthy = [server for server in active if states[server].weight == 0]
        unhealthy.sort(key=lambda server: (states[server].rank, server))
        in_full_use = sum(
            states[server].weight == 1 and routing.is_warm(server, now)
            for server in active
        )
        return frozenset(limit_ejections(unhealthy, in_full_use, service.floor))

    def trial(
        self, service: Service, idempotent: bool, now: Instant
    ) -> BackendServerId | None:
        """Returns an ejected server that an idempotent call should try."""
        if not idempotent or self.all_in_full_use(service, now):
            return None
        if not self.kernel.service('retries').budget.has_token(service.id):
            # Without the budget for a retry, a failed trial loses the call.
            return None
        states = self.states(service, now)
        for server in sorted(self.ejected(service, states, now)):
            state = states[server]
            if state.stage is Stage.TRIAL and self.is_due_for_trial(
                service.id, server, now
            ):
                self.trial_at[server] = now
                return server
        return None

    def is_due_for_trial(
        self, service: ServiceId, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether this host may make a trial at a server now."""
        last = self.trial_at.get(server)
        if last is not None and now - last < TRIAL_INTERVAL_S:
            return False
        if self.kernel.service('routing').in_flight[server]:
            return False
        verdict = self.observations.view(service).fresh_verdict(now)
        rate = verdict.rate if verdict else 0
        return self.kernel.random.random() * rate < TRIAL_RATE

    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Renews connections and cancels calls at ejected servers.

        Only idempotent calls are cancelled; they are retried at another
        server.
        """
        for attempt in event.attempts:
            self.renew_connections(attempt.server, now)
        service = self.kernel.service('configuration').service(event.service)
        if service is None:
            return
        view = self.observations.view(service.id)
        ejected = self.ejected(service, self.states(service, now), now)
        for attempt in event.attempts:
            age = now - attempt.started_at
            is_old_enough = age >= CANCEL_RATIO * (view.scale(now) or age)
            if (
                is_old_enough
                and attempt.idempotent
                and attempt.server in ejected
            ):
                self.kernel.emit(CancelAttempt(attempt.attempt_id))

    def renew_connections(self, server: BackendServerId, now: Instant) -> None:
        """Closes idle connections to a server, which may be dead."""
        if not self.needs_new_connection(server, now):
            self.renew_until[server] = Instant(now + RENEWAL_INTERVAL_S)
            self.kernel.emit(CloseConnections(server))

    def needs_new_connection(
        self, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether calls to a server must use a new connection."""
        return self.renew_until.get(server, now) > now
