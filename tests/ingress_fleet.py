"""Hosts in use with the real decisions, over simulated servers."""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

import msgspec

from teaselcove.events import AttemptResult
from teaselcove.ids import Instant
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.gossip import REPORT_INTERVAL_S
from teaselcove.ingress.health import RunningAttempt
from teaselcove.ingress.queueing import QueuedRequest, TimeLimits
from teaselcove.kernel import Kernel
from tests.ingress_support import ZONES, add_servers, make_kernel

SERVICE = 'job'
ROUTE_LIMITS = TimeLimits(time_left=2.5, target_left=0.6)
OK_STATUS = 200
# Seconds until a connection attempt is refused.
CONNECT_DELAY_S = 0.002


class SimulatedRequest(msgspec.Struct, eq=False):
    """A request and its outcome.

    Attributes:
        ended_at: When its answer was complete, or None.
        refused: Whether it was refused as not run.
    """

    arrived_at: float
    ended_at: float | None = None
    refused: bool = False


class IngressFleet:
    """Sends idempotent requests through the decisions of several hosts.

    Queueing, placing, health and the reports between hosts are the code that
    runs on the platform. A server works on its requests in order of arrival,
    with a fixed number of slots.

    Attributes:
        latency: Mean service time of every server in seconds.
        lost: Servers that refuse connections.
        limits: Requests per second that servers name as their limit.
        arrivals: Times at which requests were sent to each server.
        conditions: Log of conditions: time, host, server, new condition.
    """

    def __init__(self, hosts: int, servers: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.now = float(0)
        self.latency = 0.05
        self.lost: set[str] = set()
        self.limits: dict[str, float] = {}
        self.arrivals: dict[str, list[float]] = {}
        self.requests: list[SimulatedRequest] = []
        self.conditions: list[tuple[float, int, str, str]] = []
        self.busy: dict[str, int] = {}
        self.backlog: dict[str, list[Callable[[], None]]] = {}
        self.kernels = [
            make_kernel(f'host-{index}', ZONES[index % len(ZONES)], seed)
            for index in range(hosts)
        ]
        self.waiting: list[dict[QueuedRequest, SimulatedRequest]] = [
            {} for _ in self.kernels
        ]
        self.live_hosts = list(range(hosts))
        for index, kernel in enumerate(self.kernels):
            add_servers(kernel, servers)
            kernel.decide = partial(self.record_decision, index)
            self.at(REPORT_INTERVAL_S, partial(self.report, index))

    def record_decision(self, host: int, kind: str, **figures: object) -> None:
        """Records the changes of conditions."""
        if kind == 'condition':
            server, after = str(figures['server']), str(figures['after'])
            self.conditions.append((self.now, host, server, after))

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def run(self, until: float, rate: float) -> None:
        """Sends requests at random hosts until a time, then stops sending."""
        when = self.now
        while when < until:
            when += self.random.expovariate(rate)
            self.at(when, self.arrive)
        while self.events and self.events[0][0] <= until:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[-1]()
        self.now = until

    def arrive(self) -> None:
        """Queues a request at a random live host."""
        host = self.random.choice(self.live_hosts)
        now = Instant(self.now)
        request = SimulatedRequest(self.now)
        self.requests.append(request)
        self.kernels[host].service('retry-window').record_request(SERVICE, now)
        queueing = self.kernels[host].service('queueing')
        if queueing.is_empty(SERVICE):
            pick = self.pick(host)
            if pick is not None:
                self.send(host, pick, request)
                return
        start_by = queueing.latest_start(SERVICE, ROUTE_LIMITS, now)
        offered = queueing.enqueue(SERVICE, 1, start_by, now)
        if isinstance(offered, QueuedRequest):
            self.waiting[host][offered] = request
            self.at(start_by, partial(self.expire, host, offered))
        else:
            request.refused = True

    def expire(self, host: int, queued: QueuedRequest) -> None:
        """Refuses a request that found no slot in time."""
        request = self.waiting[host].pop(queued, None)
        if request is not None:
            self.kernels[host].service('queueing').remove(queued)
            request.refused = True

    def pick(self, host: int) -> Pick | None:
        """Takes a slot at a server."""
        kernel = self.kernels[host]
        now = Instant(self.now)
        balance = kernel.service('balance')
        pick = balance.pick(SERVICE, True, frozenset(), now)
        if pick is not None:
            balance.started(pick.known.server.id)
            kernel.service('server-limits').started(pick.known.server.id)
            kernel.service('queueing').started(SERVICE, now)
        return pick

    def send(self, host: int, pick: Pick, request: SimulatedRequest) -> None:
        """Sends a request to a server, which queues it if it is full."""
        server = pick.known.server
        health = self.kernels[host].service('health')
        attempt = health.started(server.id, SERVICE, Instant(self.now))
        finish = partial(self.finish, host, attempt, request)
        self.arrivals.setdefault(server.id, []).append(self.now)
        if server.id in self.lost:
            self.at(
                self.now + CONNECT_DELAY_S,
                partial(finish, AttemptResult.NOT_SENT, None),
            )
            return
        answer = partial(finish, AttemptResult.COMPLETE, OK_STATUS)
        self.work(server.id, server.slots, answer)

    def finish(
        self,
        host: int,
        attempt: RunningAttempt,
        request: SimulatedRequest,
        result: AttemptResult,
        status: int | None,
    ) -> None:
        """Ends an attempt and frees its slot."""
        kernel = self.kernels[host]
        kernel.service('health').finished(
            attempt, result, status, Instant(self.now)
        )
        kernel.service('balance').finished(attempt.server)
        if result is AttemptResult.COMPLETE:
            request.ended_at = self.now
            limit = self.limits.get(attempt.server)
            kernel.service('server-limits').record_answer(
                attempt.server, limit, True, Instant(self.now)
            )
        else:
            self.arrive_again(host, request)
        self.assign(host)

    def arrive_again(self, host: int, request: SimulatedRequest) -> None:
        """Sends a request that did not reach its server to another one."""
        pick = self.pick(host)
        if pick is None:
            request.refused = True
        else:
            self.send(host, pick, request)

    def work(self, name: str, slots: int, done: Callable[[], None]) -> None:
        """Starts a request at a server, or queues it there."""
        if self.busy.get(name, 0) >= slots:
            self.backlog.setdefault(name, []).append(done)
            return
        self.busy[name] = self.busy.get(name, 0) + 1
        taken = self.random.expovariate(2 / self.latency) + self.latency / 2

        self.at(self.now + taken, partial(self.end_work, name, slots, done))

    def end_work(self, name: str, slots: int, done: Callable[[], None]) -> None:
        """Answers a request and starts the next one of the server's queue."""
        self.busy[name] -= 1
        done()
        if self.backlog.get(name):
            self.work(name, slots, self.backlog[name].pop(0))

    def assign(self, host: int) -> None:
        """Assigns free slots of a host to its queue."""
        queueing = self.kernels[host].service('queueing')
        for queued in queueing.in_order(SERVICE):
            pick = self.pick(host)
            if pick is None:
                return
            queueing.remove(queued)
            self.send(host, pick, self.waiting[host].pop(queued))

    def report(self, host: int) -> None:
        """Exchanges evidence and attempts in flight, and polls the queue."""
        now = Instant(self.now)
        kernel = self.kernels[host]
        kernel.service('health').check_overdue(now)
        news = kernel.service('health').take_evidence(now)
        limits = kernel.service('server-limits').take_changes()
        for other in self.live_hosts:
            if other != host:
                self.deliver_report(other, news, limits)
        self.assign(host)
        self.at(self.now + REPORT_INTERVAL_S, partial(self.report, host))

    def deliver_report(
        self, host: int, news: list, limits: dict[str, float | None]
    ) -> None:
        """Applies the evidence of another host."""
        kernel = self.kernels[host]
        kernel.service('server-limits').record_report(limits, Instant(self.now))
        for evidence in news:
            finding = evidence.finding(Instant(self.now))
            kernel.service('health').record_finding(finding, Instant(self.now))
        kernel.service('balance').remote_in_flight = self.in_flight_elsewhere(
            kernel
        )

    def in_flight_elsewhere(self, kernel: Kernel) -> dict[str, int]:
        """Returns the attempts in flight of the other live hosts."""
        total: dict[str, int] = {}
        for other in self.live_hosts:
            if self.kernels[other] is kernel:
                continue
            in_flight = self.kernels[other].service('balance').in_flight
            for server, count in in_flight.items():
                total[server] = total.get(server, 0) + count
        return total

    def ejected(self) -> set[str]:
        """Returns the servers that any host has ejected so far."""
        return {
            server for _, _, server, after in self.conditions if after == 'out'
        }
