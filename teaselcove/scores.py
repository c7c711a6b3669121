"""Evidence about the servers of one service and the scores from it."""

from collections import deque
from enum import Enum

import msgspec

from teaselcove import evidence
from teaselcove.ids import BackendServerId, HostId, Instant

# Score at which a server is ejected. With 8, a healthy server is ejected
# falsely about once in e^8 calls that start a run of evidence.
EJECT_SCORE = 8
MS_PER_S = 1000
# Highest score from one host or one kind of evidence. It exceeds EJECT_SCORE
# because the usual evidence against the peers is subtracted.
MAX_HOST_SCORE = 12
# Score at which a server becomes suspect.
SUSPECT_SCORE = 4
# If more than this share of the servers is suspect, the cause is common to the
# service (overload), and no server is ejected.
MAX_SUSPECT_SHARE = 0.5
# Servers that complete calls slowly are ejected only if less than about this
# share of the servers is as slow.
MAX_SLOW_SHARE = 0.2
# Seconds since the last completion within which a server with overdue calls
# counts as slow rather than down.
COMPLETION_WINDOW_S = 1
# Seconds until the reports of all other hosts about good calls have arrived.
# The evidence of a single host counts only once they could contradict it.
CONFIRMATION_S = 0.35
# A full server sheds calls too, but completes some. A server that sheds calls
# and for which no host reports a completion for this many seconds (a report
# may be 0.3 s late) is leaving.
SHED_WINDOW_S = 0.75
# During an overload, all calls of a single host may be shed for a while.
MIN_SHED_HOSTS = 3
# Seconds after which evidence that is not renewed is discarded.
STALL_LIFETIME_S = 2.5
SCORE_HALF_LIFE_S = 10

# A call of at most this multiple of the scale shows a healthy server.
GOOD_RATIO = 4
# A trial call may take longer, because a server that has restarted is cold.
TRIAL_RATIO = 8


class Stage(Enum):
    """Stage of a server between ejection and full use."""

    IN_USE = 'in-use'
    SUSPECT = 'suspect'
    EJECTED = 'out'
    TRIAL = 'trial'
    RAMP = 'ramp'


IN_USE_STAGES = frozenset((Stage.IN_USE, Stage.SUSPECT))


class Tally(msgspec.Struct, array_like=True):
    """Calls of a host to a server since its last report.

    Attributes:
        good: Number of calls that completed without a failure.
        latency: Sum of their durations in milliseconds.
        failed: Number of calls with a wrong or incomplete answer.
        unreachable: Number of calls whose connection was refused or failed.
        shed: Number of calls that the server refused to start.
        lost: Sum of the ages of calls that were given up when overdue, in
            milliseconds.
        stalled: Sum of the ages of calls in flight that are overdue, in
            milliseconds; a current value, not an increment.
        good_age: Time since the latest start of a call that was good and not
            slow, in milliseconds, or -1.
        oldest: Age of the oldest call that is overdue or was given up, in
            milliseconds.
        newest: Age of the newest such call in milliseconds.
    """

    server: BackendServerId
    good: int = 0
    latency: int = 0
    failed: int = 0
    unreachable: int = 0
    shed: int = 0
    lost: int = 0
    stalled: int = 0
    oldest: int = 0
    newest: int = 0
    good_age: int = -1

    @property
    def faults(self) -> int:
        """Sum that is positive if the host saw any fault."""
        return self.failed + self.unreachable + self.lost + self.shed


class HostEvidence(msgspec.Struct):
    """Recent evidence of one host about one server.

    Attributes:
        unreachable: Evidence from connections that were refused or failed.
        lost: Evidence from calls that were given up when overdue.
        stall: Evidence from overdue calls in flight.
        since: Start of the oldest call that shows the fault.
        latest: Start of the newest such call.
        renewed_at: Time of the last report of a fault.
    """

    unreachable: float = 0
    lost: float = 0
    stall: float = 0
    since: float = 0
    latest: float = 0
    renewed_at: float = float('-inf')

    def score(self, now: Instant) -> float:
        """Returns the score, or 0 if the evidence is too old."""
        if now - self.renewed_at > STALL_LIFETIME_S:
            return 0
        return min(self.unreachable + self.overdue, MAX_HOST_SCORE)

    @property
    def overdue(self) -> float:
        """Evidence from calls that took or are taking too long."""
        return self.lost + self.stall


