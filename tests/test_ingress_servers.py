"""Tests of the health and the choice of backend servers."""

import pytest

from teaselcove.events import AttemptResult
from teaselcove.ids import Instant
from teaselcove.ingress.findings import Finding, Outcome
from teaselcove.ingress.idle_limits import IdleLimits
from teaselcove.ingress.server_record import READMIT_SUCCESSES, Condition
from tests.ingress_support import (
    COMPLETE,
    add_servers,
    make_kernel,
    pick,
    record_attempt,
)


class TestHealth:
    """Passive health from the results of attempts."""

    def test_ejected_after_two_failures(self) -> None:
        """Guards against slow detection of a failing server."""
        kernel = make_kernel()
        add_servers(kernel, 1)
        health = kernel.service('health')
        conditions = []
        for now in (1, 2):
            record_attempt(kernel, 's0', now)
            conditions.append(health.condition('s0'))
        assert conditions == [Condition.SUSPECT, Condition.EJECTED]

    def test_readmitted_after_successes(self) -> None:
        """Guards against readmission after one success, or never."""
        kernel = make_kernel()
        health = kernel.service('health')
        record_attempt(kernel, 's0', 1)
        for now in range(2, 1 + READMIT_SUCCESSES):
            record_attempt(kernel, 's0', now, status=200)
        assert health.condition('s0') is Condition.SUSPECT
        record_attempt(kernel, 's0', 9, status=200)
        assert health.condition('s0') is Condition.HEALTHY

    def test_earlier_attempts_do_not_readmit(self) -> None:
        """Guards against successes of attempts that began before a fault."""
        kernel = make_kernel()
        health = kernel.service('health')
        running = [
            health.started('s0', 'job', Instant(0.5))
            for _ in range(READMIT_SUCCESSES)
        ]
        record_attempt(kernel, 's0', 1)
        for attempt in running:
            health.finished(attempt, COMPLETE, 200, Instant(1.1))
        assert health.condition('s0') is Condition.SUSPECT

    def test_earlier_attempts_elsewhere_do_not_readmit(self) -> None:
        """Guards against the same in evidence of other hosts."""
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
        """Guards against the same at a server that resets connections."""
        kernel = make_kernel()
        health = kernel.service('health')
        running = health.started('s0', 'job', Instant(0.5))
        record_attempt(kernel, 's0', 1, AttemptResult.BROKEN, None)
        health.finished(running, COMPLETE, 200, Instant(1.1))
        assert health.condition('s0') is Condition.SUSPECT

    def test_overdue_attempt_is_path_failure(self) -> None:
        """Guards against late detection of a server that hangs."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        health = kernel.service('health')
        health.started('s0', 'job', Instant(1))
        health.check_overdue(Instant(1.5))
        assert health.condition('s0') is Condition.HEALTHY
        health.check_overdue(Instant(2.6))
        assert health.condition('s0') is Condition.SUSPECT
        assert pick(kernel, False, 2.6).known.server.id == 's1'

    def test_address_of_another_server(self) -> None:
        """Guards against retrying a server whose address another one took."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        record_attempt(kernel, 's0', 1, AttemptResult.MISDIRECTED, None)
        chosen = {pick(kernel, False, 3).known.server.id for _ in range(9)}
        assert chosen == {'s1'}

    def test_evidence_for_new_host(self) -> None:
        """Guards against a new host that has to detect failing servers anew."""
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
        assert health.condition('s0') is Condition.EJECTED
        assert health.condition('s2') is Condition.HEALTHY
        time_since_success = old.service('health').time_since_success(
            's1', Instant(2)
        )
        assert health.time_since_success('s1', Instant(2)) == pytest.approx(
            time_since_success
        )

    def test_resets_need_answers_in_a_row(self) -> None:
        """Guards against early readmission after alternating resets."""
        kernel = make_kernel()
        health = kernel.service('health')
        conditions = []
        for now in (1, 2, 3):
            record_attempt(kernel, 's0', now, AttemptResult.BROKEN, None)
            record_attempt(kernel, 's0', now + 0.5, status=200)
            conditions.append(health.condition('s0'))
        assert conditions == [
            Condition.SUSPECT,
            Condition.EJECTED,
            Condition.EJECTED,
        ]
        for now in (4, 4.2):
            record_attempt(kernel, 's0', now, status=200)
        assert health.condition('s0') is Condition.HEALTHY

    def test_successes_elsewhere_do_not_clear_a_path(self) -> None:
        """Guards against clearing this host's path by successes elsewhere."""
        kernel = make_kernel()
        health = kernel.service('health')
        for now in (1, 1.2):
            record_attempt(kernel, 's0', now, AttemptResult.TIMED_OUT, None)
        for now in (2, 3, 4):
            elsewhere = Finding('s0', Outcome.SUCCESS, Instant(now))
            health.record_finding(elsewhere, Instant(now + 0.1))
        assert health.condition('s0') is Condition.EJECTED
        assert not health.is_due_for_trial(
            's0', has_spare_slots=True, now=Instant(1.5)
        )

    def test_broken_connections_elsewhere(self) -> None:
        """Guards against six hosts that each lose two requests to detect it."""
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
        assert health.condition('s0') is Condition.EJECTED

    def test_one_long_request_is_one_failure(self) -> None:
        """Guards against ejecting a server for one slow request."""
        kernel = make_kernel()
        health = kernel.service('health')
        running = health.started('s0', 'job', Instant(1))
        health.check_overdue(Instant(3))
        health.finished(running, AttemptResult.TIMED_OUT, None, Instant(3.1))
        assert health.condition('s0') is Condition.SUSPECT

    def test_path_failure_is_local(self) -> None:
        """Guards against sending path failures of this host to others."""
        kernel = make_kernel()
        health = kernel.service('health')
        record_attempt(kernel, 's0', 1, AttemptResult.NOT_SENT, None)
        assert health.condition('s0') is Condition.SUSPECT
        assert health.is_unavailable('s0', Instant(1.1))
        assert not health.take_evidence(Instant(2))


