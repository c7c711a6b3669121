"""State of modelled backend servers and of the connections to them."""

import math
from collections import defaultdict, deque

import msgspec

from teaselcove.effects import Dial
from teaselcove.entities import Server
from teaselcove.ids import BackendServerId, HostId, Instant

COLD_RAMP_S = 10
QUEUE_LIMIT = 6


class Connection(msgspec.Struct):
    """A connection of a host to a server.

    Attributes:
        epoch: Process of the server that the connection belongs to.
        silent: Whether its bytes are lost in both directions.
    """

    epoch: int
    silent: bool = False
    used: bool = False


class Job(msgspec.Struct, eq=False):
    """An attempt as the model sees it.

    Attributes:
        ended: Whether its host has been told how it ended.
        running: Whether it holds a slot of its server.
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
    """State of one backend server, including its present faults.

    Attributes:
        up: Whether its process runs.
        unreachable: Whether packets to it vanish.
        stalled: Whether calls start but never end.
        slow: Factor of the service time.
        error_share: Share of calls answered with an error status.
        wrong_share: Share of answers that belong to another request.
        truncated_share: Share of answers that are cut short.
        cold_factor: Factor of the service time right after a start.
        leaving: Whether it drains.
        announces: Whether it says so in its answers.
        epoch: Number of its process.
        stuck: Calls whose time to end came during a stall.
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
        self.announces = True
        self.epoch = 0
        self.running: set[Job] = set()
        self.stuck: list[Job] = []
        self.unread: list[Job] = []
        self.waiting: deque[Job] = deque()

    @property
    def is_full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        slots = self.declared.slots
        return len(self.running) >= slots and len(self.waiting) >= QUEUE_LIMIT

    def slowdown(self, now: Instant) -> float:
        """Returns the factor of the service time."""
        age = (now - self.cold_since) / COLD_RAMP_S
        if age >= 1:
            return self.slow
        return self.slow * (1 + (self.cold_factor - 1) * (1 - age))

    def is_warm(self, now: Instant) -> bool:
        """Returns whether the cold start is over."""
        return now - self.cold_since >= COLD_RAMP_S


class ConnectionPool:
    """The idle connections of all hosts to all servers."""

    def __init__(self) -> None:
        self.idle: defaultdict[
            tuple[HostId, BackendServerId], list[Connection]
        ] = defaultdict(list)

    def take(self, host: HostId, dial: Dial, epoch: int) -> Connection:
        """Returns a kept connection if it may be used, else a new one.

        Args:
            host: The host that dials.
            dial: The attempt.
            epoch: Present process of the server.
        """
        kept = self.idle[(host, dial.server)]
        while kept and not dial.new_connection:
            connection = kept.pop()
            if connection.epoch == epoch:
                return connection
        return Connection(epoch)

    def keep(self, job: Job) -> None:
        """Keeps the connection of an attempt that has ended."""
        job.connection.used = True
        self.idle[(job.host, job.dial.server)].append(job.connection)

    def close(self, host: HostId, server: BackendServerId) -> None:
        """Closes the idle connections of a host to a server."""
        self.idle.pop((host, server), None)

    def silence(self, server: BackendServerId) -> None:
        """Silences the idle connections to a server."""
        for (_, name), connections in self.idle.items():
            if name == server:
                for connection in connections:
                    connection.silent = True