class ServerRecord(msgspec.Struct):
    """Stage of a server and the evidence about it.

    Attributes:
        failures: Evidence from failures caused by the server.
        good_at: Latest start of a call that was good and not slow.
        latency: Evidence from slow completions.
        sheds: Evidence from shed calls since the last good call.
        shed_by: Hosts whose calls were shed.
        since: Time at which failures or slow completions began.
        until: Time at which the stage ends.
        recent_ejections: Times of the recent ejections.
        trials: Number of good calls since the trial stage began.
        ejection_score: Score at the time of the ejection.
    """

    stage: Stage = Stage.IN_USE
    failures: float = 0
    latency: float = 0
    sheds: float = 0
    shed_by: set[HostId] = msgspec.field(default_factory=set)
    since: float = 0
    updated_at: float = 0
    completed_at: float = float('-inf')
    good_at: float = float('-inf')
    by_host: dict[HostId, HostEvidence] = {}
    until: float = 0
    recent_ejections: deque[float] = msgspec.field(default_factory=deque)
    trials: int = 0
    ejection_score: float = 0


class ServerScores:
    """Scores of the servers of one service, from one or more hosts."""

    def __init__(self) -> None:
        self.records: dict[BackendServerId, ServerRecord] = {}

    def record(self, server: BackendServerId) -> ServerRecord:
        """Returns the record of a server; creates it if there is none."""
        if server not in self.records:
            self.records[server] = ServerRecord(by_host={})
        return self.records[server]

    def add(
        self,
        host: HostId,
        tally: Tally,
        scale: float,
        peer_failure_share: float,
        now: Instant,
    ) -> None:
        """Adds the tally of a host.

        Args:
            host: The host.
            tally: Its calls to one server.
            scale: Scale of the latencies of the service in seconds.
            peer_failure_share: Share of calls that fail at the peers.
            now: Current time.
        """
        record = self.record(tally.server)
        self.decay(record, now)
        ratio = tally.latency / MS_PER_S / scale
        if tally.shed:
            record.shed_by.add(host)
        if ratio <= TRIAL_RATIO * tally.good:
            record.trials += tally.good
        self.add_completions(record, tally, ratio, peer_failure_share, now)
        reported = record.by_host.setdefault(host, HostEvidence())
        if tally.good_age >= 0:
            good_at = now - tally.good_age / MS_PER_S
            record.good_at = max(record.good_at, good_at)
            reported.unreachable = 0
            reported.lost = 0
        before_trial = (
            record.stage is Stage.TRIAL
            and now - tally.oldest / MS_PER_S < record.until
        )
        if before_trial:
            return
        reported.stall = evidence.stall_evidence(
            tally.stalled / MS_PER_S / scale
        )
        reported.unreachable += evidence.failure_evidence(
            0, tally.unreachable, peer_failure_share
        )
        reported.lost += evidence.stall_evidence(tally.lost / MS_PER_S / scale)
        if tally.stalled or tally.unreachable or tally.lost:
            if now - reported.renewed_at > STALL_LIFETIME_S:
                reported.since = now - tally.oldest / MS_PER_S
            reported.latest = now - tally.newest / MS_PER_S
            reported.renewed_at = now

    def add_completions(
        self,
        record: ServerRecord,
        tally: Tally,
        ratio: float,
        peer_failure_share: float,
        now: Instant,
    ) -> None:
        """Adds the evidence from calls that a server answered or shed."""
        gain = evidence.failure_evidence(0, tally.shed, peer_failure_share)
        record.sheds = min(record.sheds + gain, MAX_HOST_SCORE)
        if tally.good:
            record.completed_at = now
            record.sheds = 0
            record.shed_by.clear()
        if record.latency + record.failures == 0:
            record.since = now
        gain = evidence.latency_evidence(tally.good, ratio)
        record.latency = min(max(record.latency + gain, 0), MAX_HOST_SCORE)
        gain = evidence.failure_evidence(
            tally.good, tally.failed, peer_failure_share
        )
        record.failures = min(max(record.failures + gain, 0), MAX_HOST_SCORE)

    def clear_latency_evidence(self) -> None:
        """Clears the evidence from slow calls.

        Used when all calls of the service have become slow.
        """
        for record in self.records.values():
            record.latency = 0
            for reported in record.by_host.values():
                reported.lost = 0
                reported.stall = 0

    def decay(self, record: ServerRecord, now: Instant) -> None:
        """Applies the exponential decay to evidence."""
        factor = 0.5 ** ((now - record.updated_at) / SCORE_HALF_LIFE_S)
        record.latency *= factor
        record.failures *= factor
        record.updated_at = now

    def path_score(self, record: ServerRecord, now: Instant) -> float:
        """Returns the score of faults that the network path may have caused.

        The evidence of a host does not count if a call that was started later
        was good on any host: then the path, the connection or the request of
        that host is at fault.
        """
        good_at = record.good_at
        faulty = [
            reported
            for reported in record.by_host.values()
            if reported.score(now) > 0 and reported.latest >= good_at
        ]
        if len(faulty) == 1 and now - faulty[0].since < CONFIRMATION_S:
            return min(faulty[0].score(now), SUSPECT_SCORE)
        return sum(reported.score(now) for reported in faulty)

    def score(self, server: BackendServerId, now: Instant) -> float:
        """Returns the total score of a server."""
        record = self.record(server)
        path = self.path_score(record, now)
        sheds = record.sheds
        recent = now - record.completed_at < SHED_WINDOW_S
        if recent or len(record.shed_by) < MIN_SHED_HOSTS:
            sheds = 0
        return path + max(record.latency, record.failures, sheds)

    def is_slow(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether most of the evidence is from slow calls.

        The server is then slow rather than down.
        """
        record = self.record(server)
        slow = record.latency
        if now - record.completed_at <= COMPLETION_WINDOW_S:
            slow += sum(
                reported.overdue for reported in record.by_host.values()
            )
        return 2 * slow >= self.score(server, now)

    def excess_over_peers(
        self,
        server: BackendServerId,
        scores: dict[BackendServerId, float],
        now: Instant,
    ) -> float:
        """Returns by how much the score exceeds that of the peers.

        Many servers with the same score indicate a common cause: an overload,
        or a cold start if they are only slow. The score of a peer that
        only a few peers exceed is therefore subtracted.
        """
        peers = sorted(
            score for other, score in scores.items() if other != server
        )
        share = MAX_SUSPECT_SHARE
        if self.is_slow(server, now):
            share = MAX_SLOW_SHARE
        rank = max(int(share * len(scores)), 1)
        if rank > len(peers):
            return 0
        return scores[server] - peers[-rank]

    def has_working_peers(
        self,
        server: BackendServerId,
        scores: dict[BackendServerId, float],
    ) -> bool:
        """Returns whether more peers work than are suspect.

        A peer works if it completed a good call that was started after the
        first call that shows the fault.
        """
        since = self.since(server)
        working = 0
        suspect = 0
        for other, score in scores.items():
            if other != server and score >= SUSPECT_SCORE:
                suspect += 1
            elif other != server and self.good_at(other) > since:
                working += 1
        return working > suspect

    def since(self, server: BackendServerId) -> float:
        """Returns the time at which the fault of a server began."""
        record = self.record(server)
        starts = [
            reported.since
            for reported in record.by_host.values()
            if reported.overdue + reported.unreachable > 0
        ]
        if record.latency + record.failures > 0:
            starts.append(record.since)
        return min(starts, default=float('-inf'))

    def good_at(self, server: BackendServerId) -> float:
        """Returns the latest start of a good call at a server."""
        return self.record(server).good_at

    def clear_evidence(self, record: ServerRecord) -> None:
        """Clears the evidence of a server when a stage begins."""
        record.failures = 0
        record.latency = 0
        record.sheds = 0
        record.by_host.clear()
        record.trials = 0
