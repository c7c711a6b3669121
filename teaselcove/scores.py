"""Evidence about the servers of one service, and what it amounts to."""

from collections import deque
from enum import Enum

import msgspec

from teaselcove import evidence
from teaselcove.ids import BackendServerId, HostId, Instant

# Evidence at which a server is ejected. With 8, a healthy server is ejected
# falsely about once in e^8 calls that start a run of evidence.
EJECT_SCORE = 8
MS_PER_S = 1000
# Limits what one host, or one kind of evidence, can say. It exceeds the score
# of an ejection because the usual evidence against peers is subtracted.
MAX_HOST_SCORE = 12
# Evidence at which a server counts as suspect.
SUSPECT_SCORE = 4
# With more suspects than this share of the service, the cause is common
# (overload), and nothing is ejected.
MAX_SUSPECT_SHARE = 0.5
# Servers that complete calls slowly are ejected only if fewer than about this
# share of the service is as slow.
MAX_SLOW_SHARE = 0.2
# Calls that are overdue at a server that completed others within this time
# show that it is slow rather than dead.
COMPLETION_WINDOW_S = 1
# Other hosts report good calls up to this late. The evidence of one host
# counts only when they have had the time to contradict it.
CONFIRMATION_S = 0.35
# A full server sheds calls too, but it completes some. A server that sheds and
# of which no host reports a completion for this long (a report may be 0.3 s
# late) is leaving.
SHED_WINDOW_S = 0.75
# In an overload, one host alone may see nothing but shed calls for a while.
MIN_SHED_HOSTS = 3
# Evidence that is not renewed for this long is dropped.
STALL_LIFETIME_S = 2.5
SCORE_HALF_LIFE_S = 10

# A call of at most this multiple of the scale shows a server in order.
GOOD_RATIO = 4
# A trial call may take longer, because a server that has restarted is cold.
TRIAL_RATIO = 8


class Stage(Enum):
    """Stage of a server between ejection and full use."""

    IN_USE = 'in-use'
    SUSPECT = 'suspect'
    OUT = 'out'
    TRIAL = 'trial'
    RAMP = 'ramp'


IN_USE_STAGES = frozenset((Stage.IN_USE, Stage.SUSPECT))


class Tally(msgspec.Struct, array_like=True):
    """What a host saw of a server since its last report.

    Attributes:
        good: Calls that were completed without a failure.
        latency: Sum of their durations in milliseconds.
        failed: Calls that the server answered wrongly or not in whole.
        unreachable: Calls whose connection was refused or failed.
        shed: Calls that the server refused to start.
        lost: Sum of the ages of calls that were given up when overdue, in
            milliseconds.
        stalled: Sum of the ages of calls in flight that are overdue, in
            milliseconds; a state, not a difference.
        good_age: Time since the latest start of a call that was good and not
            slow, in milliseconds, or -1.
        oldest: Age of the oldest call that is overdue or was given up, in
            milliseconds.
        newest: Age of the newest of them in milliseconds.
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
        """Sum that is positive if any fault was seen."""
        return self.failed + self.unreachable + self.lost + self.shed


class HostView(msgspec.Struct):
    """What one host has reported about one server lately.

    Attributes:
        unreachable: Evidence of failures on the way.
        lost: Evidence of calls that were given up when overdue.
        stall: Evidence of calls in flight.
        since: When the oldest call that shows the fault was started.
        latest: When the newest of them was started.
        renewed_at: When the host last reported a fault.
    """

    unreachable: float = 0
    lost: float = 0
    stall: float = 0
    since: float = 0
    latest: float = 0
    renewed_at: float = float('-inf')

    def score(self, now: Instant) -> float:
        """Returns the evidence of the host."""
        if now - self.renewed_at > STALL_LIFETIME_S:
            return 0
        return min(self.unreachable + self.overdue, MAX_HOST_SCORE)

    @property
    def overdue(self) -> float:
        """Evidence of calls that took or take too long."""
        return self.lost + self.stall


class Record(msgspec.Struct):
    """Evidence about a server and its stage.

    Attributes:
        failures: Evidence of failures made by the server.
        good_at: Latest start of a call that was good and not slow.
        latency: Evidence of slow completions.
        sheds: Evidence of shed calls since the last good call.
        shed_by: The hosts whose calls were shed.
        since: When failures or slow completions began.
        until: When the stage ends.
        strikes: Recent ejections, as times.
        trials: Good calls since the trial stage began.
        weight_of_ejection: Evidence at the time of the ejection.
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
    views: dict[HostId, HostView] = {}
    until: float = 0
    strikes: deque[float] = msgspec.field(default_factory=deque)
    trials: int = 0
    weight_of_ejection: float = 0


