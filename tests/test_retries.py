"""Tests of retries, hedges, the retry budget and crashing requests."""

from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselcove.crashes import (
    CRASH_WINDOW_S,
    MAX_ENTRIES,
    RECENT_COMPLETION_S,
    CrashBlocked,
    CrashCleared,
    CrashTable,
)
from teaselcove.effects import Answer, Dial, Refuse, Send
from teaselcove.errors import Outcome, Reason
from teaselcove.events import (
    AttemptFinished,
    AttemptResult,
    CallerDisconnected,
    HostsListed,
    PeerMessageReceived,
    TimerDue,
)
from teaselcove.retries import NOT_STARTED
from teaselcove.retry_budget import RetryBudget
from tests.support import host_entry, make_kernel
from tests.test_requests import arrival, single_effect

BROKEN = AttemptResult.BROKEN
MAX_RETRY_SHARE = 0.2


def of_type(effects: list, kind: type) -> list:
    """Returns the effects of a type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def complete_calls(kernel: object, calls: int, took: float = 0.01) -> float:
    """Completes look-ups, to fill the retry budget and record latencies."""
    now = float(1)
    for number in range(calls):
        dial = single_effect(
            kernel.handle(arrival(f'earn-{number}'), now), Dial
        )
        now += took
        done = AttemptFinished(dial.attempt_id, AttemptResult.COMPLETE, 200)
        kernel.handle(done, now)
    return now


class TestRetryBudget:
    """Bounds of retries and hedges relative to calls."""

    @pytest.mark.parametrize('calls', [0, 3, 10, 1000])
    def test_share(self, calls: int) -> None:
        """Guards against retries that multiply the load of an outage."""
        budget = RetryBudget()
        granted = 0
        for _ in range(calls):
            budget.deposit('job')
            granted += budget.withdraw('job')
        assert granted <= MAX_RETRY_SHARE * calls
        assert granted >= int(calls / 6)

    def test_saved(self) -> None:
        """Guards against a burst of retries after a time without failures."""
        budget = RetryBudget()
        for _ in range(1000):
            budget.deposit('job')
        assert [budget.withdraw('job') for _ in range(2)] == [True, False]


class TestCrashTable:
    """Which requests are refused, and for how long."""

    def test_two_servers(self) -> None:
        """Guards against a third crash, and a block after only one."""
        table = CrashTable()
        assert not table.record_crash(b'd', 'job-1', 1)
        assert not table.record_crash(b'd', 'job-1', 2)
        assert table.record_crash(b'd', 'job-2', 3)

    @pytest.mark.parametrize(('completed', 'later'), [(True, 2), (False, 100)])
    def test_unrelated_crashes(self, completed: bool, later: float) -> None:
        """Guards against blocking a request because servers restarted."""
        table = CrashTable()
        table.record_crash(b'd', 'job-1', 1)
        if completed:
            assert table.clear(b'd')
        assert not table.record_crash(b'd', 'job-2', later)

    def test_popular_request(self) -> None:
        """Guards against blocking a look-up that usually completes."""
        table = CrashTable()
        table.record_completion(b'd', 1)
        table.record_crash(b'd', 'job-1', 2)
        assert not table.record_crash(b'd', 'job-2', 2)
        later = 3 + RECENT_COMPLETION_S + CRASH_WINDOW_S
        table.record_crash(b'd', 'job-1', later)
        assert table.record_crash(b'd', 'job-2', later)

    def test_expiry_and_bound(self) -> None:
        """Guards against blocks that never end and unbounded memory."""
        table = CrashTable()
        table.block(b'd', 61)
        assert table.is_blocked(b'd', 60)
        assert not table.is_blocked(b'd', 61)
        for number in range(2 * MAX_ENTRIES):
            table.block(str(number).encode(), 61)
            table.record_crash(str(number).encode(), 'job-1', 1)
        assert len(table.blocked) == len(table.suspects) == MAX_ENTRIES


class TestCrashingRequest:
    """A crashing request crashes at most two servers of the fleet."""

    def crash(self, kernel: object, name: str, now: float) -> list:
        """Sends a booking whose server crashes; returns all effects."""
        effects = kernel.handle(arrival(name, method='POST'), now)
        for dial in of_type(effects, Dial):
            done = AttemptFinished(dial.attempt_id, BROKEN)
            effects = [*effects, *kernel.handle(done, now)]
        return effects

    def test_blocked_everywhere(self) -> None:
        """Guards against a resend that crashes a third server."""
        here, there = make_kernel(), make_kernel()
        for kernel in (here, there):
            hosts = HostsListed((host_entry(1), host_entry(2)))
            kernel.handle(hosts, 1)
        dialled = 0
        for number, kernel in enumerate((here, there, here, there)):
            other = there if kernel is here else here
            effects = self.crash(kernel, f'c{number}', 1)
            dialled += len(of_type(effects, Dial))
            for sent in of_type(effects, Send):
                message = PeerMessageReceived('host-2', 1, sent.message)
                other.handle(message, 1)
        assert dialled == 2
        refusal = single_effect(effects, Refuse).refusal
        assert refusal.reason is Reason.CRASHING_REQUEST
        assert refusal.outcome is Outcome.NOT_RUN

    def test_completed_at_another_host(self) -> None:
        """Guards against blocking a request that another host completed."""
        here, there = make_kernel(), make_kernel()
        hosts = HostsListed((host_entry(1), host_entry(2)))
        for kernel in (here, there):
            kernel.handle(hosts, 1)
        complete_calls(here, 25)
        first = single_effect(here.handle(arrival('c1'), 2), Dial)
        broken = AttemptFinished(first.attempt_id, BROKEN)
        effects = here.handle(broken, 2)
        second = single_effect(here.handle(TimerDue(), 2.1), Dial)
        done = AttemptFinished(second.attempt_id, AttemptResult.COMPLETE, 200)
        for sent in of_type([*effects, *here.handle(done, 2.2)], Send):
            there.handle(PeerMessageReceived('host-1', 1, sent.message), 2.2)
        self.crash(there, 'c2', 2.3)
        assert single_effect(there.handle(arrival('c3'), 2.4), Dial)

    def test_block_of_a_popular_request(self) -> None:
        """Guards against a block by a host that has not seen it complete."""
        here, there = make_kernel(), make_kernel()
        hosts = HostsListed((host_entry(1), host_entry(2)))
        for kernel in (here, there):
            kernel.handle(hosts, 1)
        first = single_effect(
            there.handle(arrival('c1', method='POST'), 1), Dial
        )
        done = AttemptFinished(first.attempt_id, AttemptResult.COMPLETE, 200)
        there.handle(done, 1.1)
        for number in range(2):
            effects = self.crash(here, f'd{number}', 2)
        block = next(
            sent.message
            for sent in of_type(effects, Send)
            if isinstance(sent.message, CrashBlocked)
        )
        effects = there.handle(PeerMessageReceived('host-1', 1, block), 2)
        cleared = next(
            sent.message
            for sent in of_type(effects, Send)
            if isinstance(sent.message, CrashCleared)
        )
        here.handle(PeerMessageReceived('host-2', 1, cleared), 2.1)
        assert single_effect(
            here.handle(arrival('c3', method='POST'), 2.2), Dial
        )

    def test_block_ends(self) -> None:
        """Guards against a peer that blocks a request for too long."""
        kernel = make_kernel()
        block = CrashBlocked(b'd', 1e9)
        kernel.handle(PeerMessageReceived('host-2', 1, block), 1)
        assert single_effect(kernel.handle(arrival('c1'), 60), Refuse)
        assert single_effect(kernel.handle(arrival('c2'), 62), Dial)


class TestHedging:
    """Second attempts of idempotent calls without an answer."""

    def test_second_attempt(self) -> None:
        """Guards against waiting at a stalled server until the deadline."""
        kernel = make_kernel()
        now = complete_calls(kernel, 30)
        first = single_effect(kernel.handle(arrival('silent'), now), Dial)
        second = single_effect(kernel.handle(TimerDue(), now + 0.1), Dial)
        assert second.server != first.server
        assert second.new_connection
        done = AttemptFinished(second.attempt_id, AttemptResult.COMPLETE, 200)
        effects = kernel.handle(done, now + 0.11)
        assert single_effect(effects, Answer).attempt_id == second.attempt_id

    def test_booking(self) -> None:
        """Guards against running a booking twice."""
        kernel = make_kernel()
        now = complete_calls(kernel, 30)
        kernel.handle(arrival('silent', method='POST'), now)
        assert not of_type(kernel.handle(TimerDue(), now + 0.1), Dial)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('arrive', 'finish', 'finish', 'wait', 'gone')),
        st.integers(0, 7),
        st.sampled_from(
            (
                (AttemptResult.COMPLETE, 200),
                (AttemptResult.COMPLETE, 500),
                (AttemptResult.NOT_SENT, None),
                (AttemptResult.SHED, None),
                (BROKEN, None),
                (BROKEN, 200),
                (AttemptResult.TIMED_OUT, None),
                (AttemptResult.MISMATCHED, None),
            )
        ),
        st.floats(0.001, 0.4),
    ),
    min_size=20,
    max_size=80,
)


class Schedule:
    """Runs a schedule of events and records dials and outcomes."""

    def __init__(self, steps: list) -> None:
        self.kernel = make_kernel()
        self.now = complete_calls(self.kernel, 25)
        self.dials: list[Dial] = []
        self.open: list[Dial] = []
        self.results: dict[int, AttemptResult] = {}
        self.ends: dict[str, list] = defaultdict(list)
        self.repeatable: dict[str, bool] = {}
        for kind, number, result, wait in steps:
            self.step(kind, number, result, wait)
        self.handle(TimerDue(), 10)

    def step(self, kind: str, number: int, result: tuple, wait: float) -> None:
        """Performs one step."""
        if kind == 'arrive':
            self.arrive(number)
        elif kind == 'finish' and self.open:
            dial = self.open.pop(number % len(self.open))
            self.results[dial.attempt_id] = result[0]
            self.handle(AttemptFinished(dial.attempt_id, *result))
        elif kind == 'gone' and self.repeatable:
            name = f'request-{number % len(self.repeatable)}'
            self.handle(CallerDisconnected(name))
        else:
            self.handle(TimerDue(), wait)

    def arrive(self, number: int) -> None:
        """Sends a request; one with an even number may be repeated."""
        repeatable = number % 2 == 0
        method = 'GET' if repeatable else 'POST'
        count = len(self.repeatable)
        self.repeatable[f'request-{count}'] = repeatable
        self.handle(arrival(count, method=method, body_digest=bytes([number])))

    def handle(self, event: object, wait: float = 0) -> None:
        """Advances the time and fires timers, then handles an event."""
        end = self.now + wait
        deadline = self.kernel.next_deadline()
        while deadline is not None and deadline <= end:
            self.now = max(self.now, deadline)
            self.record(self.kernel.handle(TimerDue(), self.now))
            deadline = self.kernel.next_deadline()
        self.now = end
        self.record(self.kernel.handle(event, self.now))

    def record(self, effects: list) -> None:
        """Records dials and outcomes."""
        for effect in effects:
            if isinstance(effect, Dial):
                self.dials.append(effect)
                self.open.append(effect)
            elif isinstance(effect, Answer | Refuse):
                self.ends[effect.request_id].append(effect)

    def may_have_run(self, request_id: str) -> list[Dial]:
        """Returns the attempts of a request that may have run."""
        return [
            dial
            for dial in self.dials
            if dial.request_id == request_id
            and self.results.get(dial.attempt_id) not in NOT_STARTED
        ]


class TestProperties:
    """Invariants that hold for every schedule of events."""

    @given(STEPS)
    @settings(max_examples=200)
    def test_runs_once(self, steps: list) -> None:
        """Guards against repeating a call that may have run."""
        schedule = Schedule(steps)
        for name, repeatable in schedule.repeatable.items():
            started = schedule.may_have_run(name)
            assert repeatable or len(started) <= 1
            if not repeatable and started:
                last = [
                    dial for dial in schedule.dials if dial.request_id == name
                ][-1]
                assert last is started[0]

    @given(STEPS)
    @settings(max_examples=200)
    def test_budget(self, steps: list) -> None:
        """Guards against more retries than the budget."""
        schedule = Schedule(steps)
        second = sum(
            max(0, len(schedule.may_have_run(name)) - 1)
            for name in schedule.repeatable
        )
        calls = len({dial.request_id for dial in schedule.dials})
        # One attempt was saved before the schedule began.
        assert second <= MAX_RETRY_SHARE * calls + 1

    @given(STEPS)
    @settings(max_examples=200)
    def test_true_outcome(self, steps: list) -> None:
        """Guards against lost, double or untrue ends of requests."""
        schedule = Schedule(steps)
        for name in schedule.repeatable:
            assert len(schedule.ends[name]) == 1
            end = schedule.ends[name][0]
            if isinstance(end, Answer):
                result = schedule.results[end.attempt_id]
                assert result is AttemptResult.COMPLETE
            elif end.refusal.outcome is Outcome.NOT_RUN:
                assert not schedule.may_have_run(name)
