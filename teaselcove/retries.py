"""Whether a request is tried again after an attempt."""

from enum import Enum

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptResult
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel, services

# Attempts that may have run, with the first one.
MAX_STARTED = 3
# Attempts that provably did not start; the pauses between them add up to
# about the usual timeout of a route.
MAX_NOT_STARTED = 20
UNPAUSED_NOT_STARTED = 3
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.2
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
        not_started: int,
        now: Instant,
    ) -> RetryVerdict:
        """Decides whether to try again.

        Args:
            attempt: The attempt that has ended.
            result: How it ended.
            status: HTTP status of a whole answer.
            attempts: Attempts of the request so far.
            not_started: How many of them provably did not start.
            now: Present time.
        """
        if result in NOT_STARTED:
            if not_started < MAX_NOT_STARTED:
                return RetryVerdict.RETRY
            return RetryVerdict.GIVE_UP
        failed = (
            result is not AttemptResult.COMPLETE
            or (status or 0) >= SERVER_ERROR_STATUS
        )
        started = attempts - not_started
        if failed and attempt.idempotent and started < MAX_STARTED:
            return RetryVerdict.RETRY
        return RetryVerdict.GIVE_UP

    def pause(self, not_started: int) -> float:
        """Returns the seconds to wait before the next attempt.

        Attempts that did not start go to other servers at once, until so
        many servers have shed that all of them seem to be full.
        """
        doublings = not_started - UNPAUSED_NOT_STARTED
        if doublings < 0:
            return 0
        pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**doublings)
        return pause * self.kernel.random.uniform(0.5, 1)

    def is_crashing(self, body_digest: bytes, now: Instant) -> bool:
        """Returns whether a request has crashed backend servers."""
        return False
