"""State machine of a request from its arrival to its answer."""

import itertools

from returns.pipeline import is_successful

from teaselcove.admission import Ticket
from teaselcove.attempts import Attempt
from teaselcove.claims import ClaimResult, ClaimState
from teaselcove.effects import Answer, CancelAttempt, Dial, Refuse
from teaselcove.entities import Server
from teaselcove.errors import Outcome, Reason, Refusal, not_run
from teaselcove.events import (
    AttemptFinished,
    AttemptResult,
    CallerDisconnected,
    RequestArrived,
)
from teaselcove.ids import (
    AttemptId,
    Instant,
    OrganisationId,
    RequestId,
)
from teaselcove.kernel import Kernel, on, services
from teaselcove.rates import RateState, RateVerdict
from teaselcove.request_state import (
    RequestState,
    Stage,
    final_refusal,
)
from teaselcove.retries import NOT_STARTED, RetryVerdict, has_failed

# Elapsed times in decision log lines are rounded to 0.1 ms.
ELAPSED_DIGITS = 4


@services.register('requests')
class Requests:
    """Runs each request through rate limit, claim, queue and attempts.

    Attributes:
        states: Requests in progress.
        attempts_by_id: Attempts whose end has not been reported.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.states: dict[RequestId, RequestState] = {}
        self.attempts_by_id: dict[AttemptId, Attempt] = {}
        self.attempt_ids = itertools.count(1)

    @on(RequestArrived)
    def request_arrived(self, event: RequestArrived, now: Instant) -> None:
        """Checks route and key, then takes a rate limit token."""
        acceptance = self.kernel.service('acceptance')
        decided = acceptance.accept(event, now)
        if not is_successful(decided):
            self.emit_refusal(event.request_id, decided.failure())
            return
        accepted = decided.unwrap()
        self.states[event.request_id] = accepted
        accepted.timer = self.kernel.call_at(
            accepted.deadline, lambda later: self.expire(accepted, later)
        )
        accepted.stage = Stage.RATE
        verdict = self.kernel.service('rates').take(
            event.request_id, accepted.identity.organisation, now
        )
        if verdict.state is not RateState.PENDING:
            self.rate_decided(event.request_id, verdict, now)

    def rate_decided(
        self, request_id: RequestId, verdict: RateVerdict, now: Instant
    ) -> None:
        """Continues a request after the decision of the rate limiter."""
        state = self.states.get(request_id)
        if state is None or state.stage is not Stage.RATE:
            return
        if verdict.state is RateState.REFUSED:
            self.refuse(state, not_run(Reason.RATE, verdict.retry_after), now)
            return
        if verdict.state is RateState.UNAVAILABLE:
            self.refuse(state, not_run(Reason.RATE_UNAVAILABLE), now)
            return
        if state.idempotent or state.arrival.idempotency_key is None:
            self.enqueue(state, now)
            return
        state.stage = Stage.CLAIM
        claim = self.kernel.service('claims').acquire(
            request_id,
            state.identity.organisation,
            state.arrival.idempotency_key,
            state.arrival.body_digest,
            now,
        )
        if claim.state is not ClaimState.PENDING:
            self.claim_decided(request_id, claim, now)

    def claim_decided(
        self, request_id: RequestId, claim: ClaimResult, now: Instant
    ) -> None:
        """Continues a request after the decision about its claim."""
        state = self.states.get(request_id)
        if state is None or state.stage is not Stage.CLAIM:
            return
        if claim.state is ClaimState.GRANTED:
            state.claimed = True
            self.enqueue(state, now)
        elif claim.state is ClaimState.RECALLED:
            self.remove(state, now)
            self.kernel.decide('recall', request=request_id)
            self.kernel.emit(Answer(request_id, None, claim.answer))
        elif claim.refusal is not None:
            self.refuse(state, claim.refusal, now)

    def enqueue(
        self, state: RequestState, now: Instant, backoff: float = 0
    ) -> None:
        """Queues a request for a slot of its service, after a back-off."""
        state.stage = Stage.QUEUED
        organisation = self.kernel.service('configuration').organisation(
            state.identity.organisation
        )
        ticket = Ticket(
            state.request_id,
            state.identity.organisation,
            state.route.service,
            organisation.weight if organisation else 1,
            state.deadline,
            state.tried_servers
            | self.kernel.service('retries').crashed_servers(state),
            state.attempts > 0,
            Instant(now + backoff),
            state.idempotent,
        )
        refusal = self.kernel.service('admission').offer(ticket, now)
        if refusal is not None:
            self.refuse(state, refusal, now)

    def dispatch(
        self, request_id: RequestId, server: Server, now: Instant
    ) -> None:
        """Starts an attempt, unless the request may no longer run."""
        state = self.states[request_id]
        reason = self.rejection_reason(state, now)
        if reason is not None:
            self.give_up(state, reason, now)
            return
        attempt = Attempt(
            AttemptId(next(self.attempt_ids)),
            request_id,
            state.route.service,
            server.id,
            state.identity.organisation,
            state.idempotent,
            state.arrival.body_digest,
            now,
        )
        state.stage = Stage.RUNNING
        state.running.append(attempt)
        state.attempts += 1
        self.attempts_by_id[attempt.attempt_id] = attempt
        self.kernel.service('routing').attempt_started(attempt, now)
        health = self.kernel.service('health')
        health.attempt_started(attempt, now)
        self.kernel.service('admission').attempt_started(attempt, now)
        self.kernel.service('retries').attempt_started(state, attempt, now)
        self.kernel.service('hedging').attempt_started(state, attempt, now)
        service = self.kernel.service('configuration').service(
            state.route.service
        )
        self.kernel.emit(
            Dial(
                attempt.attempt_id,
                request_id,
                server.id,
                server.address,
                state.identity.organisation,
                state.deadline - now,
                # A keep-alive connection may break while the request is
                # written, which leaves open whether the call ran.
                # After an attempt without an answer, open connections may be
                # dead and only a new one may work.
                new_connection=not state.idempotent
                or state.hedged
                or health.needs_new_connection(server.id, now),
                echo_request_id=service.echo_request_id,
            )
        )

    def rejection_reason(
        self, state: RequestState, now: Instant
    ) -> Reason | None:
        """Returns why a request may no longer run, or None.

        Since its arrival, the request may have been blocked for crashing
        servers, its key withdrawn, or its claim lost.
        """
        retries = self.kernel.service('retries')
        if retries.is_crashing(state.arrival.body_digest, now):
            return Reason.CRASHING_REQUEST
        key_id = state.identity.key_id
        configuration = self.kernel.service('configuration')
        if key_id is not None and configuration.key(key_id) is None:
            return Reason.BAD_KEY
        claims = self.kernel.service('claims')
        if state.claimed and not claims.may_dial(state.request_id, now):
            return Reason.CLAIM_UNAVAILABLE
        return None

    @on(AttemptFinished)
    def attempt_finished(self, event: AttemptFinished, now: Instant) -> None:
        """Records the end of an attempt, then answers, retries or refuses."""
        attempt = self.attempts_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return
        self.kernel.decide(
            'attempt',
            request=attempt.request_id,
            organisation=attempt.organisation,
            server=attempt.server,
            result=event.result.value,
            status=event.status,
            elapsed=round(now - attempt.started_at, ELAPSED_DIGITS),
        )
        routing = self.kernel.service('routing')
        routing.attempt_finished(attempt, event.result, now)
        if event.leaving:
            routing.record_leaving(attempt.server, now)
        self.kernel.service('health').attempt_finished(
            attempt, event.result, event.status, now
        )
        self.kernel.service('retries').attempt_finished(attempt, event, now)
        self.kernel.service('hedging').attempt_finished(attempt, event, now)
        state = self.states.get(attempt.request_id)
        if state is not None and attempt in state.running:
            self.handle_attempt_end(state, attempt, event, now)
        self.kernel.service('admission').attempt_finished(attempt, event, now)

    def handle_attempt_end(
        self,
        state: RequestState,
        attempt: Attempt,
        event: AttemptFinished,
        now: Instant,
    ) -> None:
        """Answers a request, or handles the failure of its last attempt."""
        state.running.remove(attempt)
        if event.result in NOT_STARTED:
            state.not_started += 1
        else:
            state.may_have_run = True
        if not has_failed(event):
            self.answer(state, event, now)
            return
        state.tried_servers = state.tried_servers | {attempt.server}
        # A hedged request may have another attempt that still runs.
        if not state.running:
            self.handle_failure(state, attempt, event, now)

    def handle_failure(
        self,
        state: RequestState,
        attempt: Attempt,
        event: AttemptFinished,
        now: Instant,
    ) -> None:
        """Retries or ends a request that has no attempt left in flight."""
        retries = self.kernel.service('retries')
        verdict = RetryVerdict.GIVE_UP
        if not state.caller_disconnected:
            verdict = retries.decide(state, attempt, event, now)
        if verdict is RetryVerdict.RETRY:
            self.kernel.decide(
                'retry',
                request=state.request_id,
                server=attempt.server,
                result=event.result.value,
                attempts=state.attempts,
            )
            self.enqueue(state, now, retries.backoff(state))
        elif event.result is AttemptResult.COMPLETE:
            self.answer(state, event, now)
        else:
            self.refuse(state, final_refusal(state), now)

    def answer(
        self, state: RequestState, event: AttemptFinished, now: Instant
    ) -> None:
        """Sends the complete answer of an attempt to the caller."""
        self.cancel_pending_work(state, now)
        self.remove(state, now)
        if state.claimed:
            self.kernel.service('claims').finish(
                state.request_id, Outcome.COMPLETE, event.answer, now
            )
        self.kernel.emit(Answer(state.request_id, event.attempt_id))

    def refuse(
        self, state: RequestState, refusal: Refusal, now: Instant
    ) -> None:
        """Ends a request with a refusal.

        If an attempt may have run, the outcome is never "not run".
        """
        if state.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = Refusal(
                Outcome.UNKNOWN, refusal.reason, refusal.retry_after
            )
        self.remove(state, now)
        if state.claimed:
            self.kernel.service('claims').finish(
                state.request_id, refusal.outcome, None, now
            )
        self.emit_refusal(
            state.request_id, refusal, state.identity.organisation
        )

    def emit_refusal(
        self,
        request_id: RequestId,
        refusal: Refusal,
        organisation: OrganisationId | None = None,
    ) -> None:
        """Logs and emits a refusal."""
        self.kernel.decide(
            'refuse',
            request=request_id,
            organisation=organisation,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )
        self.kernel.emit(Refuse(request_id, refusal))

    def remove(self, state: RequestState, now: Instant) -> None:
        """Removes a request that ends and cancels its timers."""
        self.states.pop(state.request_id, None)
        for timer in (state.timer, state.hedge_timer):
            if timer is not None:
                self.kernel.cancel(timer)

    def expire(self, state: RequestState, now: Instant) -> None:
        """Ends a request whose deadline has passed."""
        state.timer = None
        self.give_up(state, Reason.DEADLINE, now)

    def give_up(
        self, state: RequestState, reason: Reason, now: Instant
    ) -> None:
        """Ends a request early, as "unknown" if it may have run."""
        self.cancel_pending_work(state, now)
        outcome = Outcome.UNKNOWN if state.may_have_run else Outcome.NOT_RUN
        self.refuse(state, Refusal(outcome, reason), now)

    def cancel_pending_work(self, state: RequestState, now: Instant) -> None:
        """Cancels whatever a request waits for and its running attempts."""
        if state.stage is Stage.RATE:
            self.kernel.service('rates').cancel(state.request_id, now)
        if state.stage is Stage.CLAIM:
            claims = self.kernel.service('claims')
            state.may_have_run |= claims.cancel(state.request_id, now)
        if state.stage is Stage.QUEUED:
            self.kernel.service('admission').cancel(state.request_id, now)
        for attempt in state.running:
            state.may_have_run = True
            self.kernel.emit(CancelAttempt(attempt.attempt_id))
        state.running = []

    @on(CallerDisconnected)
    def caller_disconnected(
        self, event: CallerDisconnected, now: Instant
    ) -> None:
        """Cancels a request unless it runs and is not idempotent.

        A running call that is not idempotent continues, so that its outcome is
        known when the caller resends it.
        """
        state = self.states.get(event.request_id)
        if state is None:
            return
        state.caller_disconnected = True
        if not state.running or state.idempotent:
            self.give_up(state, Reason.DEADLINE, now)