class TestBalance:
    """Choice of a server."""

    def test_recovering_server_relieves_full_ones(self) -> None:
        """Guards against refusals while an ejected server is recovering."""
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

    def test_non_idempotent_avoids_failing_servers(self) -> None:
        """Guards against non-idempotent requests at suspect servers."""
        kernel = make_kernel()
        add_servers(kernel, 6)
        for name in ('s0', 's1', 's2', 's3', 's4'):
            record_attempt(kernel, name, 1)
        chosen = {pick(kernel, False, 1.1).known.server.id for _ in range(9)}
        assert chosen == {'s5'}

    def test_waits_rather_than_use_an_ejected_server(self) -> None:
        """Guards against spilling requests over to failing servers."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        for _ in range(2):
            record_attempt(kernel, 's0', 1)
        for _ in range(4):
            kernel.service('balance').started('s1')
        assert pick(kernel, False, 1.1) is None

    def test_waits_rather_than_use_a_server_that_resets(self) -> None:
        """Guards against requests to a server that resets connections.

        Such a server always has free slots.
        """
        kernel = make_kernel()
        add_servers(kernel, 2)
        for now in (1, 1.1):
            record_attempt(kernel, 's0', now, AttemptResult.BROKEN, None)
        for _ in range(4):
            kernel.service('balance').started('s1')
        assert pick(kernel, False, 1.2) is None

    def test_all_ejected(self) -> None:
        """Guards against refusing all requests when every server is ejected."""
        kernel = make_kernel()
        for name in add_servers(kernel, 2):
            for _ in range(2):
                record_attempt(kernel, name, 1)
        assert pick(kernel, False, 1.1) is not None

    def test_slot_limit(self) -> None:
        """Guards against more attempts than a server has capacity for."""
        kernel = make_kernel()
        add_servers(kernel, 3)
        balance = kernel.service('balance')
        found = pick(kernel, False, 1)
        while found is not None:
            balance.started(found.known.server.id)
            found = pick(kernel, False, 1)
        assert set(balance.in_flight.values()) == {4}

    def test_load_of_other_hosts_counts(self) -> None:
        """Guards against hosts that overload one server together."""
        kernel = make_kernel()
        add_servers(kernel, 2)
        kernel.service('balance').remote_in_flight = {'s0': 3}
        assert pick(kernel, False, 1).known.server.id == 's1'


class TestIdleLimits:
    """Reuse of keep-alive connections."""

    def test_non_idempotent_limit_is_shorter(self) -> None:
        """Guards against non-idempotent requests on stale connections."""
        limits = IdleLimits()
        announced = limits.limit(5, True, Instant(0))
        assert limits.limit(5, False, Instant(0)) < announced < 5

    def test_losses_reduce_limit(self) -> None:
        """Guards against servers that drop idle connections early."""
        limits = IdleLimits()
        before = limits.limit(5, False, Instant(0))
        limits.record_loss(0.4, Instant(0))
        limits.record_loss(2, Instant(1))
        reduced = limits.limit(5, False, Instant(5))
        later = limits.limit(5, False, Instant(60))
        assert reduced < before / 5
        assert later == pytest.approx(before)
