"""Ejection policies: which servers get no new work.

A server is out if the aggregator says so or if this host's own evidence is
strong enough. The floor is applied last, on each host and each time that the
weights are read, so that no verdict, message or view of peers can cross it.
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

# Share of work of a suspect server that the floor keeps in use.
FLOOR_WEIGHT = 0.25
# Trial calls per second over the whole fleet. A trial at a server that is
# still sick costs a caller one repeated call.
TRIAL_RATE = 2
TRIAL_INTERVAL_S = 0.3
# Connections to a server at which a call is overdue are renewed at most this
# often; new connections are used for as long.
RENEWAL_S = 10
PERCENT = 100
# A call is taken back from a server that is out at this multiple of the
# scale, which is enough evidence to end a trial.
CANCEL_RATIO = TRIAL_RATIO


class ServerState(msgspec.Struct, frozen=True):
    """Stage and share of work of a server as seen by this host.

    Attributes:
        rank: Position by evidence; the smallest is the strongest.
    """

    stage: Stage
    weight: float
    rank: float = 0


@ejection_policies.register('peer-comparison')
class PeerComparison:
    """Ejects servers that do worse than their peers."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.trial_at: dict[BackendServerId, Instant] = {}
        self.renew_until: dict[BackendServerId, Instant] = {}

    @property
    def observations(self) -> Observations:
        """The service that holds the evidence."""
        return self.kernel.service('observations')

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""
        self.observations.attempt_started(attempt, now)

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended."""
        self.observations.attempt_finished(attempt, result, status, now)

    def state(
        self, view: ServiceView, server: BackendServerId, now: Instant
    ) -> ServerState:
        """Returns the more cautious of the local and the pooled state."""
        judge = view.local.judge
        record = judge.records.get(server)
        local = ServerState(Stage.IN_USE, 1)
        if record is not None:
            local = ServerState(
                record.stage,
                judge.weight(server, now),
                PERCENT - record.weight_of_ejection,
            )
        pooled = self.pooled_state(view, server, now)
        if pooled is None or local.weight < pooled.weight:
            return local
        return pooled

    def pooled_state(
        self, view: ServiceView, server: BackendServerId, now: Instant
    ) -> ServerState | None:
        """Returns the state by the aggregator's verdict, if not in use."""
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
        """Returns the shares of work of the servers of a service."""
        if self.is_quiet(service, now):
            return {server.id: 1 for server in service.servers}
        states = self.states(service, now)
        out = self.out(service, states, now)
        kept = {server: FLOOR_WEIGHT for server in states if server not in out}
        return {
            server: state.weight or kept.get(server, 0)
            for server, state in states.items()
        }

    def is_quiet(self, service: Service, now: Instant) -> bool:
        """Returns whether all servers are in full use.

        This is so most of the time; the states of all servers for each call
        were the largest cost of the core.
        """
        view = self.observations.view(service.id)
        verdict = view.fresh_verdict(now)
        if verdict is not None and verdict.standings:
            return False
        return not view.local.judge.is_busy()

    def states(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, ServerState]:
        """Returns the states of the servers before the floor applies."""
        view = self.observations.view(service.id)
        return {
            server.id: self.state(view, server.id, now)
            for server in service.servers
        }

    def out(
        self,
        service: Service,
        states: dict[BackendServerId, ServerState],
        now: Instant,
    ) -> frozenset[BackendServerId]:
        """Returns the servers that get no work, within the floor."""
        routing = self.kernel.service('routing')
        staying = [
            server for server in states if not routing.is_leaving(server, now)
        ]
        wanted = [server for server in staying if states[server].weight == 0]
        wanted.sort(key=lambda server: (states[server].rank, server))
        in_full_use = sum(
            states[server].weight == 1 and routing.is_warm(server, now)
            for server in staying
        )
        return frozenset(limit_ejections(wanted, in_full_use, service.floor))

    def trial(
        self, service: Service, idempotent: bool, now: Instant
    ) -> BackendServerId | None:
        """Returns a server to try with a call that may be repeated."""
        if not idempotent or self.is_quiet(service, now):
            return None
        if not self.kernel.service('retries').budget.has_token(service.id):
            # A trial that fails without a second attempt loses the call.
            return None
        states = self.states(service, now)
        for server in sorted(self.out(service, states, now)):
            state = states[server]
            if state.stage is Stage.TRIAL and self.may_try(
                service.id, server, now
            ):
                self.trial_at[server] = now
                return server
        return None

    def may_try(
        self, service: ServiceId, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether this host makes the next trial at a server."""
        last = self.trial_at.get(server)
        if last is not None and now - last < TRIAL_INTERVAL_S:
            return False
        if self.kernel.service('routing').in_flight[server]:
            return False
        verdict = self.observations.view(service).fresh_verdict(now)
        rate = verdict.rate if verdict else 0
        return self.kernel.random.random() * rate < TRIAL_RATE

    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Renews connections and takes calls back from servers that are out.

        A call that may be repeated is cancelled, so that it is tried again
        at another server.
        """
        for attempt in event.attempts:
            self.renew_connections(attempt.server, now)
        service = self.kernel.service('configuration').service(event.service)
        if service is None:
            return
        view = self.observations.view(service.id)
        out = self.out(service, self.states(service, now), now)
        for attempt in event.attempts:
            age = now - attempt.started_at
            enough = age >= CANCEL_RATIO * (view.scale(now) or age)
            if enough and attempt.idempotent and attempt.server in out:
                self.kernel.emit(CancelAttempt(attempt.attempt_id))

    def renew_connections(self, server: BackendServerId, now: Instant) -> None:
        """Closes idle connections, which may have gone silent."""
        if not self.needs_new_connection(server, now):
            self.renew_until[server] = Instant(now + RENEWAL_S)
            self.kernel.emit(CloseConnections(server))

    def needs_new_connection(
        self, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether kept connections to a server are not trusted."""
        return self.renew_until.get(server, now) > now
