"""Whether a request is tried again after an attempt."""

from enum import Enum

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptResult
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel, services

MAX_ATTEMPTS = 3
SERVER_ERROR_STATUS = 500

# Results after which the call provably did not start.
NOT_STARTED = frozenset((AttemptResult.NOT_SENT, AttemptResult.SHED))


class RetryVerdict(Enum):
    """Decision after an attempt."""

    RETRY = 'retry'
    GIVE_UP = 'give-up'


@services.register('retries')
class Retries:
    """Decides about retries."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def request_arrived(self, now: Instant) -> None:
        """Counts a request for the retry budget."""

    def decide(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        attempts: int,
        now: Instant,
    ) -> RetryVerdict:
        """Decides whether to try again.

        Args:
            attempt: The attempt that has ended.
            result: How it ended.
            status: HTTP status of a whole answer.
            attempts: Attempts of the request so far.
            now: Present time.
        """
        failed = (
            result is not AttemptResult.COMPLETE
            or (status or 0) >= SERVER_ERROR_STATUS
        )
        repeatable = attempt.idempotent or result in NOT_STARTED
        if failed and repeatable and attempts < MAX_ATTEMPTS:
            return RetryVerdict.RETRY
        return RetryVerdict.GIVE_UP

    def is_crashing(self, body_digest: bytes, now: Instant) -> bool:
        """Returns whether a request has crashed backend servers."""
        return False
