"""Budget that keeps second attempts a share of the first ones."""

from collections import defaultdict

from teaselcove.ids import ServiceId

# Share of calls that may be retried or hedged, even when all servers fail.
# With the saved attempts of all hosts it stays below a fifth in any 5 s.
BUDGET_SHARE = 0.18
# Unused budget is kept up to this many attempts, so that a quiet time does
# not pay for a long burst of retries.
MAX_SAVED = 1


class RetryBudget:
    """Tokens for second attempts, by service.

    A service starts without tokens: so the share holds from the start.
    """

    def __init__(self) -> None:
        self.tokens: defaultdict[ServiceId, float] = defaultdict(float)

    def deposit(self, service: ServiceId) -> None:
        """Notes the first attempt of a call."""
        saved = self.tokens[service] + BUDGET_SHARE
        self.tokens[service] = min(MAX_SAVED, saved)

    def has_token(self, service: ServiceId) -> bool:
        """Returns whether a second attempt may be paid for."""
        return self.tokens[service] >= 1

    def withdraw(self, service: ServiceId) -> bool:
        """Pays for a second attempt, if possible."""
        if not self.has_token(service):
            return False
        self.tokens[service] -= 1
        return True
