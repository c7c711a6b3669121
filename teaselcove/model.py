"""Model of a service's backend servers and of the paths to them.

It handles the effects `Dial` and `CancelAttempt` of the decision core in
virtual time.
"""

import math
import random
from collections import defaultdict
from functools import partial

from teaselcove.effects import Dial
from teaselcove.entities import Server
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.fleet import SAME_ZONE_DELAY_S, Fleet
from teaselcove.ids import (
    AttemptId,
    BackendServerId,
    HostId,
    Instant,
    RequestId,
    ServiceId,
)
from teaselcove.model_servers import BackendServer, ConnectionPool, Job

CONNECT_S = 0.001
CONNECT_TIMEOUT_S = 0.5
ERROR_STATUS = 500
OK_STATUS = 200
# Service time of calls answered with an error status.
ERROR_TIME_S = 0.002
# Seconds that a crashing request runs before its server crashes.
CRASH_AFTER_S = 0.005
# Downtime after a crash.
RESTART_S = 2
# Seconds after a stall until calls that were due during it finish.
RESUME_S = 0.01


def reported_status(result: AttemptResult, status: int) -> int | None:
    """Returns the status that the host receives, also if truncated."""
    if result is AttemptResult.COMPLETE:
        return status or OK_STATUS
    return (status or None) if result is AttemptResult.BROKEN else None


