"""Tests of acceptance, refusals and the steps after an attempt."""

import pytest

from teaselcove.errors import Outcome, Reason
from teaselcove.events import AttemptResult
from teaselcove.ids import Instant
from teaselcove.ingress.calls import (
    Call,
    Next,
    final_refusal,
    next_step,
)
from tests.ingress_support import (
    BOUNDS,
    COMPLETE,
    KEY,
    accepted,
    adopt,
    arrival,
    configuration,
    make_kernel,
    rule,
)


class TestCatalog:
    """Configuration versions, routes and keys."""

    def test_version_never_goes_back(self) -> None:
        """Guards against adopting an older record after a newer one."""
        kernel = make_kernel()
        assert adopt(kernel, configuration(version=9))
        assert not adopt(kernel, configuration(version=9))
        assert not adopt(kernel, configuration(version=10 - 2))
        assert kernel.service('catalog').version == 9

    def test_longest_prefix(self) -> None:
        """Guards against routing a request by a shorter matching prefix."""
        rules = [
            rule('short', 'safe', '/a/'),
            rule('long', 'safe', '/a/b/'),
            rule('all', 'safe', '/'),
        ]
        listeners = [{'host': 'jobs.example', 'rules': rules}]
        kernel = make_kernel()
        adopt(kernel, configuration(listeners=listeners))
        catalog = kernel.service('catalog')
        found = [
            catalog.route_for('JOBS.example:80', path).id
            for path in ('/a/b/c', '/a/bc', '/a', '/z/a/b/')
        ]
        assert found == ['long', 'short', 'all', 'all']
        assert catalog.route_for('other.example', '/a/') is None

    def test_withdrawn_key(self) -> None:
        """Guards against accepting a key that a newer version removed."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        adopt(kernel, configuration(version=2, tenants=[]))
        refusal = kernel.service('acceptance').accept(arrival(), Instant(0))
        assert refusal.reason is Reason.BAD_KEY

    def test_key_needs_recent_confirmation(self) -> None:
        """Guards against an isolated host that accepts withdrawn keys."""
        kernel = make_kernel()
        adopt(kernel, configuration(), now=10)
        catalog = kernel.service('catalog')
        assert catalog.key_rejection(KEY, Instant(14)) is None
        late = Instant(10 + BOUNDS.revoke)
        assert catalog.key_rejection(KEY, late) is Reason.ISOLATED

    def test_split_is_exact(self) -> None:
        """Guards against services that get less than their weight."""
        split = [
            {'service': 'job', 'weight': 90},
            {'service': 'other', 'weight': 10},
            {'service': 'none', 'weight': 0},
        ]
        changed = rule('r', 'safe', '/read/', trafficSplit=split)
        changed['action'].pop('service')
        kernel = make_kernel()
        listeners = [{'host': 'jobs.example', 'rules': [changed]}]
        adopt(kernel, configuration(listeners=listeners))
        catalog = kernel.service('catalog')
        route = catalog.route_for('jobs.example', '/read/')
        chosen = [catalog.choose_service(route) for _ in range(200)]
        assert 18 <= chosen.count('other') <= 22
        assert 'none' not in chosen


class TestAcceptance:
    """Checks of route, key and rate limit."""

    def test_before_the_first_configuration(self) -> None:
        """Guards against a 404 or 401 without a configuration to check."""
        refusal = (
            make_kernel().service('acceptance').accept(arrival(), Instant(0))
        )
        assert refusal.reason is Reason.NO_CONFIGURATION
        assert refusal.status == 503

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        [('/none/', KEY, 404), ('/read/', 'x', 401), ('/read/', None, 401)],
    )
    def test_refusals(self, path: str, key: str | None, status: int) -> None:
        """Guards against a wrong status of a refused request."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        acceptance = kernel.service('acceptance')
        refusal = acceptance.accept(arrival(path, key), Instant(0))
        assert (refusal.outcome, refusal.status) == (Outcome.NOT_RUN, status)

    def test_open_route_needs_no_key(self) -> None:
        """Guards against refusals on open routes during a store outage."""
        listeners = [
            {
                'host': 'jobs.example',
                'rules': [{**rule('r', 'safe', '/read/'), 'anonymous': True}],
            }
        ]
        kernel = make_kernel()
        adopt(kernel, configuration(listeners=listeners))
        acceptance = kernel.service('acceptance')
        call = acceptance.accept(arrival(key=None), Instant(1000))
        assert isinstance(call, Call)
        assert call.organisation is None

    def test_crashing_request(self) -> None:
        """Guards against a request that keeps crashing servers."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        call = accepted(kernel, '/read/1')
        crashes = kernel.service('acceptance').crashes
        for server in ('s0', 's1', 's2'):
            blocked = crashes.record_crash(call.digest, server, Instant(0))
        assert blocked
        crashes.block(call.digest, Instant(60))
        acceptance = kernel.service('acceptance')
        refusal = acceptance.accept(arrival(), Instant(1))
        assert refusal.reason is Reason.CRASHING_REQUEST
        assert isinstance(acceptance.accept(arrival('/read/2'), 1), Call)


class TestNextStep:
    """The step that follows an attempt."""

    @pytest.mark.parametrize(
        ('result', 'status', 'step'),
        [
            (COMPLETE, 200, Next.ANSWER),
            (COMPLETE, 404, Next.ANSWER),
            (COMPLETE, 500, Next.ANSWER),
            (AttemptResult.BROKEN, None, Next.REFUSE),
            (AttemptResult.TIMED_OUT, None, Next.REFUSE),
            (AttemptResult.MISMATCHED, 200, Next.REFUSE),
            (AttemptResult.NOT_SENT, None, Next.RETRY),
            (AttemptResult.SHED, 503, Next.RETRY),
            (AttemptResult.MISDIRECTED, 421, Next.RETRY),
        ],
    )
    def test_non_idempotent(
        self, result: AttemptResult, status: int | None, step: Next
    ) -> None:
        """Guards against running a non-idempotent request twice."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        call = accepted(kernel, '/write/1')
        assert next_step(call, result, status, True, Instant(0.1)) is step

    def test_idempotent(self) -> None:
        """Guards against attempts at more servers than the route allows."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        call = accepted(kernel, '/read/1')
        now = Instant(0.1)
        call.sent = ['s0']
        assert next_step(call, COMPLETE, 500, True, now) is Next.RETRY
        assert next_step(call, COMPLETE, 500, False, now) is Next.ANSWER
        call.sent = ['s0', 's1']
        assert next_step(call, COMPLETE, 500, True, now) is Next.ANSWER

    def test_refusal_outcome(self) -> None:
        """Guards against "not run" after an attempt that may have run."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        call = accepted(kernel, '/write/1')
        unsent = final_refusal(call, Instant(0.1))
        assert (unsent.outcome, unsent.status) == (Outcome.NOT_RUN, 503)
        call.sent = ['s0']
        sent = final_refusal(call, Instant(0.1))
        late = final_refusal(call, Instant(2))
        assert (sent.status, late.status) == (502, 504)
        assert {sent.outcome, late.outcome} == {Outcome.UNKNOWN}
