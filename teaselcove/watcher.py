"""Compares the health that hosts see with the truth of an experiment."""

from typing import Any

import msgspec

from teaselcove.effects import LogDecision
from teaselcove.experiment import Experiment, Span
from teaselcove.ids import BackendServerId, HostId, Instant

SAMPLE_S = 0.1
# An ejection this long after the end of a fault is not a false one.
GRACE_S = 1


class FalseEjection(msgspec.Struct, frozen=True):
    """A host stopped the work of a server without a fault."""

    at: float
    host: HostId
    server: BackendServerId


class Sample(msgspec.Struct, frozen=True):
    """Least and most healthy servers in use over all hosts at a time."""

    at: float
    least: int
    healthy: int


class Watcher:
    """Samples the weight that each host gives to each server.

    Attributes:
        detected: When a host stopped the work of a faulty server.
        out: Pairs of host and server with no work at present.
        floor_violations: Samples in which ejection went below the floor.
        ejections: Times of all ejections, true or false.
    """

    def __init__(self, run: Experiment) -> None:
        self.run = run
        self.detected: dict[tuple[Span, HostId], float] = {}
        self.out: set[tuple[HostId, BackendServerId]] = set()
        self.false_ejections: list[FalseEjection] = []
        self.samples: list[Sample] = []
        self.floor_violations = 0
        self.ejections: list[tuple[float, HostId, BackendServerId]] = []
        run.observers.append(self.decided)
        run.at(SAMPLE_S, self.sample)

    def decided(self, host: HostId, decision: Any, now: Instant) -> None:
        """Notes an ejection at the time of its decision."""
        if isinstance(decision, LogDecision) and decision.kind == 'eject':
            self.ejected(host, decision.figures['server'], now)

    def ejected(
        self, host: HostId, server: BackendServerId, now: Instant
    ) -> None:
        """Notes that a host stopped the work of a server."""
        if (host, server) in self.out:
            return
        self.out.add((host, server))
        self.ejections.append((now, host, server))
        self.detect(host, server, now)
        if not self.run.is_faulty(host, server, now, GRACE_S):
            self.false_ejections.append(FalseEjection(now, host, server))

    def sample(self, now: Instant) -> None:
        """Looks at the weights of all servers at all hosts."""
        self.run.at(now + SAMPLE_S, self.sample)
        usable = [
            server.declared.id
            for server in self.run.servers
            if server.up and not server.leaving and server.is_warm(now)
        ]
        faulty = {span for span in self.run.spans if span.start <= now}
        faulty = {span for span in faulty if now <= span.end}
        least = len(usable)
        most = 0
        for host in sorted(self.run.fleet.hosts):
            out = self.look(host, now)
            bad = {span.server for span in faulty if span.concerns(host)}
            healthy = sum(name not in bad for name in usable)
            left = sum(name not in bad and name not in out for name in usable)
            if left < min(self.run.service.floor, healthy):
                self.floor_violations += 1
            least = min(least, left)
            most = max(most, healthy)
        self.samples.append(Sample(now, least, most))

    def detect(
        self, host: HostId, server: BackendServerId, now: Instant
    ) -> None:
        """Notes that a host gives no work to a server, if it is faulty."""
        for span in self.run.spans:
            active = span.start <= now <= span.end
            if active and span.server == server and span.concerns(host):
                self.detected.setdefault((span, host), now)

    def look(self, host: HostId, now: Instant) -> set[BackendServerId]:
        """Returns the servers to which a host gives no work."""
        hosts = self.run.fleet.hosts
        health = hosts[host].kernel.service('health')
        found = set()
        for name in self.run.model.servers:
            if health.weight(name, now) > 0:
                self.out.discard((host, name))
                continue
            found.add(name)
            self.ejected(host, name, now)
            self.detect(host, name, now)
        return found