class Model:
    """Backend servers, connections and paths of one service.

    Attributes:
        cut_to: Pairs whose packets from host to server are lost.
        cut_from: Pairs whose packets from server to host are lost.
        crashing: Requests that crash the server that runs them.
        executions: Servers that started to run each request.
        answers: Status of each complete answer; 0 if it is wrong.
        crashes: Crashes as (time, server, request).
        dials: All attempts as (time, host, server, request).
        results: Number of attempts by result.
    """

    def __init__(
        self,
        fleet: Fleet,
        servers: tuple[Server, ...],
        service_time: float,
        spread: float,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.servers = {item.id: BackendServer(item) for item in servers}
        self.location = math.log(service_time) - spread**2 / 2
        self.spread = spread
        self.jobs: dict[tuple[HostId, AttemptId], Job] = {}
        self.pool = ConnectionPool()
        self.cut_to: set[tuple[HostId, BackendServerId]] = set()
        self.cut_from: set[tuple[HostId, BackendServerId]] = set()
        self.crashing: set[RequestId] = set()
        self.executions: defaultdict[RequestId, list[BackendServerId]] = (
            defaultdict(list)
        )
        self.answers: dict[tuple[HostId, AttemptId], int] = {}
        self.crashes: list[tuple[float, BackendServerId, RequestId]] = []
        self.dials: list[tuple[float, HostId, BackendServerId, RequestId]] = []
        self.results: defaultdict[AttemptResult, int] = defaultdict(int)

    def delay(self, job: Job) -> float:
        """Returns the one-way delay between host and server in seconds."""
        host = self.fleet.hosts.get(job.host)
        if host and host.entry.zone == job.server.declared.zone:
            return SAME_ZONE_DELAY_S
        return self.fleet.zone_delay

    def dial(self, host: HostId, dial: Dial, now: Instant) -> None:
        """Starts an attempt."""
        server = self.servers[dial.server]
        self.dials.append((now, host, dial.server, dial.request_id))
        connection = self.pool.take(host, dial, server.epoch)
        job = Job(host, dial, server, connection, Instant(now + dial.timeout))
        self.jobs[(host, dial.attempt_id)] = job
        late = partial(self.conclude, job, AttemptResult.TIMED_OUT)
        self.fleet.call_at(job.deadline, late)
        delay = self.delay(job)
        if not connection.used:
            delay += CONNECT_S
        if connection.silent:
            return
        path = (host, dial.server)
        cut = server.unreachable or path in self.cut_to
        if not connection.used and (cut or path in self.cut_from):
            failed = partial(self.conclude, job, AttemptResult.NOT_SENT)
            self.fleet.call_at(now + CONNECT_TIMEOUT_S, failed)
        elif not cut:
            self.fleet.call_at(now + delay, partial(self.arrive, job))

    def arrive(self, job: Job, now: Instant) -> None:
        """Delivers an attempt to its server."""
        server = job.server
        if job.ended or server.unreachable:
            return
        if not server.up:
            self.reset(job, now)
        elif server.stalled:
            server.unread.append(job)
        else:
            self.accept(job, now)

    def accept(self, job: Job, now: Instant) -> None:
        """Runs, queues or sheds a call."""
        server = job.server
        if server.leaving or server.is_full:
            self.reply(job, AttemptResult.SHED, 0, now)
        elif len(server.running) < server.declared.slots:
            self.run(job, now)
        else:
            server.waiting.append(job)

    def reset(self, job: Job, now: Instant) -> None:
        """Refuses a new connection, or resets a reused one."""
        result = AttemptResult.NOT_SENT
        if job.connection.used:
            result = AttemptResult.BROKEN
        self.reply(job, result, 0, now)

    def run(self, job: Job, now: Instant) -> None:
        """Runs a call in a slot of its server."""
        server = job.server
        server.running.add(job)
        job.running = True
        job.epoch = server.epoch
        self.executions[job.dial.request_id].append(job.dial.server)
        if job.dial.request_id in self.crashing:
            crash = partial(self.crash_server, job)
            self.fleet.call_at(now + CRASH_AFTER_S, crash)
            return
        duration = self.random.lognormvariate(self.location, self.spread)
        duration *= server.slowdown(now)
        if self.random.random() < server.error_share:
            finish = partial(self.finish, job, ERROR_STATUS)
            duration = ERROR_TIME_S
        else:
            finish = partial(self.finish, job, OK_STATUS)
        self.fleet.call_at(now + duration, finish)

    def finish(self, job: Job, status: int, now: Instant) -> None:
        """Finishes a call at its server, which then starts waiting ones."""
        server = job.server
        if job not in server.running or job.epoch != server.epoch:
            return
        if server.stalled:
            server.stuck.append(job)
            return
        self.free_slot(job, now)
        self.reply(job, *self.draw_answer(job, status), now)

    def draw_answer(self, job: Job, status: int) -> tuple[AttemptResult, int]:
        """Chooses the result and status of an answer; 0 if it is wrong."""
        server = job.server
        if self.random.random() < server.truncated_share:
            return AttemptResult.BROKEN, status
        if self.random.random() >= server.wrong_share:
            return AttemptResult.COMPLETE, status
        if job.dial.echo_request_id:
            return AttemptResult.MISMATCHED, status
        return AttemptResult.COMPLETE, 0

    def free_slot(self, job: Job, now: Instant) -> None:
        """Frees the slot of a call and starts waiting calls."""
        server = job.server
        server.running.discard(job)
        while server.waiting and len(server.running) < server.declared.slots:
            waiting = server.waiting.popleft()
            if not waiting.ended and waiting.deadline > now:
                self.run(waiting, now)

    def resume(self, server: BackendServer, now: Instant) -> None:
        """Ends a stall and resumes the calls that it held up."""
        server.stalled = False
        for job in server.stuck:
            finish = partial(self.finish, job, OK_STATUS)
            self.fleet.call_at(now + RESUME_S, finish)
        server.stuck = []
        unread = server.unread
        server.unread = []
        for waiting in unread:
            self.arrive(waiting, now)

    def reply(
        self, job: Job, result: AttemptResult, status: int, now: Instant
    ) -> None:
        """Sends the result of an attempt to its host."""
        path = (job.host, job.dial.server)
        if job.ended or job.connection.silent or path in self.cut_from:
            return
        if job.server.unreachable:
            return
        done = partial(self.conclude, job, result, status=status)
        self.fleet.call_at(now + self.delay(job), done)

    def conclude(
        self, job: Job, result: AttemptResult, now: Instant, status: int = 0
    ) -> None:
        """Reports the result of an attempt to its host, once."""
        if job.ended:
            return
        job.ended = True
        self.results[result] += 1
        key = (job.host, job.dial.attempt_id)
        self.jobs.pop(key, None)
        if result is AttemptResult.COMPLETE:
            self.answers[key] = status
        if result in {AttemptResult.COMPLETE, AttemptResult.SHED}:
            self.pool.release(job)
        elif result is AttemptResult.TIMED_OUT:
            self.close_connection(job, now)
        answered = result in {AttemptResult.COMPLETE, AttemptResult.SHED}
        leaving = job.server.leaving and job.server.announces_leaving
        self.fleet.handle(
            job.host,
            AttemptFinished(
                job.dial.attempt_id,
                result,
                reported_status(result, status),
                leaving and answered,
            ),
        )

    def cancel(self, host: HostId, attempt_id: AttemptId, now: Instant) -> None:
        """Cancels an attempt and closes its connection."""
        job = self.jobs.get((host, attempt_id))
        if job is None:
            return
        self.jobs.pop((host, attempt_id))
        job.ended = True
        self.results[AttemptResult.CANCELLED] += 1
        self.close_connection(job, now)
        cancelled = AttemptFinished(attempt_id, AttemptResult.CANCELLED)
        self.fleet.deliver(host, cancelled)

    def close_connection(self, job: Job, now: Instant) -> None:
        """Closes the connection of an attempt, unless the path is cut."""
        if (job.host, job.dial.server) not in self.cut_to:
            at = now + self.delay(job)
            self.fleet.call_at(at, partial(self.drop_call, job))

    def drop_call(self, job: Job, now: Instant) -> None:
        """Drops a cancelled call; a stalled call keeps its slot."""
        server = job.server
        if job in server.running and not server.stalled:
            self.free_slot(job, now)
        elif job in server.waiting:
            server.waiting.remove(job)

    def crash_server(self, job: Job, now: Instant) -> None:
        """Crashes the server that runs a crashing request."""
        if job in job.server.running and job.epoch == job.server.epoch:
            self.crashes.append((now, job.dial.server, job.dial.request_id))
            self.restart(job.server, RESTART_S, now)

    def restart(
        self,
        server: BackendServer,
        downtime: float,
        now: Instant,
        cold_factor: float = 1,
    ) -> None:
        """Ends the process of a server and starts it again later."""
        lost = [*server.running, *server.waiting, *server.unread]
        server.unread.clear()
        server.running.clear()
        server.waiting.clear()
        server.stuck.clear()
        server.epoch += 1
        server.up = False
        server.cold_factor = cold_factor
        lost.sort(key=lambda job: (job.host, job.dial.attempt_id))
        for job in lost:
            self.reply(job, AttemptResult.BROKEN, 0, now)
        self.fleet.call_at(now + downtime, partial(self.start, server))

    def start(self, server: BackendServer, now: Instant) -> None:
        """Starts the process of a server."""
        server.up = True
        if server.cold_factor > 1:
            server.cold_since = now

    def silence(self, server: BackendServerId, now: Instant) -> None:
        """Makes all open connections to a server lose their packets."""
        self.pool.silence(server)
        for job in self.jobs.values():
            if job.dial.server == server:
                job.connection.silent = True


SERVICE = ServiceId('work')
