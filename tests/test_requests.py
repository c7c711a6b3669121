"""Tests of the request state machine."""

from teaselcove.effects import Answer, Dial, Refuse
from teaselcove.errors import Outcome, Reason
from teaselcove.events import AttemptFinished, AttemptResult, RequestArrived
from tests.support import KEY_TEXT, make_kernel


def arrival(number: int, **changes: object) -> RequestArrived:
    """Returns a request: a look-up, or a booking if the method is POST."""
    fields = {
        'method': 'GET',
        'path': '/jobs/7',
        'key': KEY_TEXT,
        'idempotency_key': None,
        'body_digest': b'd',
        **changes,
    }
    return RequestArrived(f'request-{number}', **fields)


def single_effect(effects: list, kind: type) -> object:
    """Returns the single effect of a type."""
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1, effects
    return found[0]


class TestRequestPath:
    """Path of a request from its arrival to its answer."""

    def test_answer(self) -> None:
        """Guards against a request that is admitted but never answered."""
        kernel = make_kernel()
        dial = single_effect(kernel.handle(arrival(1), 1), Dial)
        done = AttemptFinished(dial.attempt_id, AttemptResult.COMPLETE, 200)
        effects = kernel.handle(done, 1.01)
        assert single_effect(effects, Answer).attempt_id == dial.attempt_id

    def test_wrong_key(self) -> None:
        """Guards against serving a request whose key does not match."""
        kernel = make_kernel()
        effects = kernel.handle(arrival(1, key=f'{KEY_TEXT}0'), 1)
        refusal = single_effect(effects, Refuse).refusal
        assert refusal.reason is Reason.BAD_KEY
        assert refusal.outcome is Outcome.NOT_RUN

    def test_over_rate(self) -> None:
        """Guards against admitting more requests than the burst allows."""
        kernel = make_kernel(limiter='static')
        kernel.handle(arrival(0), 1)
        sent = [kernel.handle(arrival(number), 1.45) for number in range(1, 6)]
        assert all(single_effect(effects, Dial) for effects in sent[:4])
        refusal = single_effect(sent[-1], Refuse).refusal
        assert refusal.reason is Reason.RATE

    def test_booking_is_not_repeated(self) -> None:
        """Guards against a retry of a call that is not idempotent."""
        kernel = make_kernel()
        dial = single_effect(kernel.handle(arrival(1, method='POST'), 1), Dial)
        done = AttemptFinished(dial.attempt_id, AttemptResult.BROKEN)
        refusal = single_effect(kernel.handle(done, 1.01), Refuse).refusal
        assert refusal.outcome is Outcome.UNKNOWN

    def test_shed_booking_goes_to_another_server(self) -> None:
        """Guards against refusing a call that provably did not start."""
        kernel = make_kernel()
        dial = single_effect(kernel.handle(arrival(1, method='POST'), 1), Dial)
        shed = AttemptFinished(dial.attempt_id, AttemptResult.SHED)
        second = single_effect(kernel.handle(shed, 1.01), Dial)
        assert second.server != dial.server
