"""Tests of the graceful shutdown."""

import pytest

from standins.fleet import Fleet
from teaselcove.effects import Answer, CancelAttempt, Dial, Exit, Refuse
from teaselcove.errors import Outcome, Reason
from teaselcove.events import (
    AttemptFinished,
    AttemptResult,
    DrainRequested,
    TimerDue,
)
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel
from tests.support import make_kernel
from tests.test_fleet import make_fleet
from tests.test_requests import arrival, only


def advance(kernel: Kernel, now: float, end: float) -> list:
    """Lets time pass on a kernel; returns the effects."""
    effects = []
    while (kernel.next_deadline() or end) < end:
        now = max(now, kernel.next_deadline())
        effects += kernel.handle(TimerDue(), Instant(now))
    return effects


def draining_fleet(hosts: int) -> Fleet:
    """Returns a fleet whose first host was asked to leave at 8 s."""
    fleet = make_fleet(hosts)
    fleet.run_until(8)
    fleet.deliver('host-1', DrainRequested())
    return fleet


class TestDrain:
    """A host leaves without interrupting a request."""

    def test_request_in_flight(self) -> None:
        """Guards against an exit before the last answer."""
        kernel = make_kernel()
        dial = only(kernel.handle(arrival(1), Instant(1)), Dial)
        kernel.handle(DrainRequested(), Instant(1))
        assert Exit() not in advance(kernel, 1, 1.9)
        done = AttemptFinished(dial.attempt_id, AttemptResult.COMPLETE, 200)
        assert only(kernel.handle(done, Instant(1.9)), Answer)
        assert advance(kernel, 1.9, 3).count(Exit()) == 1

    def test_new_request(self) -> None:
        """Guards against work that is accepted and then lost."""
        kernel = make_kernel()
        kernel.handle(DrainRequested(), Instant(1))
        assert only(kernel.handle(arrival(1), Instant(2.9)), Dial)
        refusal = only(kernel.handle(arrival(2), Instant(3.1)), Refuse).refusal
        assert refusal.reason is Reason.DRAINING
        assert refusal.outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_limit(self, method: str) -> None:
        """Guards against a claim that a call cut off had not run."""
        kernel = make_kernel()
        requests = kernel.service('requests')
        dial = only(kernel.handle(arrival(1, method=method), Instant(1)), Dial)
        state = requests.states['request-1']
        kernel.cancel(state.timer)
        state.timer = None
        kernel.handle(DrainRequested(), Instant(1))
        effects = advance(kernel, 1, 20.6)
        assert CancelAttempt(dial.attempt_id) in effects
        refusal = only(effects, Refuse).refusal
        assert refusal.outcome is Outcome.UNKNOWN
        assert refusal.reason is Reason.DRAINING
        assert effects.index(Exit()) == len(effects) - 1

    def test_handover(self) -> None:
        """Guards against a host that leaves before its successors are named.

        Their places would stay without an owner for the lag of the list.
        """
        fleet = draining_fleet(6)
        fleet.run_until(11.5)
        assert 'host-1' not in fleet.hosts
        table = fleet.hosts['host-2'].kernel.service('ownership').table
        assert not table.by_host['host-1']

    def test_log_down(self) -> None:
        """Guards against a shutdown that waits for the log."""
        fleet = draining_fleet(6)
        fleet.log.available = False
        fleet.run_until(11.2)
        assert 'host-1' not in fleet.hosts

    def test_placement(self) -> None:
        """Guards against answers that name a draining host for seconds."""
        fleet = draining_fleet(12)
        fleet.run_until(10)
        for host in fleet.hosts.values():
            membership = host.kernel.service('membership')
            usable = {
                entry.host for entry in membership.usable_hosts(fleet.now)
            }
            assert 'host-1' not in usable
