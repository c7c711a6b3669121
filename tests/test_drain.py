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
from tests.test_requests import arrival, single_effect


def advance(kernel: Kernel, now: float, end: float) -> list:
    """Fires the timers of a kernel until the end; returns the effects."""
    effects = []
    while (kernel.next_deadline() or end) < end:
        now = max(now, kernel.next_deadline())
        effects += kernel.handle(TimerDue(), Instant(now))
    return effects


def draining_fleet(hosts: int) -> Fleet:
    """Returns a fleet whose first host was asked to drain at 8 s."""
    fleet = make_fleet(hosts)
    fleet.run_until(8)
    fleet.deliver('host-1', DrainRequested())
    return fleet


class TestDrain:
    """A host leaves without interrupting a request."""

    def test_request_in_flight(self) -> None:
        """Guards against an exit before the last answer."""
        kernel = make_kernel()
        dial = single_effect(kernel.handle(arrival(1), Instant(1)), Dial)
        kernel.handle(DrainRequested(), Instant(1))
        assert Exit() not in advance(kernel, 1, 1.9)
        done = AttemptFinished(dial.attempt_id, AttemptResult.COMPLETE, 200)
        assert single_effect(kernel.handle(done, Instant(1.9)), Answer)
        assert advance(kernel, 1.9, 3).count(Exit()) == 1

    def test_new_request(self) -> None:
        """Guards against requests that are accepted and then lost."""
        kernel = make_kernel()
        kernel.handle(DrainRequested(), Instant(1))
        assert single_effect(kernel.handle(arrival(1), Instant(2.9)), Dial)
        refusal = single_effect(
            kernel.handle(arrival(2), Instant(3.1)), Refuse
        ).refusal
        assert refusal.reason is Reason.DRAINING
        assert refusal.outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_limit(self, method: str) -> None:
        """Guards against reporting a cancelled call as not run."""
        kernel = make_kernel()
        requests = kernel.service('requests')
        dial = single_effect(
            kernel.handle(arrival(1, method=method), Instant(1)), Dial
        )
        state = requests.states['request-1']
        kernel.cancel(state.timer)
        state.timer = None
        kernel.handle(DrainRequested(), Instant(1))
        effects = advance(kernel, 1, 20.6)
        assert CancelAttempt(dial.attempt_id) in effects
        refusal = single_effect(effects, Refuse).refusal
        assert refusal.outcome is Outcome.UNKNOWN
        assert refusal.reason is Reason.DRAINING
        assert effects.index(Exit()) == len(effects) - 1

    def test_handover(self) -> None:
        """Guards against a host that exits before its successors are named.

        Its slices would have no owner for the lag of the platform's host list.
        """
        fleet = draining_fleet(6)
        fleet.run_until(11.5)
        assert 'host-1' not in fleet.hosts
        table = fleet.hosts['host-2'].kernel.service('ownership').table
        assert not table.by_host['host-1']

    def test_pause(self) -> None:
        """Guards against an exit before requests sent in a pause are read."""
        fleet = draining_fleet(1)
        fleet.run_until(8.5)
        fleet.pause('host-1', 14)
        fleet.run_until(9)
        fleet.deliver('host-1', arrival(1, key='wrong'))
        fleet.run_until(23)
        assert fleet.outcomes['request-1']
        fleet.run_until(24)
        assert 'host-1' not in fleet.hosts

    def test_log_down(self) -> None:
        """Guards against a shutdown that waits for the log."""
        fleet = draining_fleet(6)
        fleet.log.available = False
        fleet.run_until(11.2)
        assert 'host-1' not in fleet.hosts

    def test_placement(self) -> None:
        """Guards against placement that names a draining host for seconds."""
        fleet = draining_fleet(12)
        fleet.run_until(10)
        for host in fleet.hosts.values():
            membership = host.kernel.service('membership')
            usable = {
                entry.host for entry in membership.usable_hosts(fleet.now)
            }
            assert 'host-1' not in usable
