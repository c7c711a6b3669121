"""Tests of what a host believes of backend servers, and which it chooses."""

import pytest

from teaselcove.events import AttemptResult
from teaselcove.ids import Instant
from teaselcove.ingress.findings import Finding, Outcome
from teaselcove.ingress.idle_limits import IdleLimits
from teaselcove.ingress.server_record import RETURN_SUCCESSES, Condition
from tests.ingress_support import (
    COMPLETE,
    add_servers,
    entry,
    make_kernel,
    pick,
    record_attempt,
)


class TestDiscovery:
    """Servers in the store."""

    def test_leaving_server(self) -> None:
        """Guards against work for a server that leaves."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        assert discovery.update(entry('s0', leaving=True), 9, Instant(1))
        usable = discovery.usable('job', Instant(1))
        assert [known.server.id for known in usable] == ['s1']

    def test_older_record_does_not_win(self) -> None:
        """Guards against pages that are no snapshot."""
        kernel = make_kernel()
        discovery = kernel.service('discovery')
        discovery.update(entry('s0', leaving=True), 9, Instant(1))
        assert not discovery.update(entry('s0'), 4, Instant(2))
        assert not discovery.usable('job', Instant(2))

    def test_new_lifetime(self) -> None:
        """Guards against beliefs about an earlier process of an id."""
        kernel = make_kernel()
        add_servers(kernel, 1)
        health = kernel.service('health')
        for _ in range(3):
            record_attempt(kernel, 's0', 1)
        kernel.service('discovery').update(
            entry('s0', started_ms=2), 9, Instant(2)
        )
        assert health.condition('s0') is Condition.WELL

    def test_lapsed_during_outage(self) -> None:
        """Guards against dropping servers that could not write."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        discovery.store_recovered(Instant(10))
        discovery.remove('s0', 9, Instant(10.1))
        assert len(discovery.usable('job', Instant(10.2))) == 2
        assert len(discovery.usable('job', Instant(12.1))) == 1
        discovery.update(entry('s0'), 12, Instant(11))
        assert len(discovery.usable('job', Instant(12.1))) == 2

    def test_gone(self) -> None:
        """Guards against a server that is used after its entry is gone."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        discovery = kernel.service('discovery')
        discovery.remove('s0', 9, Instant(1))
        discovery.remove_unlisted({'s0'}, end=20)
        assert not discovery.usable('job', Instant(1))


class TestHealth:
    """What work shows of the servers."""

    def test_out_after_two_failures(self) -> None:
        """Guards against slow detection of a server that fails."""
        kernel = make_kernel()
        add_servers(kernel, 1)
        health = kernel.service('health')
        conditions = []
        for now in (1, 2):
            record_attempt(kernel, 's0', now)
            conditions.append(health.condition('s0'))
        assert conditions == [Condition.SUSPECT, Condition.OUT]

    def test_returns_after_successes(self) -> None:
        """Guards against readmission by one lucky success, or by none."""
        kernel = make_kernel()
        health = kernel.service('health')
        record_attempt(kernel, 's0', 1)
        for now in range(2, 1 + RETURN_SUCCESSES):
            record_attempt(kernel, 's0', now, status=200)
        assert health.condition('s0') is Condition.SUSPECT
        record_attempt(kernel, 's0', 9, status=200)
        assert health.condition('s0') is Condition.WELL

    def test_earlier_attempts_do_not_readmit(self) -> None:
        """Guards against work that began before a fault and ends in it."""
        kernel = make_kernel()
        health = kernel.service('health')
        running = [
            health.started('s0', 'job', Instant(0.5))
            for _ in range(RETURN_SUCCESSES)
        ]
        record_attempt(kernel, 's0', 1)
        for attempt in running:
            health.finished(attempt, COMPLETE, 200, Instant(1.1))
        assert health.condition('s0') is Condition.SUSPECT

    def test_earlier_attempts_elsewhere_do_not_readmit(self) -> None:
        """Guards against the same by reports of other hosts."""
        kernel = make_kernel()
        other = make_kernel('host-2')
        for now in (0.9, 1, 1.1):
            record_attempt(other, 's0', now, status=200)
        record_attempt(kernel, 's0', 1.3)
        health = kernel.service('health')
        for evidence in other.service('health').take_evidence(Instant(1.4)):
            health.record_finding(
                evidence.finding(Instant(1.41)), Instant(1.41)
            )
        assert health.condition('s0') is Condition.SUSPECT

    def test_earlier_attempts_do_not_clear_a_path(self) -> None:
        """Guards against the same for a server that resets connections."""
        kernel = make_kernel()
        health = kernel.service('health')
        running = health.started('s0', 'job', Instant(0.5))
        record_attempt(kernel, 's0', 1, AttemptResult.BROKEN, None)
        health.finished(running, COMPLETE, 200, Instant(1.1))
        assert health.condition('s0') is Condition.SUSPECT

    def test_silence_is_found_early(self) -> None:
        """Guards against more bookings for a server that hangs."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        health = kernel.service('health')
        health.started('s0', 'job', Instant(1))
        health.check_overdue(Instant(1.5))
        assert health.condition('s0') is Condition.WELL
        health.check_overdue(Instant(2.6))
        assert health.condition('s0') is Condition.SUSPECT
        assert pick(kernel, False, 2.6).known.server.id == 's1'

    def test_address_of_another_server(self) -> None:
        """Guards against trying a server again that has left its address."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        record_attempt(kernel, 's0', 1, AttemptResult.MISDIRECTED, None)
        chosen = {pick(kernel, False, 3).known.server.id for _ in range(9)}
        assert chosen == {'s1'}

    def test_beliefs_for_a_new_host(self) -> None:
        """Guards against a host that starts and meets all failing servers."""
        old = make_kernel()
        new = make_kernel('host-2')
        for _ in range(3):
            record_attempt(old, 's0', 1)
        record_attempt(old, 's1', 1, status=200)
        record_attempt(old, 's2', 1, AttemptResult.TIMED_OUT, None)
        for evidence in old.service('health').current_evidence(Instant(1.5)):
            finding = evidence.finding(Instant(1.5))
            new.service('health').record_finding(finding, Instant(1.5))
        health = new.service('health')
        assert health.condition('s0') is Condition.OUT
        assert health.condition('s2') is Condition.WELL
        silence = old.service('health').silence('s1', Instant(2))
        assert health.silence('s1', Instant(2)) == pytest.approx(silence)

    def test_resets_need_answers_in_a_row(self) -> None:
        """Guards against a server that resets every other connection."""
        kernel = make_kernel()
        health = kernel.service('health')
        conditions = []
        for now in (1, 2, 3):
            record_attempt(kernel, 's0', now, AttemptResult.BROKEN, None)
            record_attempt(kernel, 's0', now + 0.5, status=200)
            conditions.append(health.condition('s0'))
        assert conditions == [Condition.SUSPECT, Condition.OUT, Condition.OUT]
        for now in (4, 4.2):
            record_attempt(kernel, 's0', now, status=200)
        assert health.condition('s0') is Condition.WELL

    def test_successes_elsewhere_do_not_clear_a_path(self) -> None:
        """Guards against trust in a path that other hosts do not use."""
        kernel = make_kernel()
        health = kernel.service('health')
        for now in (1, 1.2):
            record_attempt(kernel, 's0', now, AttemptResult.TIMED_OUT, None)
        for now in (2, 3, 4):
            elsewhere = Finding('s0', Outcome.SUCCESS, Instant(now))
            health.record_finding(elsewhere, Instant(now + 0.1))
        assert health.condition('s0') is Condition.OUT
        assert not health.may_try('s0', relaxed=True, now=Instant(1.5))

    def test_breaks_elsewhere(self) -> None:
        """Guards against six hosts that each lose two bookings to learn."""
        kernel = make_kernel()
        other = make_kernel('host-2')
        add_servers(kernel, 2)
        for now in (1, 1.1):
            record_attempt(other, 's0', now, AttemptResult.BROKEN, None)
        health = kernel.service('health')
        for evidence in other.service('health').take_evidence(Instant(1.2)):
            health.record_finding(evidence.finding(Instant(1.2)), Instant(1.2))
        assert health.condition('s0') is Condition.SUSPECT
        assert pick(kernel, False, 1.3).known.server.id == 's1'
        record_attempt(kernel, 's0', 1.4, AttemptResult.BROKEN, None)
        assert health.condition('s0') is Condition.OUT

    def test_one_long_request_is_one_failure(self) -> None:
        """Guards against a server that is out for one slow request."""
        kernel = make_kernel()
        health = kernel.service('health')
        running = health.started('s0', 'job', Instant(1))
        health.check_overdue(Instant(3))
        health.finished(running, AttemptResult.TIMED_OUT, None, Instant(3.1))
        assert health.condition('s0') is Condition.SUSPECT

    def test_path_failure_is_local(self) -> None:
        """Guards against a host with a bad path that misleads others."""
        kernel = make_kernel()
        health = kernel.service('health')
        record_attempt(kernel, 's0', 1, AttemptResult.NOT_SENT, None)
        assert health.condition('s0') is Condition.SUSPECT
        assert health.is_closed('s0', Instant(1.1))
        assert not health.take_evidence(Instant(2))


class TestBalance:
    """Choice of a server."""

    def test_recovering_server_relieves_full_ones(self) -> None:
        """Guards against refusals while a server has begun to work again."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        for now in (1, 1.2):
            record_attempt(kernel, 's0', now)
        for now in (1.5, 1.7):
            record_attempt(kernel, 's0', now, status=200)
        chosen = pick(kernel, False, 1.8)
        assert chosen.known.server.id == 's1'
        for _ in range(4):
            kernel.service('balance').started('s1')
        assert pick(kernel, False, 1.8).known.server.id == 's0'

    def test_unsafe_avoids_failing_servers(self) -> None:
        """Guards against a booking at a server that has just failed."""
        kernel = make_kernel()
        add_servers(kernel, 6)
        for name in ('s0', 's1', 's2', 's3', 's4'):
            record_attempt(kernel, name, 1)
        chosen = {pick(kernel, False, 1.1).known.server.id for _ in range(9)}
        assert chosen == {'s5'}

    def test_waits_rather_than_use_a_server_that_is_out(self) -> None:
        """Guards against spilling bookings over to failing servers."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        for _ in range(2):
            record_attempt(kernel, 's0', 1)
        for _ in range(4):
            kernel.service('balance').started('s1')
        assert pick(kernel, False, 1.1) is None

    def test_waits_rather_than_use_a_server_that_resets(self) -> None:
        """Guards against bookings for a server that resets connections.

        It always has room, since it never works.
        """
        kernel = make_kernel()
        add_servers(kernel, 2)
        for now in (1, 1.1):
            record_attempt(kernel, 's0', now, AttemptResult.BROKEN, None)
        for _ in range(4):
            kernel.service('balance').started('s1')
        assert pick(kernel, False, 1.2) is None

    def test_all_out(self) -> None:
        """Guards against refusing all while servers might work."""
        kernel = make_kernel()
        for name in add_servers(kernel, 2):
            for _ in range(2):
                record_attempt(kernel, name, 1)
        assert pick(kernel, False, 1.1) is not None

    def test_slots_are_kept(self) -> None:
        """Guards against more attempts than a server has room for."""
        kernel = make_kernel()
        add_servers(kernel, 3)
        balance = kernel.service('balance')
        found = pick(kernel, False, 1)
        while found is not None:
            balance.started(found.known.server.id)
            found = pick(kernel, False, 1)
        assert set(balance.in_flight.values()) == {4}

    def test_load_of_other_hosts_counts(self) -> None:
        """Guards against hosts that pile work on one server."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        kernel.service('balance').remote_in_flight = {'s0': 3}
        assert pick(kernel, False, 1).known.server.id == 's1'


class TestIdleLimits:
    """Use of kept connections."""

    def test_booking_needs_a_fresh_connection(self) -> None:
        """Guards against bookings on connections that may be gone."""
        limits = IdleLimits()
        announced = limits.limit(5, True, Instant(0))
        assert limits.limit(5, False, Instant(0)) < announced < 5

    def test_learns_from_losses(self) -> None:
        """Guards against servers that forget connections early."""
        limits = IdleLimits()
        before = limits.limit(5, False, Instant(0))
        limits.record_loss(0.4, Instant(0))
        limits.record_loss(2, Instant(1))
        learned = limits.limit(5, False, Instant(5))
        later = limits.limit(5, False, Instant(60))
        assert learned < before / 5
        assert later == pytest.approx(before)
