"""Budget that limits retries and hedges to a share of the calls."""

from collections import defaultdict

from teaselcove.ids import ServiceId

# Retries and hedges per call, even when all servers fail. Including the unused
# tokens of all hosts, the ratio stays below 0.2 (a fifth) in any 5 s.
RETRY_RATIO = 0.18
# Cap of unused tokens, so that a time of few failures does not allow a long
# burst of retries.
MAX_TOKENS = 1


class RetryBudget:
    """Token bucket for retries and hedges, by service.

    A service starts without tokens, so that the ratio holds from the start.
    """

    def __init__(self) -> None:
        self.tokens: defaultdict[ServiceId, float] = defaultdict(float)

    def deposit(self, service: ServiceId) -> None:
        """Adds the fraction of a token that a call earns."""
        balance = self.tokens[service] + RETRY_RATIO
        self.tokens[service] = min(MAX_TOKENS, balance)

    def has_token(self, service: ServiceId) -> bool:
        """Returns whether a token is available."""
        return self.tokens[service] >= 1

    def withdraw(self, service: ServiceId) -> bool:
        """Takes a token; returns whether one was available."""
        if not self.has_token(service):
            return False
        self.tokens[service] -= 1
        return True
