"""Simulated backend servers for tests of several hosts."""

import random
from collections import Counter, defaultdict
from enum import Enum
from typing import Any

import msgspec

from standins.fleet import Fleet
from teaselcove import effects as fx
from teaselcove.configuration import STREAM, ApplyRecord
from teaselcove.entities import Call, Entities, Route, Server, Service
from teaselcove.events import (
    AttemptFinished,
    AttemptResult,
    RequestArrived,
)
from teaselcove.ids import HostId, Instant
from tests.support import KEY, KEY_TEXT, ORGANISATION, make_settings

LATENCY_S = 0.05
ZONES = 'abc'
# Share of calls that fail at a server with the fault ERRORS or TRUNCATED.
FAILURE_SHARE = 0.3


class Fault(Enum):
    """Kinds of server faults."""

    STALL = 'stall'
    SLOW = 'slow'
    COLD = 'cold'
    ERRORS = 'errors'
    TRUNCATED = 'truncated'
    REFUSES = 'refuses'


class Backends:
    """A fleet of hosts that send calls to servers with faults.

    Attributes:
        faults: The current fault of each faulty server.
        path_faults: Pairs of host and server; the server stalls only for
            that host.
        latency: Mean latency in seconds of a healthy server.
        starts: Start times of the attempts by server.
    """

    def __init__(
        self,
        hosts: int,
        servers: int,
        floor: int,
        seed: int = 0,
        **policies: str,
    ) -> None:
        policies = {
            'limiter': 'unlimited',
            'ejection': 'peer-comparison',
            'balancer': 'two-choices',
            **policies,
        }
        self.random = random.Random(seed)
        self.fleet = Fleet(seed)
        self.fleet.keep_decisions = True
        self.faults: dict[str, Fault] = {}
        self.path_faults: set[tuple[HostId, str]] = set()
        self.latency = LATENCY_S
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.cancelled: Counter[tuple[HostId, int]] = Counter()
        self.requests = 0
        self.names = [f's{number}' for number in range(servers)]
        self.service = Service(
            'job',
            floor,
            tuple(
                Server(name, f'127.0.2.{index}:80', ZONES[index % 3])
                for index, name in enumerate(self.names)
            ),
        )
        route = Route(
            'jobs', '/jobs', 'job', calls=(Call('GET', idempotent=True),)
        )
        entities = Entities((ORGANISATION,), (KEY,), (self.service,), (route,))
        self.fleet.log.append(
            STREAM, msgspec.json.encode(ApplyRecord('first', 0, entities))
        )
        for index in range(hosts):
            settings = msgspec.structs.replace(
                make_settings(**policies),
                host=f'h{index}',
                zone=ZONES[index % 3],
                address=f'127.0.1.{index}',
            )
            self.fleet.add_host(settings)
        self.fleet.on_dial = self.dial
        self.fleet.on_effect = self.cancel
        self.fleet.run_until(1)

    def dial(self, host: HostId, effect: fx.Dial, now: Instant) -> None:
        """Schedules the end of an attempt, depending on its server's fault."""
        self.starts[effect.server].append(now)
        latency = self.random.expovariate(2 / self.latency) + self.latency / 2
        end = self.attempt_result(host, effect, latency)
        result, status, latency = end
        done = AttemptFinished(effect.attempt_id, result, status)
        self.fleet.deliver(host, done, latency)

    def attempt_result(
        self, host: HostId, effect: fx.Dial, latency: float
    ) -> tuple[AttemptResult, int | None, float]:
        """Returns result, status and latency of an attempt."""
        good = (AttemptResult.COMPLETE, 200, latency)
        stall = (AttemptResult.TIMED_OUT, None, effect.timeout)
        if (host, effect.server) in self.path_faults:
            return stall
        fault = self.faults.get(effect.server)
        fails = self.random.random() < FAILURE_SHARE
        ends = {
            Fault.STALL: stall,
            Fault.SLOW: (AttemptResult.COMPLETE, 200, latency * 10),
            Fault.COLD: (AttemptResult.COMPLETE, 200, latency * 4),
            Fault.REFUSES: (AttemptResult.NOT_SENT, None, 0.001),
        }
        if fails:
            ends[Fault.ERRORS] = (AttemptResult.COMPLETE, 500, latency)
            ends[Fault.TRUNCATED] = (AttemptResult.BROKEN, None, latency)
        return ends.get(fault, good)

    def cancel(self, host: HostId, effect: Any, now: Instant) -> None:
        """Ends an attempt that a host cancels."""
        if not isinstance(effect, fx.CancelAttempt):
            return
        done = AttemptFinished(effect.attempt_id, AttemptResult.CANCELLED)
        self.fleet.deliver(host, done, 0.0001)

    def run(self, until: float, rate: float, method: str = 'GET') -> None:
        """Sends calls at random hosts until a time."""
        names = sorted(self.fleet.hosts)
        while self.fleet.now < until:
            self.requests += 1
            arrival = RequestArrived(
                f'r{self.requests}',
                method,
                '/jobs/7',
                KEY_TEXT,
                None,
                str(self.requests).encode(),
            )
            gap = self.random.expovariate(rate)
            self.fleet.run_until(self.fleet.now + gap)
            self.fleet.handle(self.random.choice(names), arrival)

    def weights(self, host: HostId) -> dict[str, float]:
        """Returns the weights that a host gives to the servers."""
        kernel = self.fleet.hosts[host].kernel
        health = kernel.service('health')
        return health.weights(self.service, self.fleet.now)

    def stages(self, scope: str) -> list[tuple[float, str, str]]:
        """Returns time, server and new stage of each stage decision."""
        return [
            (at, decision.figures['server'], decision.figures['stage'])
            for at, _, decision in self.fleet.decisions
            if decision.kind == 'stage' and decision.figures['scope'] == scope
        ]

    def success(self, since: int = 0) -> float:
        """Returns the share of requests after a number that were answered."""
        ended = [
            outcome[0]
            for request, outcome in self.fleet.outcomes.items()
            if int(request[1:]) > since
        ]
        good = sum(isinstance(outcome, fx.Answer) for outcome in ended)
        return good / max(len(ended), 1)
