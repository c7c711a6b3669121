"""Second attempts of calls whose first one stays silent."""

from collections import defaultdict

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.ids import Instant, ServiceId
from teaselcove.kernel import Kernel, services
from teaselcove.latency import LatencyWindow
from teaselcove.request_state import RequestState

# A multiple of the 95th percentile of the latency: normal calls end before
# it, and a call at a stalled server waits little longer than a normal one.
HEDGE_FACTOR = 2
MIN_HEDGE_S = 0.01


@services.register('hedging')
class Hedging:
    """Starts a second attempt of an idempotent call after silence."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.latencies: defaultdict[ServiceId, LatencyWindow] = defaultdict(
            LatencyWindow
        )

    def attempt_started(
        self, state: RequestState, attempt: Attempt, now: Instant
    ) -> None:
        """Sets the timer of a second attempt."""
        if not attempt.idempotent or len(state.running) > 1:
            return
        usual = self.latencies[attempt.service].quantile()
        if usual is None:
            return
        at = Instant(now + max(MIN_HEDGE_S, HEDGE_FACTOR * usual))
        if at < state.deadline:
            state.hedge_timer = self.kernel.call_at(
                at, lambda later: self.due(state, attempt, later)
            )

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Notes the latency of an attempt.

        An attempt without an answer counts with the time that it took, so
        that the usual latency rises when all servers become slow.
        """
        if event.result in {
            AttemptResult.COMPLETE,
            AttemptResult.TIMED_OUT,
            AttemptResult.CANCELLED,
        }:
            latency = now - attempt.started_at
            self.latencies[attempt.service].add(latency)

    def due(self, state: RequestState, attempt: Attempt, now: Instant) -> None:
        """Starts a second attempt if one is affordable at once."""
        state.hedge_timer = None
        if state.running != [attempt] or state.caller_gone:
            return
        retries = self.kernel.service('retries')
        if retries.crashes.is_suspect(attempt.body_digest):
            return
        if not retries.budget.has_token(attempt.service):
            return
        if not self.kernel.service('admission').is_idle(attempt.service, now):
            return
        tried = state.tried | {attempt.server}
        server = self.kernel.service('routing').pick(
            attempt.service, tried, now
        )
        if server is None:
            return
        retries.budget.withdraw(attempt.service)
        state.tried = tried
        state.after_silence = True
        self.kernel.decide(
            'hedge',
            request=state.request_id,
            silent_server=attempt.server,
            server=server.id,
            after=now - attempt.started_at,
        )
        self.kernel.service('requests').dispatch(state.request_id, server, now)
