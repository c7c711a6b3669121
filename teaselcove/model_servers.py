"""Modelled backend servers and the connections to them."""

import math
from collections import defaultdict, deque

import msgspec

from teaselcove.effects import Dial
from teaselcove.entities import Server
from teaselcove.ids import BackendServerId, HostId, Instant

# Seconds until a cold server is as fast as a warm one.
COLD_RAMP_S = 10
QUEUE_LIMIT = 6


class Connection(msgspec.Struct):
    """A connection from a host to a server.

    Attributes:
        epoch: Epoch of the server process at the other end.
        silent: Whether bytes are lost in both directions.
        used: Whether an attempt has ended on it before.
    """

    epoch: int
    silent: bool = False
    used: bool = False


class Job(msgspec.Struct, eq=False):
    """An attempt at a modelled server.

    Attributes:
        ended: Whether the result was reported or the attempt cancelled.
        running: Whether the server has started to run it.
        epoch: Epoch of the server process that runs it.
    """

    host: HostId
    dial: Dial
    server: 'BackendServer'
    connection: Connection
    deadline: Instant
    ended: bool = False
    running: bool = False
    epoch: int = 0


class BackendServer:
    """State of a backend server, including its current faults.

    Attributes:
        up: Whether its process runs.
        unreachable: Whether packets to and from the server are lost.
        stalled: Whether calls neither start nor finish.
        slow: Factor of the service time.
        error_share: Share of calls answered with an error status.
        wrong_share: Share of answers that belong to another request.
        truncated_share: Share of answers that are cut short.
        cold_factor: Factor of the service time right after a start.
        leaving: Whether it drains.
        announces_leaving: Whether answers say that the server drains.
        epoch: Number of restarts, which identifies the process.
        stuck: Calls that were due to finish during a stall.
        unread: Calls that arrived during a stall.
    """

    def __init__(self, declared: Server) -> None:
        self.declared = declared
        self.up = True
        self.unreachable = False
        self.stalled = False
        self.slow = float(1)
        self.error_share = float(0)
        self.wrong_share = float(0)
        self.truncated_share = float(0)
        self.cold_factor = float(1)
        self.cold_since = Instant(-math.inf)
        self.leaving = False
        self.announces_leaving = True
        self.epoch = 0
        self.running: set[Job] = set()
        self.stuck: list[Job] = []
        self.unread: list[Job] = []
        self.waiting: deque[Job] = deque()

    @property
    def is_full(self) -> bool:
        """Whether all slots and the queue are full."""
        slots = self.declared.slots
        return len(self.running) >= slots and len(self.waiting) >= QUEUE_LIMIT

    def slowdown(self, now: Instant) -> float:
        """Returns the current factor of the service time."""
        age = (now - self.cold_since) / COLD_RAMP_S
        if age >= 1:
            return self.slow
        return self.slow * (1 + (self.cold_factor - 1) * (1 - age))

    def is_warm(self, now: Instant) -> bool:
        """Returns whether the server has warmed up since its start."""
        return now - self.cold_since >= COLD_RAMP_S


class ConnectionPool:
    """Idle connections of all hosts to all servers."""

    def __init__(self) -> None:
        self.idle: defaultdict[
            tuple[HostId, BackendServerId], list[Connection]
        ] = defaultdict(list)

    def take(self, host: HostId, dial: Dial, epoch: int) -> Connection:
        """Returns an idle connection if one is usable, else a new one.

        Args:
            host: The host that dials.
            dial: The attempt.
            epoch: Epoch of the current server process.
        """
        idle = self.idle[(host, dial.server)]
        while idle and not dial.new_connection:
            connection = idle.pop()
            if connection.epoch == epoch:
                return connection
        return Connection(epoch)

    def release(self, job: Job) -> None:
        """Returns the connection of a finished attempt to the pool."""
        job.connection.used = True
        self.idle[(job.host, job.dial.server)].append(job.connection)

    def close(self, host: HostId, server: BackendServerId) -> None:
        """Closes the idle connections of a host to a server."""
        self.idle.pop((host, server), None)

    def silence(self, server: BackendServerId) -> None:
        """Makes the idle connections to a server lose their packets."""
        for (_, name), connections in self.idle.items():
            if name == server:
                for connection in connections:
                    connection.silent = True
