"""What attempts show of backend servers, as hosts tell each other."""

from enum import Enum

import msgspec

from teaselcove.ids import BackendServerId, Instant

MS_PER_S = 1000


class Outcome(Enum):
    """What an attempt shows of its server."""

    SUCCESS = 0
    FAILED = 1
    BROKEN = 2


class Finding(msgspec.Struct, frozen=True):
    """How an attempt at a server ended.

    Attributes:
        started_at: When the attempt started. It shows the state of the
            server at that time: a failing server still completes what it
            began before.
    """

    server: BackendServerId
    outcome: Outcome
    started_at: Instant


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A finding as hosts tell each other, whose clocks differ.

    Attributes:
        age_ms: Milliseconds since the attempt started.
    """

    server: BackendServerId
    outcome: Outcome
    age_ms: int

    @classmethod
    def of(cls, finding: Finding, now: Instant) -> 'Evidence':
        """Returns the evidence of a finding of this host."""
        age_ms = round((now - finding.started_at) * MS_PER_S)
        return cls(finding.server, finding.outcome, age_ms)

    def finding(self, now: Instant) -> Finding:
        """Returns the finding on the clock of the host that received it."""
        started_at = Instant(now - self.age_ms / MS_PER_S)
        return Finding(self.server, self.outcome, started_at)
