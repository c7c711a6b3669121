"""Experiments: a fleet with backend servers, callers and faults."""

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from teaselcove import effects as fx
from teaselcove.callers import Callers, RateBucket
from teaselcove.configuration import STREAM, ApplyRecord
from teaselcove.deployments import Deployment, issue_keys
from teaselcove.entities import Organisation
from teaselcove.events import EndpointEntry, EndpointsListed, HostState
from teaselcove.fleet import LIST_LAG_S, LOG_DELAY_S, Fleet
from teaselcove.ids import (
    BackendServerId,
    HostId,
    Instant,
    OrganisationId,
    RequestId,
)
from teaselcove.model import Model
from teaselcove.model_servers import BackendServer
from teaselcove.rates import GRANTED, RateState, RateVerdict
from teaselcove.settings import PolicySettings

FIRST_CALL_AT_S = 2
FAULT_AT_S = 10
# Seconds after the last call in which outstanding outcomes arrive.
DRAIN_S = 3
# Indexes of the servers that scenarios make faulty; they are in different
# availability zones.
FAULTY_INDEX = 4
SECOND_FAULTY_INDEX = 8
RECORDED_DECISIONS = frozenset(
    ('eject', 'readmit', 'retry', 'hedge', 'refuse', 'trial')
)


def set_field(target: Any, field: str, value: Any, now: Instant) -> None:
    """Sets an attribute of an object, as a scheduled callback."""
    setattr(target, field, value)


class Span(msgspec.Struct, frozen=True):
    """An interval in which a server is faulty.

    Attributes:
        hosts: The hosts that the fault affects; None means all.
        expected: Whether the fleet is expected to detect it.
    """

    server: BackendServerId
    start: float
    end: float
    hosts: frozenset[HostId] | None = None
    expected: bool = True

    def affects(self, host: HostId) -> bool:
        """Returns whether the fault affects a host."""
        return self.hosts is None or host in self.hosts


class IdealLimiter:
    """Enforces rates exactly, with state shared by all hosts.

    It replaces the distributed limiter in experiments that don't test rates.
    """

    def __init__(self, organisations: tuple[Organisation, ...]) -> None:
        self.buckets = {item.id: RateBucket(item) for item in organisations}

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes a token of an organisation or refuses the request."""
        bucket = self.buckets[organisation]
        if bucket.take(now):
            return GRANTED
        return RateVerdict(RateState.REFUSED, 1 / bucket.rate)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Does nothing: no request is ever pending."""


class Conditions(msgspec.Struct, frozen=True):
    """Parameters of an experiment.

    Attributes:
        load: Offered load as a share of the capacity.
        rate: Calls per second; replaces `load` unless None.
        duration: Virtual seconds; None for the scenario's default.
        limited: Whether the rates of organisations are enforced.
    """

    deployment: Deployment
    load: float = 0.7
    rate: float | None = None
    duration: float | None = None
    seed: int = 1
    limited: bool = False

    @property
    def offered_rate(self) -> float:
        """Calls per second of all organisations together."""
        if self.rate is not None:
            return self.rate
        return self.load * self.deployment.capacity


