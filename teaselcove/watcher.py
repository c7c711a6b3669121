"""Compares the hosts' view of server health with the ground truth."""

from typing import Any

import msgspec

from teaselcove.effects import LogDecision
from teaselcove.experiment import Experiment, Span
from teaselcove.ids import BackendServerId, HostId, Instant

SAMPLE_S = 0.1
# An ejection up to this many seconds after a fault ended is not a false one.
GRACE_S = 1


class FalseEjection(msgspec.Struct, frozen=True):
    """A host ejected a server that had no fault."""

    at: float
    host: HostId
    server: BackendServerId


class Sample(msgspec.Struct, frozen=True):
    """Server counts over all hosts at one time.

    Attributes:
        min_in_use: Fewest healthy servers in use at any host.
        healthy: Most healthy servers at any host, in use or not.
    """

    at: float
    min_in_use: int
    healthy: int


class Watcher:
    """Samples the weight that each host gives to each server.

    Attributes:
        detected: When a host first gave a faulty server no work.
        ejected_pairs: Pairs of host and server that get no work now.
        floor_violations: Samples per host in which ejection went below the
            floor.
        ejections: All ejections, true or false, with their times.
    """

    def __init__(self, run: Experiment) -> None:
        self.run = run
        self.detected: dict[tuple[Span, HostId], float] = {}
        self.ejected_pairs: set[tuple[HostId, BackendServerId]] = set()
        self.false_ejections: list[FalseEjection] = []
        self.samples: list[Sample] = []
        self.floor_violations = 0
        self.ejections: list[tuple[float, HostId, BackendServerId]] = []
        run.observers.append(self.on_decision)
        run.at(SAMPLE_S, self.sample)

    def on_decision(self, host: HostId, decision: Any, now: Instant) -> None:
        """Records the ejection in a decision of a host."""
        if isinstance(decision, LogDecision) and decision.kind == 'eject':
            self.record_ejection(host, decision.figures['server'], now)

    def record_ejection(
        self, host: HostId, server: BackendServerId, now: Instant
    ) -> None:
        """Records that a host ejected a server, if it was in use before."""
        if (host, server) in self.ejected_pairs:
            return
        self.ejected_pairs.add((host, server))
        self.ejections.append((now, host, server))
        self.record_detection(host, server, now)
        if not self.run.is_faulty(host, server, now, GRACE_S):
            self.false_ejections.append(FalseEjection(now, host, server))

    def sample(self, now: Instant) -> None:
        """Samples the weights of all servers at all hosts."""
        self.run.at(now + SAMPLE_S, self.sample)
        usable = [
            server.declared.id
            for server in self.run.servers
            if server.up and not server.leaving and server.is_warm(now)
        ]
        faulty = {span for span in self.run.fault_spans if span.start <= now}
        faulty = {span for span in faulty if now <= span.end}
        least = len(usable)
        most = 0
        for host in sorted(self.run.fleet.hosts):
            ejected = self.find_ejected(host, now)
            affected = {span.server for span in faulty if span.affects(host)}
            healthy = sum(name not in affected for name in usable)
            in_use = sum(
                name not in affected and name not in ejected for name in usable
            )
            if in_use < min(self.run.service.floor, healthy):
                self.floor_violations += 1
            least = min(least, in_use)
            most = max(most, healthy)
        self.samples.append(Sample(now, least, most))

    def record_detection(
        self, host: HostId, server: BackendServerId, now: Instant
    ) -> None:
        """Records that a host gives no work to a faulty server."""
        for span in self.run.fault_spans:
            active = span.start <= now <= span.end
            if active and span.server == server and span.affects(host):
                self.detected.setdefault((span, host), now)

    def find_ejected(self, host: HostId, now: Instant) -> set[BackendServerId]:
        """Returns the servers without work from a host and records them."""
        hosts = self.run.fleet.hosts
        health = hosts[host].kernel.service('health')
        found = set()
        for name in self.run.model.servers:
            if health.weight(name, now) > 0:
                self.ejected_pairs.discard((host, name))
                continue
            found.add(name)
            self.record_ejection(host, name, now)
            self.record_detection(host, name, now)
        return found
