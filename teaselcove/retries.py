"""Whether a request is tried again after an attempt."""

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

# Attempts that may have run, with the first one.
MAX_STARTED = 3
# Attempts that provably did not start; the pauses between them add up to
# about the usual timeout of a route.
MAX_NOT_STARTED = 20
UNPAUSED_NOT_STARTED = 3
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.2
SERVER_ERROR_STATUS = 500
# Above this number of hosts, only those that callers of the organisation
# use are told about a suspect.
MAX_TOLD = 64

# Results after which the call provably did not start.
NOT_STARTED = frozenset((AttemptResult.NOT_SENT, AttemptResult.SHED))


class RetryVerdict(Enum):
    """Decision after an attempt."""

    RETRY = 'retry'
    GIVE_UP = 'give-up'


def has_failed(event: AttemptFinished) -> bool:
    """Returns whether an attempt gave no useful answer."""
    if event.result is not AttemptResult.COMPLETE:
        return True
    return (event.status or 0) >= SERVER_ERROR_STATUS


@services.register('retries')
class Retries:
    """Decides about retries and finds crashing requests."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.budget = RetryBudget()
        self.crashes = CrashTable()
        self.blocked_here: set[bytes] = set()

    def attempt_started(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> None:
        """Counts a call for the retry budget at its first attempt."""
        if state.attempts == 1:
            self.budget.deposit(attempt.service)

    def decide(
        self,
        state: RequestState,
        attempt: Attempt,
        event: AttemptFinished,
        now: Instant,
    ) -> RetryVerdict:
        """Decides whether to try again.

        Args:
            state: The request.
            attempt: Its attempt that has ended.
            event: How the attempt ended.
            now: Present time.
        """
        if event.result in NOT_STARTED:
            again = state.not_started < MAX_NOT_STARTED
        else:
            again = has_failed(event) and self.may_repeat(state, attempt, now)
        return RetryVerdict.RETRY if again else RetryVerdict.GIVE_UP

    def may_repeat(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> bool:
        """Returns whether a call may run again; takes from the budget."""
        started = state.attempts - state.not_started
        if not attempt.idempotent or started >= MAX_STARTED:
            return False
        late = now + self.pause(state) >= state.deadline
        if late or self.is_crashing(attempt.body_digest, now):
            return False
        return self.budget.withdraw(attempt.service)

    def pause(self, state: RequestState) -> float:
        """Returns the seconds to wait before the next attempt.

        Attempts that did not start go to other servers at once, until so
        many servers have shed that all of them seem to be full.
        """
        started = state.attempts - state.not_started
        unpaused = max(0, state.not_started - UNPAUSED_NOT_STARTED + 1)
        doublings = started + unpaused - 1
        if doublings < 0:
            return 0
        pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**doublings)
        return pause * self.kernel.random.uniform(0.5, 1)

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Notes what the end of an attempt says about its request."""
        digest = attempt.body_digest
        if event.result is AttemptResult.COMPLETE:
            self.note_complete(attempt, now)
        # A truncated answer has a status; a server that crashes gives none.
        elif event.result is AttemptResult.BROKEN and event.status is None:
            if self.crashes.completed_recently(digest, now):
                return
            suspicion = CrashSuspected(digest, attempt.server)
            self.tell(suspicion, attempt, now)
            self.record_crash(suspicion, now)

    def note_complete(self, attempt: Attempt, now: Instant) -> None:
        """Clears a suspected request that a server has completed."""
        self.crashes.record_completion(attempt.body_digest, now)
        if self.crashes.clear(attempt.body_digest):
            self.tell(CrashCleared(attempt.body_digest), attempt, now)

    def record_crash(self, suspicion: CrashSuspected, now: Instant) -> None:
        """Blocks a request that has hurt too many servers."""
        digest = suspicion.digest
        if not self.crashes.record_crash(digest, suspicion.server, now):
            return
        if self.is_crashing(digest, now):
            return
        self.crashes.block(digest, Instant(now + BLOCKED_S))
        self.blocked_here = {
            known for known in self.blocked_here if self.is_crashing(known, now)
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

        Another server shows sooner whether the request is the cause.
        """
        return self.crashes.crashed_servers(state.arrival.body_digest)

    def peers(self) -> list[HostId]:
        """Returns the other hosts of the platform's list."""
        hosts = self.kernel.service('membership').hosts
        return sorted(hosts.keys() - {self.kernel.settings.host})

    def tell(
        self,
        body: CrashSuspected | CrashCleared,
        attempt: Attempt,
        now: Instant,
    ) -> None:
        """Tells the hosts to which the caller may send a request again."""
        told = self.peers()
        if len(told) > MAX_TOLD:
            placement = self.kernel.service('placement')
            answer = placement.hosts_for(attempt.organisation, now)
            hosts = self.kernel.service('membership').hosts
            told = [
                host for host in told if hosts[host].address in answer.addresses
            ]
        for host in told:
            self.kernel.emit(Send(host, body))

    @on(CrashSuspected)
    def crash_suspected(
        self, sender: HostId, suspicion: CrashSuspected, now: Instant
    ) -> None:
        """Notes a crash that another host saw."""
        self.record_crash(suspicion, now)

    @on(CrashCleared)
    def crash_cleared(
        self, sender: HostId, cleared: CrashCleared, now: Instant
    ) -> None:
        """Clears a request that another host saw complete.

        The host that has blocked it tells all.
        """
        self.crashes.clear(cleared.digest)
        if cleared.digest in self.blocked_here:
            self.blocked_here.discard(cleared.digest)
            for host in self.peers():
                self.kernel.emit(Send(host, cleared))

    @on(CrashBlocked)
    def crash_blocked(
        self, sender: HostId, block: CrashBlocked, now: Instant
    ) -> None:
        """Refuses a request that another host found to crash servers."""
        if self.crashes.completed_recently(block.digest, now):
            self.kernel.emit(Send(sender, CrashCleared(block.digest)))
            return
        duration = min(block.duration, BLOCKED_S)
        self.crashes.block(block.digest, Instant(now + duration))

    def is_crashing(self, body_digest: bytes, now: Instant) -> bool:
        """Returns whether a request has crashed backend servers."""
        return self.crashes.is_blocked(body_digest, now)
