"""Stages of the servers of one service, from the evidence of its hosts.

Each host moves servers between stages by its own evidence, and the aggregator
of a service by the evidence of all hosts. The floor is not considered here:
`floors` limits the ejections that result.
"""

from teaselcove.ids import BackendServerId, Instant
from teaselcove.scores import (
    EJECT_SCORE,
    IN_USE_STAGES,
    MAX_SUSPECT_SHARE,
    SUSPECT_SCORE,
    ServerRecord,
    ServerScores,
    Stage,
)

# Score below which a server is no longer suspect. It is lower than
# SUSPECT_SCORE, or each call would cause a verdict.
CLEARED_SCORE = 1
# Score at which a trial has failed: one failure among healthy peers.
TRIAL_SCORE = 3
FIRST_EJECTION_S = 2
MAX_EJECTION_S = 160
# Seconds for which an ejection prolongs later ones. Longer than the slowest
# flapping period to be recognised (60 s).
RECENT_EJECTION_S = 240
MIN_GOOD_TRIALS = 2
RAMP_S = 6
RAMP_START = 0.2


class StageTracker(ServerScores):
    """Moves the servers of one service between stages."""

    def evaluate(
        self,
        servers: list[BackendServerId],
        now: Instant,
        may_eject: bool = True,
    ) -> list[BackendServerId]:
        """Moves servers between stages and returns those that moved.

        Args:
            servers: The servers of the service that are not leaving.
            now: Current time.
            may_eject: Whether servers in use may be ejected.
        """
        moved = self.eject_outliers(servers, now) if may_eject else []
        for server in servers:
            if self.advance(server, now):
                moved.append(server)
        return moved

    def eject_outliers(
        self, servers: list[BackendServerId], now: Instant
    ) -> list[BackendServerId]:
        """Ejects outliers unless many servers have the same fault."""
        scores = {server: self.score(server, now) for server in servers}
        suspects = [
            server
            for server in servers
            if scores[server] >= SUSPECT_SCORE and not self.is_ejected(server)
        ]
        ejected = sum(self.is_ejected(server) for server in servers)
        if len(suspects) + ejected > MAX_SUSPECT_SHARE * len(servers):
            return []
        found = [
            server
            for server in suspects
            if self.excess_over_peers(server, scores, now) >= EJECT_SCORE
            and not self.is_warming_up(server, now)
            and self.has_working_peers(server, scores)
        ]
        for server in found:
            self.start_ejection(self.record(server), scores[server], now)
        return found

    def is_warming_up(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server was readmitted recently and is only slow."""
        ramp = self.record(server).stage is Stage.RAMP
        return ramp and self.is_slow(server, now)

    def is_ejected(self, server: BackendServerId) -> bool:
        """Returns whether a server is ejected or on trial."""
        return self.record(server).stage in {Stage.EJECTED, Stage.TRIAL}

    def start_ejection(
        self, record: ServerRecord, score: float, now: Instant
    ) -> None:
        """Ejects a server, for longer if it was ejected recently."""
        while record.recent_ejections and (
            now - record.recent_ejections[0] > RECENT_EJECTION_S
        ):
            record.recent_ejections.popleft()
        duration = FIRST_EJECTION_S * 2 ** len(record.recent_ejections)
        record.recent_ejections.append(now)
        record.stage = Stage.EJECTED
        record.until = now + min(duration, MAX_EJECTION_S)
        record.ejection_score = score
        self.clear_evidence(record)

    def advance(self, server: BackendServerId, now: Instant) -> bool:
        """Moves a server to its next stage and returns whether it moved."""
        record = self.record(server)
        score = self.score(server, now)
        if record.stage in IN_USE_STAGES:
            # Only faults that the path may have caused make a server suspect.
            score = self.path_score(record, now)
        following = self.next_stage(record, score, now)
        if following is record.stage:
            return False
        if following is Stage.EJECTED:
            self.start_ejection(record, score, now)
        elif following is Stage.TRIAL:
            self.clear_evidence(record)
        elif following is Stage.RAMP:
            record.until = now + RAMP_S
        record.stage = following
        return True

    def next_stage(
        self, record: ServerRecord, score: float, now: Instant
    ) -> Stage:
        """Returns the stage that follows from the score and the time."""
        if record.stage in IN_USE_STAGES:
            limit = SUSPECT_SCORE
            if record.stage is Stage.SUSPECT:
                limit = CLEARED_SCORE
            return Stage.SUSPECT if score >= limit else Stage.IN_USE
        if record.stage is Stage.TRIAL:
            return self.after_trial(record, score)
        if now < record.until:
            return record.stage
        return Stage.TRIAL if record.stage is Stage.EJECTED else Stage.IN_USE

    def after_trial(self, record: ServerRecord, score: float) -> Stage:
        """Returns the stage that follows from the trial calls so far."""
        if score >= TRIAL_SCORE:
            return Stage.EJECTED
        done = record.trials >= MIN_GOOD_TRIALS
        return Stage.RAMP if done else Stage.TRIAL

    def weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work of a server, from 0 to 1."""
        record = self.records.get(server)
        if record is None or record.stage in IN_USE_STAGES:
            return 1
        if record.stage is not Stage.RAMP:
            return 0
        done = 1 - max(record.until - now, 0) / RAMP_S
        return RAMP_START + (1 - RAMP_START) * done

    def is_busy(self) -> bool:
        """Returns whether any server is not in full use."""
        return any(
            record.stage is not Stage.IN_USE for record in self.records.values()
        )

    def adopt(
        self, server: BackendServerId, stage: Stage, now: Instant
    ) -> None:
        """Adopts a stage that another tracker has decided."""
        record = self.record(server)
        if stage in {Stage.EJECTED, Stage.TRIAL} and not self.is_ejected(
            server
        ):
            self.start_ejection(record, EJECT_SCORE, now)
        elif stage in {Stage.RAMP, Stage.IN_USE}:
            self.clear_evidence(record)
            record.stage = Stage.IN_USE
