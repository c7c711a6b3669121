"""Tests of the weighted fair queue and the concurrency limit."""

from collections import Counter

import pytest

from teaselcove.admission import Ticket
from teaselcove.attempts import Attempt
from teaselcove.concurrency import MIN_LIMIT, ConcurrencyLimit
from teaselcove.errors import Reason
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.fair_queue import (
    MAX_PER_ORGANISATION,
    MAX_TOTAL,
    WeightedFairQueue,
)
from tests.support import make_kernel


def ticket(
    organisation: str, number: int, weight: float = 1, **changes: object
) -> Ticket:
    """Returns a ticket of an organisation."""
    fields = {'deadline': 100, **changes}
    request_id = f'{organisation}-{number}'
    return Ticket(request_id, organisation, 'job', weight, **fields)


def attempt(number: int, server: str = 'job-1') -> Attempt:
    """Returns an attempt."""
    return Attempt(number, f'r{number}', 'job', server, 'village', True, b'', 0)


def take(queue: WeightedFairQueue, count: int, now: float = 1) -> list[Ticket]:
    """Takes the next tickets from a queue."""
    taken = []
    for _ in range(count):
        taken.append(queue.peek(now))
        queue.take(taken[-1], now)
    return taken


class TestWeightedFairQueue:
    """Shares, bounds and refusals."""

    @pytest.mark.parametrize(
        ('weights', 'expected'),
        [
            ({'small': 1, 'large': 1}, {'small': 10, 'large': 10}),
            ({'small': 1, 'large': 3}, {'small': 5, 'large': 15}),
        ],
    )
    def test_shares(
        self, weights: dict[str, float], expected: dict[str, int]
    ) -> None:
        """Guards against an organisation that gets more than its share."""
        queue = WeightedFairQueue(make_kernel())
        for name, weight in weights.items():
            for number in range(30):
                queue.push(ticket(name, number, weight), 1)
        served = Counter(item.organisation for item in take(queue, 20))
        assert served == expected

    def test_new_organisation_does_not_wait(self) -> None:
        """Guards against one organisation's long queue delaying another."""
        queue = WeightedFairQueue(make_kernel())
        for number in range(MAX_PER_ORGANISATION):
            queue.push(ticket('large', number), 1)
        take(queue, 20)
        queue.push(ticket('small', 0), 1)
        assert 'small' in {item.organisation for item in take(queue, 2)}

    def test_idle_time_earns_no_share(self) -> None:
        """Guards against a share that grows while an organisation is idle."""
        queue = WeightedFairQueue(make_kernel())
        queue.push(ticket('idle', 0), 1)
        for number in range(40):
            queue.push(ticket('busy', number), 1)
        take(queue, 30)
        for number in range(1, 9):
            queue.push(ticket('idle', number), 2)
        served = Counter(item.organisation for item in take(queue, 8, 2))
        assert served['busy'] >= 3

    def test_bound_of_an_organisation(self) -> None:
        """Guards against one organisation filling the whole queue."""
        queue = WeightedFairQueue(make_kernel())
        refusals = [
            queue.push(ticket('large', number), 1)
            for number in range(MAX_PER_ORGANISATION + 1)
        ]
        assert refusals[-1].reason is Reason.QUEUE_FULL
        assert refusals[-2] is None
        assert queue.push(ticket('small', 0), 1) is None

    def test_bound_in_total(self) -> None:
        """Guards against unbounded memory with many organisations."""
        queue = WeightedFairQueue(make_kernel())
        for number in range(MAX_TOTAL):
            queue.push(ticket(f'other-{number}', 0), 1)
        queue.push(ticket('other-0', 1), 1)
        assert queue.excess_ticket().request_id == 'other-0-1'

    def test_early_refusal(self) -> None:
        """Guards against queueing a request that cannot start in time."""
        queue = WeightedFairQueue(make_kernel())
        for number in range(20):
            queue.push(ticket('large', number), 1)
        take(queue, 10)
        refusal = queue.push(ticket('large', 20, deadline=1.2), 1)
        assert refusal.reason is Reason.DEADLINE
        assert queue.push(ticket('large', 21, deadline=3), 1) is None

    def test_cancelled(self) -> None:
        """Guards against starting a request that has ended."""
        queue = WeightedFairQueue(make_kernel())
        for number in range(3):
            queue.push(ticket('small', number), 1)
        queue.remove('small-0')
        queue.remove('small-2')
        assert [item.request_id for item in take(queue, 1)] == ['small-1']
        assert queue.peek(1) is None


class TestConcurrencyLimit:
    """Adaptation of the limit to servers that shed."""

    def shed(self, limit: ConcurrencyLimit, servers: int) -> None:
        """Lets servers shed 30 attempts each, in turn."""
        for number in range(servers * 30):
            now = 1 + number * 0.02
            sent = attempt(number, f'job-{number % servers}')
            limit.attempt_started(sent, now)
            done = AttemptFinished(number, AttemptResult.SHED)
            limit.attempt_finished(sent, done, now)

    def test_overload(self) -> None:
        """Guards against a host that keeps sending while all servers shed."""
        limit = ConcurrencyLimit()
        self.shed(limit, 4)
        for number in range(MIN_LIMIT):
            assert limit.may_start(4)
            limit.attempt_started(attempt(1000 + number), 4)
        assert not limit.may_start(4)
        # Calls at a stalled server do not count against the limit for long.
        assert limit.may_start(5)

    def test_single_server(self) -> None:
        """Guards against mistaking a draining server for an overload."""
        limit = ConcurrencyLimit()
        self.shed(limit, 1)
        assert limit.limit == float('inf')
