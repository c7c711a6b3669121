"""One experiment: a fleet, its backend servers, its callers and faults."""

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from teaselcove import effects as fx
from teaselcove.callers import Callers, OfferedRate
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

CALLS_FROM_S = 2
FAULT_AT_S = 10
# Calls that are sent last still get their outcome.
DRAIN_S = 3
# The servers that scenarios make faulty, in different availability zones.
VICTIM = 4
SECOND_VICTIM = 8
KEPT_DECISIONS = frozenset(
    ('eject', 'readmit', 'retry', 'hedge', 'refuse', 'trial')
)


def assign(target: Any, field: str, value: Any, now: Instant) -> None:
    """Sets a field of a part of the experiment."""
    setattr(target, field, value)


class Span(msgspec.Struct, frozen=True):
    """A time in which a server is faulty.

    Attributes:
        hosts: The hosts that see the fault; None means all.
        expected: Whether the fleet has to detect it.
    """

    server: BackendServerId
    start: float
    end: float
    hosts: frozenset[HostId] | None = None
    expected: bool = True

    def concerns(self, host: HostId) -> bool:
        """Returns whether a host sees the fault."""
        return self.hosts is None or host in self.hosts


class IdealLimiter:
    """Enforces rates exactly, with state that all hosts share.

    It stands for a distributed limiter where rates are not under test.
    """

    def __init__(self, organisations: tuple[Organisation, ...]) -> None:
        self.buckets = {item.id: OfferedRate(item) for item in organisations}

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes one token."""
        bucket = self.buckets[organisation]
        if bucket.take(now):
            return GRANTED
        return RateVerdict(RateState.REFUSED, 1 / bucket.rate)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Does nothing: no request is ever pending."""


class Conditions(msgspec.Struct, frozen=True):
    """What an experiment is run with.

    Attributes:
        load: Share of the capacity that is asked for.
        rate: Calls per second instead of a share, or None.
        duration: Virtual seconds; None for the scenario's own.
        limited: Whether the rates of organisations are enforced.
    """

    deployment: Deployment
    load: float = 0.7
    rate: float | None = None
    duration: float | None = None
    seed: int = 1
    limited: bool = False

    @property
    def offered(self) -> float:
        """Calls per second of all organisations together."""
        if self.rate is not None:
            return self.rate
        return self.load * self.deployment.capacity


class Experiment:
    """Runs a fleet against the model and lets a scenario set faults.

    Attributes:
        spans: When which server is faulty.
        greedy: Organisations that exceed their rate.
        list_lag: Seconds by which the list of servers is late.
        decisions: Decisions of the kinds in `KEPT_DECISIONS`.
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
        organisations = deployment.organisations(conditions.offered)
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
            conditions.offered,
            conditions.seed + 2,
        )
        self.spans: list[Span] = []
        self.greedy: set[OrganisationId] = set()
        self.list_lag = float(LIST_LAG_S)
        self.left_at: dict[BackendServerId, float] = {}
        self.decisions: list[tuple[float, HostId, fx.LogDecision]] = []
        self.observers: list[Callable[[HostId, Any, Instant], None]] = []

    @property
    def servers(self) -> list[BackendServer]:
        """The backend servers, in order of their ids."""
        return list(self.model.servers.values())

    def start(self) -> None:
        """Starts the hosts and the callers."""
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
        self.fleet.call_at(CALLS_FROM_S, begin)

    def run(self) -> None:
        """Lets the experiment take place."""
        self.fleet.run_until(self.duration + DRAIN_S)

    def at(self, at: float, callback: Callable[[Instant], None]) -> None:
        """Runs a callback of the scenario at a time."""
        self.fleet.call_at(at, callback)

    def set_at(self, at: float, target: Any, field: str, value: Any) -> None:
        """Sets a field of a part of the experiment at a time."""
        self.at(at, partial(assign, target, field, value))

    def carry_out(self, host: HostId, effect: Any, now: Instant) -> None:
        """Carries out the effects that concern callers and servers."""
        match effect:
            case fx.LogDecision():
                self.keep(host, effect, now)
            case fx.Answer() | fx.Refuse():
                self.callers.ended(host, effect, now)
            case fx.CancelAttempt():
                self.model.cancel(host, effect.attempt_id, now)
            case fx.CloseConnections():
                self.model.pool.close(host, effect.server)
            case fx.ReadEndpoints():
                listed = self.list_servers(now)
                self.fleet.deliver(host, listed, LOG_DELAY_S)

    def keep(
        self, host: HostId, decision: fx.LogDecision, now: Instant
    ) -> None:
        """Keeps a decision that the figures need."""
        if decision.kind in KEPT_DECISIONS:
            self.decisions.append((now, host, decision))
            for observer in self.observers:
                observer(host, decision, now)

    def list_servers(self, now: Instant) -> EndpointsListed:
        """Returns the list of servers as it is seen, late, by hosts."""
        entries = []
        for server in self.service.servers:
            left_at = self.left_at.get(server.id)
            state = HostState.LIVE
            if left_at is not None and left_at + self.list_lag <= now:
                state = HostState.LEAVING
            entries.append(EndpointEntry(server.id, state))
        return EndpointsListed(tuple(entries))

    def fault(
        self,
        server: BackendServer,
        field: str,
        value: Any,
        start: float,
        end: float | None = None,
    ) -> None:
        """Sets a field of a server's state for a time.

        Args:
            server: The server with the fault.
            field: Name of the field.
            value: Value during the fault.
            start: When the fault begins.
            end: When it ends; None means that it stays.
        """
        self.mark(server, start, end)
        usual = getattr(server, field)
        self.set_at(start, server, field, value)
        if end is None:
            return
        if field == 'stalled':
            self.at(end, partial(self.model.resume, server))
        else:
            self.set_at(end, server, field, usual)

    def mark(
        self,
        server: BackendServer,
        start: float,
        end: float | None = None,
        hosts: frozenset[HostId] | None = None,
        expected: bool = True,
    ) -> None:
        """Notes when a server is faulty, as the truth to compare with."""
        last = self.duration + DRAIN_S if end is None else end
        name = server.declared.id
        self.spans.append(Span(name, start, last, hosts, expected))

    def leave(self, server: BackendServer, now: Instant) -> None:
        """Lets a server start to drain."""
        server.leaving = True
        self.left_at[server.declared.id] = now

    def is_faulty(
        self, host: HostId, server: BackendServerId, now: float, grace: float
    ) -> bool:
        """Returns whether a host may hold a server for faulty."""
        return any(
            span.start <= now <= span.end + grace
            for span in self.spans
            if span.server == server and span.concerns(host)
        )