class Experiment:
    """Runs a fleet against modelled servers with a scenario's faults.

    Attributes:
        fault_spans: Intervals in which servers are faulty.
        greedy: Organisations that exceed their rate.
        list_lag: Seconds until the server list shows a draining server.
        draining_since: When each draining server started to drain.
        decisions: Decisions of the kinds in `RECORDED_DECISIONS`.
        observers: Callbacks for each recorded decision.
    """

    def __init__(
        self, conditions: Conditions, policies: PolicySettings
    ) -> None:
        self.conditions = conditions
        self.policies = policies
        deployment = conditions.deployment
        self.duration = conditions.duration or 20
        self.fleet = Fleet(conditions.seed)
        self.fleet.zone_delay = deployment.zone_delay
        organisations = deployment.organisations(conditions.offered_rate)
        keys = issue_keys(organisations)
        self.entities = deployment.entities(organisations, keys)
        self.limiter = IdealLimiter(organisations)
        self.service = self.entities.services[0]
        self.model = Model(
            self.fleet,
            self.service.servers,
            deployment.service_time,
            deployment.spread,
            conditions.seed + 1,
        )
        self.callers = Callers(
            self.fleet,
            self.model,
            organisations,
            {name: text for name, (_, text) in keys.items()},
            conditions.offered_rate,
            conditions.seed + 2,
        )
        self.fault_spans: list[Span] = []
        self.greedy: set[OrganisationId] = set()
        self.list_lag = float(LIST_LAG_S)
        self.draining_since: dict[BackendServerId, float] = {}
        self.decisions: list[tuple[float, HostId, fx.LogDecision]] = []
        self.observers: list[Callable[[HostId, Any, Instant], None]] = []

    @property
    def servers(self) -> list[BackendServer]:
        """The backend servers, in order of their ids."""
        return list(self.model.servers.values())

    def start(self) -> None:
        """Starts the hosts and schedules the start of the callers."""
        self.fleet.on_dial = self.model.dial
        self.fleet.on_effect = self.carry_out
        record = ApplyRecord('first', 0, self.entities)
        self.fleet.log.append(STREAM, msgspec.json.encode(record))
        deployment = self.conditions.deployment
        for index in range(deployment.hosts):
            kernel = self.fleet.add_host(
                deployment.settings(index, self.policies)
            )
            if self.conditions.limited:
                kernel.service('rates').limiter = self.limiter
        begin = partial(self.callers.start, stop_at=self.duration)
        self.fleet.call_at(FIRST_CALL_AT_S, begin)

    def run(self) -> None:
        """Runs the experiment to its end."""
        self.fleet.run_until(self.duration + DRAIN_S)

    def at(self, at: float, callback: Callable[[Instant], None]) -> None:
        """Schedules a callback of the scenario."""
        self.fleet.call_at(at, callback)

    def set_at(self, at: float, target: Any, field: str, value: Any) -> None:
        """Schedules the change of an attribute of an object."""
        self.at(at, partial(set_field, target, field, value))

    def carry_out(self, host: HostId, effect: Any, now: Instant) -> None:
        """Carries out effects on callers, servers and the decision log."""
        match effect:
            case fx.LogDecision():
                self.record_decision(host, effect, now)
            case fx.Answer() | fx.Refuse():
                self.callers.record_outcome(host, effect, now)
            case fx.CancelAttempt():
                self.model.cancel(host, effect.attempt_id, now)
            case fx.CloseConnections():
                self.model.pool.close(host, effect.server)
            case fx.ReadEndpoints():
                listed = self.list_servers(now)
                self.fleet.deliver(host, listed, LOG_DELAY_S)

    def record_decision(
        self, host: HostId, decision: fx.LogDecision, now: Instant
    ) -> None:
        """Records a decision that the metrics need."""
        if decision.kind in RECORDED_DECISIONS:
            self.decisions.append((now, host, decision))
            for observer in self.observers:
                observer(host, decision, now)

    def list_servers(self, now: Instant) -> EndpointsListed:
        """Returns the server list, delayed by `list_lag`."""
        entries = []
        for server in self.service.servers:
            draining_since = self.draining_since.get(server.id)
            state = HostState.LIVE
            if (
                draining_since is not None
                and draining_since + self.list_lag <= now
            ):
                state = HostState.LEAVING
            entries.append(EndpointEntry(server.id, state))
        return EndpointsListed(tuple(entries))

    def inject_fault(
        self,
        server: BackendServer,
        field: str,
        value: Any,
        start: float,
        end: float | None = None,
    ) -> None:
        """Injects a fault by setting an attribute of a server for a time.

        Args:
            server: The server that becomes faulty.
            field: Name of the attribute.
            value: Value during the fault.
            start: When the fault begins.
            end: When the fault ends; None if it is permanent.
        """
        self.record_fault(server, start, end)
        previous = getattr(server, field)
        self.set_at(start, server, field, value)
        if end is None:
            return
        if field == 'stalled':
            self.at(end, partial(self.model.resume, server))
        else:
            self.set_at(end, server, field, previous)

    def record_fault(
        self,
        server: BackendServer,
        start: float,
        end: float | None = None,
        hosts: frozenset[HostId] | None = None,
        expected: bool = True,
    ) -> None:
        """Records a fault as ground truth for the detection metrics."""
        last = self.duration + DRAIN_S if end is None else end
        name = server.declared.id
        self.fault_spans.append(Span(name, start, last, hosts, expected))

    def start_draining(self, server: BackendServer, now: Instant) -> None:
        """Makes a server start to drain."""
        server.leaving = True
        self.draining_since[server.declared.id] = now

    def is_faulty(
        self, host: HostId, server: BackendServerId, now: float, grace: float
    ) -> bool:
        """Returns whether a fault of a server affects a host.

        Args:
            host: The host.
            server: The server.
            now: Time to check.
            grace: Seconds after the end of a fault that still count.
        """
        return any(
            span.start <= now <= span.end + grace
            for span in self.fault_spans
            if span.server == server and span.affects(host)
        )