class ScoreBoard:
    """Evidence of one or more hosts about the servers of one service."""

    def __init__(self) -> None:
        self.records: dict[BackendServerId, Record] = {}

    def record(self, server: BackendServerId) -> Record:
        """Returns the record of a server."""
        if server not in self.records:
            self.records[server] = Record(views={})
        return self.records[server]

    def add(
        self,
        host: HostId,
        tally: Tally,
        scale: float,
        peer_failures: float,
        now: Instant,
    ) -> None:
        """Adds what a host saw of a server.

        Args:
            host: The host.
            tally: What it saw.
            scale: Scale of the latencies of the service in seconds.
            peer_failures: Share of calls that fail in the service.
            now: Present time.
        """
        record = self.record(tally.server)
        self.decay(record, now)
        ratio = tally.latency / MS_PER_S / scale
        if tally.shed:
            record.shed_by.add(host)
        if ratio <= TRIAL_RATIO * tally.good:
            record.trials += tally.good
        self.add_completions(record, tally, ratio, peer_failures, now)
        view = record.views.setdefault(host, HostView())
        if tally.good_age >= 0:
            good_at = now - tally.good_age / MS_PER_S
            record.good_at = max(record.good_at, good_at)
            view.unreachable = 0
            view.lost = 0
        before_trial = (
            record.stage is Stage.TRIAL
            and now - tally.oldest / MS_PER_S < record.until
        )
        if before_trial:
            return
        view.stall = evidence.stall_evidence(tally.stalled / MS_PER_S / scale)
        view.unreachable += evidence.failure_evidence(
            0, tally.unreachable, peer_failures
        )
        view.lost += evidence.stall_evidence(tally.lost / MS_PER_S / scale)
        if tally.stalled or tally.unreachable or tally.lost:
            if now - view.renewed_at > STALL_LIFETIME_S:
                view.since = now - tally.oldest / MS_PER_S
            view.latest = now - tally.newest / MS_PER_S
            view.renewed_at = now

    def add_completions(
        self,
        record: Record,
        tally: Tally,
        ratio: float,
        peer_failures: float,
        now: Instant,
    ) -> None:
        """Adds the evidence of calls that a server answered."""
        gain = evidence.failure_evidence(0, tally.shed, peer_failures)
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
            tally.good, tally.failed, peer_failures
        )
        record.failures = min(max(record.failures + gain, 0), MAX_HOST_SCORE)

    def drop_latencies(self) -> None:
        """Drops the evidence of slow calls, as all calls have become slow."""
        for record in self.records.values():
            record.latency = 0
            for view in record.views.values():
                view.lost = 0
                view.stall = 0

    def decay(self, record: Record, now: Instant) -> None:
        """Halves old evidence with time."""
        kept = 0.5 ** ((now - record.updated_at) / SCORE_HALF_LIFE_S)
        record.latency *= kept
        record.failures *= kept
        record.updated_at = now

    def path_score(self, record: Record, now: Instant) -> float:
        """Returns the evidence of faults that the path may have caused.

        A host's evidence does not count if a call that was started later was
        good anywhere: then its path, its connection or its request is at
        fault.
        """
        good_at = record.good_at
        faulty = [
            view
            for view in record.views.values()
            if view.score(now) > 0 and view.latest >= good_at
        ]
        if len(faulty) == 1 and now - faulty[0].since < CONFIRMATION_S:
            return min(faulty[0].score(now), SUSPECT_SCORE)
        return sum(view.score(now) for view in faulty)

    def score(self, server: BackendServerId, now: Instant) -> float:
        """Returns the evidence against a server."""
        record = self.record(server)
        path = self.path_score(record, now)
        sheds = record.sheds
        recent = now - record.completed_at < SHED_WINDOW_S
        if recent or len(record.shed_by) < MIN_SHED_HOSTS:
            sheds = 0
        return path + max(record.latency, record.failures, sheds)

    def is_slow(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether most evidence says slow rather than dead."""
        record = self.record(server)
        slow = record.latency
        if now - record.completed_at <= COMPLETION_WINDOW_S:
            slow += sum(view.overdue for view in record.views.values())
        return 2 * slow >= self.score(server, now)

    def excess(
        self,
        server: BackendServerId,
        scores: dict[BackendServerId, float],
        now: Instant,
    ) -> float:
        """Returns how far the evidence exceeds that of the peers.

        Many servers with the same evidence show a common cause: an overload,
        or a cold start if they are only slow. The evidence of the strongest
        peers but a few is therefore subtracted.
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

    def is_contrasted(
        self,
        server: BackendServerId,
        scores: dict[BackendServerId, float],
    ) -> bool:
        """Returns whether more peers work than are suspect.

        A peer works if a call was good that was started after the first call
        that shows the fault.
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
        """Returns when the fault of a server began."""
        record = self.record(server)
        starts = [
            view.since
            for view in record.views.values()
            if view.overdue + view.unreachable > 0
        ]
        if record.latency + record.failures > 0:
            starts.append(record.since)
        return min(starts, default=float('-inf'))

    def good_at(self, server: BackendServerId) -> float:
        """Returns the latest start of a good call at a server."""
        return self.record(server).good_at

    def forget(self, record: Record) -> None:
        """Drops the evidence when a stage begins."""
        record.failures = 0
        record.latency = 0
        record.sheds = 0
        record.views.clear()
        record.trials = 0
