"""Judges the servers of one service by the evidence of one or more hosts.

Each host judges by its own evidence, and the aggregator of a service by the
evidence of all hosts. A judge knows no floor: `floors` limits what follows.
"""

from teaselcove.ids import BackendServerId, Instant
from teaselcove.scores import (
    EJECT_SCORE,
    IN_USE_STAGES,
    MAX_SUSPECT_SHARE,
    SUSPECT_SCORE,
    Record,
    ScoreBoard,
    Stage,
)

# Evidence below which a suspect server is cleared; lower than the evidence
# that makes it suspect, or each call would cause a verdict.
CLEARED_SCORE = 1
# Evidence at which a trial has failed: one failure among healthy peers.
TRIAL_SCORE = 3
FIRST_HOLD_S = 2
MAX_HOLD_S = 160
# Longer than the slowest flapping period to be recognised (60 s).
STRIKE_LIFETIME_S = 240
TRIALS_NEEDED = 2
RAMP_S = 6
RAMP_START = 0.2


class Judge(ScoreBoard):
    """Moves the servers of one service between stages."""

    def evaluate(
        self,
        servers: list[BackendServerId],
        now: Instant,
        may_eject: bool = True,
    ) -> list[BackendServerId]:
        """Moves the servers between stages; returns those that moved.

        Args:
            servers: The servers of the service that are not leaving.
            now: Present time.
            may_eject: Whether servers in use may be ejected.
        """
        moved = self.eject(servers, now) if may_eject else []
        for server in servers:
            if self.advance(server, now):
                moved.append(server)
        return moved

    def eject(
        self, servers: list[BackendServerId], now: Instant
    ) -> list[BackendServerId]:
        """Ejects servers unless their fault is common to many."""
        scores = {server: self.score(server, now) for server in servers}
        suspects = [
            server
            for server in servers
            if scores[server] >= SUSPECT_SCORE and not self.is_away(server)
        ]
        gone = sum(self.is_away(server) for server in servers)
        if len(suspects) + gone > MAX_SUSPECT_SHARE * len(servers):
            return []
        found = [
            server
            for server in suspects
            if self.excess(server, scores, now) >= EJECT_SCORE
            and not self.is_warming_up(server, now)
            and self.is_contrasted(server, scores)
        ]
        for server in found:
            self.hold(self.record(server), scores[server], now)
        return found

    def is_warming_up(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server was readmitted lately and is only slow."""
        ramp = self.record(server).stage is Stage.RAMP
        return ramp and self.is_slow(server, now)

    def is_away(self, server: BackendServerId) -> bool:
        """Returns whether a server is out or on trial."""
        return self.record(server).stage in {Stage.OUT, Stage.TRIAL}

    def hold(self, record: Record, score: float, now: Instant) -> None:
        """Ejects a server, for longer if it was ejected lately."""
        while record.strikes and (now - record.strikes[0] > STRIKE_LIFETIME_S):
            record.strikes.popleft()
        hold = FIRST_HOLD_S * 2 ** len(record.strikes)
        record.strikes.append(now)
        record.stage = Stage.OUT
        record.until = now + min(hold, MAX_HOLD_S)
        record.weight_of_ejection = score
        self.forget(record)

    def advance(self, server: BackendServerId, now: Instant) -> bool:
        """Moves a server towards full use; returns whether it moved."""
        record = self.record(server)
        score = self.score(server, now)
        if record.stage in IN_USE_STAGES:
            # Only what the path may have caused is worth a closer look.
            score = self.path_score(record, now)
        following = self.next_stage(record, score, now)
        if following is record.stage:
            return False
        if following is Stage.OUT:
            self.hold(record, score, now)
        elif following is Stage.TRIAL:
            self.forget(record)
        elif following is Stage.RAMP:
            record.until = now + RAMP_S
        record.stage = following
        return True

    def next_stage(self, record: Record, score: float, now: Instant) -> Stage:
        """Returns the stage that follows from the evidence and the time."""
        if record.stage in IN_USE_STAGES:
            limit = SUSPECT_SCORE
            if record.stage is Stage.SUSPECT:
                limit = CLEARED_SCORE
            return Stage.SUSPECT if score >= limit else Stage.IN_USE
        if record.stage is Stage.TRIAL:
            return self.after_trial(record, score)
        if now < record.until:
            return record.stage
        return Stage.TRIAL if record.stage is Stage.OUT else Stage.IN_USE

    def after_trial(self, record: Record, score: float) -> Stage:
        """Returns the stage that follows from the trial calls so far."""
        if score >= TRIAL_SCORE:
            return Stage.OUT
        done = record.trials >= TRIALS_NEEDED
        return Stage.RAMP if done else Stage.TRIAL

    def weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work for a server, from 0 to 1."""
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
        """Takes over a stage that another judge has decided."""
        record = self.record(server)
        if stage in {Stage.OUT, Stage.TRIAL} and not self.is_away(server):
            self.hold(record, EJECT_SCORE, now)
        elif stage in {Stage.RAMP, Stage.IN_USE}:
            self.forget(record)
            record.stage = Stage.IN_USE
