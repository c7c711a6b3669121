"""Retry decisions and detection of requests that crash servers."""

from enum import Enum

from teaselcove.attempts import Attempt
from teaselcove.crashes import (
    BLOCKED_S,
    CrashBlocked,
    CrashCleared,
    CrashSuspected,
    CrashTable,
)
from teaselcove.effects import Send
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.ids import BackendServerId, HostId, Instant
from teaselcove.kernel import Kernel, on, services
from teaselcove.request_state import RequestState
from teaselcove.retry_budget import RetryBudget

# Attempts that may have run, including the first one.
MAX_STARTED = 3
# Attempts that provably did not start; the back-offs between them add up to
# about the usual timeout of a route.
MAX_NOT_STARTED = 20
IMMEDIATE_ATTEMPTS = 3
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
SERVER_ERROR_STATUS = 500
# With more peers than this, suspicions are sent only to the hosts that callers
# of the organisation use.
MAX_NOTIFIED_HOSTS = 64

# Results after which the call provably did not start.
NOT_STARTED = frozenset((AttemptResult.NOT_SENT, AttemptResult.SHED))


class RetryVerdict(Enum):
    """Decision after a failed attempt."""

    RETRY = 'retry'
    GIVE_UP = 'give-up'


def has_failed(event: AttemptFinished) -> bool:
    """Returns whether an attempt ended without a complete, non-5xx answer."""
    if event.result is not AttemptResult.COMPLETE:
        return True
    return (event.status or 0) >= SERVER_ERROR_STATUS


@services.register('retries')
class Retries:
    """Decides on retries and blocks requests that crash servers.

    Attributes:
        blocked_locally: Digests of the requests that this host has blocked.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.budget = RetryBudget()
        self.crashes = CrashTable()
        self.blocked_locally: set[bytes] = set()

    def attempt_started(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> None:
        """Deposits into the retry budget at the first attempt of a call."""
        if state.attempts == 1:
            self.budget.deposit(attempt.service)

    def decide(
        self,
        state: RequestState,
        attempt: Attempt,
        event: AttemptFinished,
        now: Instant,
    ) -> RetryVerdict:
        """Decides whether to retry a request.

        Args:
            state: The request.
            attempt: Its last attempt.
            event: How the attempt ended.
            now: Current time.
        """
        if event.result in NOT_STARTED:
            should_retry = state.not_started < MAX_NOT_STARTED
        else:
            should_retry = has_failed(event) and self.may_retry(
                state, attempt, now
            )
        return RetryVerdict.RETRY if should_retry else RetryVerdict.GIVE_UP

    def may_retry(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> bool:
        """Returns whether a call may run again; withdraws a token if so."""
        started = state.attempts - state.not_started
        if not attempt.idempotent or started >= MAX_STARTED:
            return False
        past_deadline = now + self.backoff(state) >= state.deadline
        if past_deadline or self.is_crashing(attempt.body_digest, now):
            return False
        return self.budget.withdraw(attempt.service)

    def backoff(self, state: RequestState) -> float:
        """Returns the seconds to wait before the next attempt.

        Attempts that did not start are retried at other servers without
        back-off, until enough servers have shed to assume that all are full.
        """
        started = state.attempts - state.not_started
        delayed = max(0, state.not_started - IMMEDIATE_ATTEMPTS + 1)
        doublings = started + delayed - 1
        if doublings < 0:
            return 0
        backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
        return backoff * self.kernel.random.uniform(0.5, 1)

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Updates the suspicion against a request from an attempt's result."""
        digest = attempt.body_digest
        if event.result is AttemptResult.COMPLETE:
            self.record_completed_request(attempt, now)
        # A truncated answer has a status; a crash leaves none.
        elif event.result is AttemptResult.BROKEN and event.status is None:
            if self.crashes.completed_recently(digest, now):
                return
            suspicion = CrashSuspected(digest, attempt.server)
            self.notify_peers(suspicion, attempt, now)
            self.record_crash(suspicion, now)

    def record_completed_request(self, attempt: Attempt, now: Instant) -> None:
        """Clears the suspicion against a request that a server completed."""
        self.crashes.record_completion(attempt.body_digest, now)
        if self.crashes.clear(attempt.body_digest):
            self.notify_peers(CrashCleared(attempt.body_digest), attempt, now)

    def record_crash(self, suspicion: CrashSuspected, now: Instant) -> None:
        """Records a crash; blocks a request that crashed too many servers."""
        digest = suspicion.digest
        if not self.crashes.record_crash(digest, suspicion.server, now):
            return
        if self.is_crashing(digest, now):
            return
        self.crashes.block(digest, Instant(now + BLOCKED_S))
        self.blocked_locally = {
            known
            for known in self.blocked_locally
            if self.is_crashing(known, now)
        } | {digest}
        self.kernel.decide(
            'block',
            digest=digest.hex(),
            servers=sorted(self.crashes.suspects[digest].crashed_servers),
            seconds=BLOCKED_S,
        )
        for host in self.peers():
            self.kernel.emit(Send(host, CrashBlocked(digest, BLOCKED_S)))

    def crashed_servers(
        self, state: RequestState
    ) -> frozenset[BackendServerId]:
        """Returns the servers that crashed while they ran a request.

        An attempt at another server shows sooner whether the request is the
        cause.
        """
        return self.crashes.crashed_servers(state.arrival.body_digest)

    def peers(self) -> list[HostId]:
        """Returns the other hosts in the platform's list."""
        hosts = self.kernel.service('membership').hosts
        return sorted(hosts.keys() - {self.kernel.settings.host})

    def notify_peers(
        self,
        body: CrashSuspected | CrashCleared,
        attempt: Attempt,
        now: Instant,
    ) -> None:
        """Sends a message to the hosts to which a caller may resend."""
        recipients = self.peers()
        if len(recipients) > MAX_NOTIFIED_HOSTS:
            placement = self.kernel.service('placement')
            answer = placement.hosts_for(attempt.organisation, now)
            hosts = self.kernel.service('membership').hosts
            recipients = [
                host
                for host in recipients
                if hosts[host].address in answer.addresses
            ]
        for host in recipients:
            self.kernel.emit(Send(host, body))

    @on(CrashSuspected)
    def crash_suspected(
        self, sender: HostId, suspicion: CrashSuspected, now: Instant
    ) -> None:
        """Records a crash that another host reported."""
        self.record_crash(suspicion, now)

    @on(CrashCleared)
    def crash_cleared(
        self, sender: HostId, cleared: CrashCleared, now: Instant
    ) -> None:
        """Clears a request whose completion another host reported.

        The host that blocked the request forwards the message to all hosts.
        """
        self.crashes.clear(cleared.digest)
        if cleared.digest in self.blocked_locally:
            self.blocked_locally.discard(cleared.digest)
            for host in self.peers():
                self.kernel.emit(Send(host, cleared))

    @on(CrashBlocked)
    def crash_blocked(
        self, sender: HostId, block: CrashBlocked, now: Instant
    ) -> None:
        """Blocks a request that another host found to crash servers.

        If a server has recently completed it, replies with `CrashCleared`.
        """
        if self.crashes.completed_recently(block.digest, now):
            self.kernel.emit(Send(sender, CrashCleared(block.digest)))
            return
        duration = min(block.duration, BLOCKED_S)
        self.crashes.block(block.digest, Instant(now + duration))

    def is_crashing(self, body_digest: bytes, now: Instant) -> bool:
        """Returns whether a request is blocked for crashing servers."""
        return self.crashes.is_blocked(body_digest, now)
