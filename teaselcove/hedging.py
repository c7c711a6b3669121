"""Hedging: a second attempt while the first one has no answer."""

from collections import defaultdict

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.ids import Instant, ServiceId
from teaselcove.kernel import Kernel, services
from teaselcove.latency import LatencyWindow
from teaselcove.request_state import RequestState

# Multiple of the 95th percentile of the latency. Normal calls end earlier, and
# a call at a stalled server takes little longer than a normal one.
HEDGE_FACTOR = 2
MIN_HEDGE_S = 0.01


@services.register('hedging')
class Hedging:
    """Hedges idempotent calls that get no answer for too long."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.latencies: defaultdict[ServiceId, LatencyWindow] = defaultdict(
            LatencyWindow
        )

    def attempt_started(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> None:
        """Sets the timer of the hedge."""
        if not attempt.idempotent or len(state.running) > 1:
            return
        quantile_latency = self.latencies[attempt.service].quantile()
        if quantile_latency is None:
            return
        at = Instant(now + max(MIN_HEDGE_S, HEDGE_FACTOR * quantile_latency))
        if at < state.deadline:
            state.hedge_timer = self.kernel.call_at(
                at, lambda later: self.start_hedge(state, attempt, later)
            )

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Records the latency of an attempt.

        An attempt that timed out or was cancelled counts with the time it
        took, so that the percentile rises when all servers become slow.
        """
        if event.result in {
            AttemptResult.COMPLETE,
            AttemptResult.TIMED_OUT,
            AttemptResult.CANCELLED,
        }:
            latency = now - attempt.started_at
            self.latencies[attempt.service].add(latency)

    def start_hedge(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> None:
        """Starts a hedge if budget, queue and servers allow it now."""
        state.hedge_timer = None
        if state.running != [attempt] or state.caller_disconnected:
            return
        retries = self.kernel.service('retries')
        if retries.crashes.is_suspect(attempt.body_digest):
            return
        if not retries.budget.has_token(attempt.service):
            return
        if not self.kernel.service('admission').is_idle(attempt.service, now):
            return
        tried_servers = state.tried_servers | {attempt.server}
        server = self.kernel.service('routing').pick(
            attempt.service, tried_servers, now
        )
        if server is None:
            return
        retries.budget.withdraw(attempt.service)
        state.tried_servers = tried_servers
        state.hedged = True
        self.kernel.decide(
            'hedge',
            request=state.request_id,
            silent_server=attempt.server,
            server=server.id,
            after=now - attempt.started_at,
        )
        self.kernel.service('requests').dispatch(state.request_id, server, now)
