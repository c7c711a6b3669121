"""Results of attempts, as evidence on the health of servers."""

from enum import Enum

import msgspec

from teaselcove.ids import BackendServerId, Instant

MS_PER_S = 1000


class Outcome(Enum):
    """What the result of an attempt says about its server."""

    SUCCESS = 0
    FAILED = 1
    BROKEN = 2


class Finding(msgspec.Struct, frozen=True):
    """The result of an attempt at a server.

    Attributes:
        started_at: When the attempt started. Its result reflects the state of
            the server at that time: a failing server still completes requests
            that it began before.
    """

    server: BackendServerId
    outcome: Outcome
    started_at: Instant


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A finding as sent between hosts, whose clocks differ.

    Attributes:
        age_ms: Milliseconds since the attempt started.
    """

    server: BackendServerId
    outcome: Outcome
    age_ms: int

    @classmethod
    def of(cls, finding: Finding, now: Instant) -> 'Evidence':
        """Returns a finding of this host as evidence."""
        age_ms = round((now - finding.started_at) * MS_PER_S)
        return cls(finding.server, finding.outcome, age_ms)

    def finding(self, now: Instant) -> Finding:
        """Returns the finding in terms of the receiving host's clock."""
        started_at = Instant(now - self.age_ms / MS_PER_S)
        return Finding(self.server, self.outcome, started_at)
