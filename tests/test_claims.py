"""Tests of claims: messages, storage and faults."""

from itertools import product, repeat

import msgspec
import pytest

from teaselcove import claim_messages as msg
from teaselcove import messages, slices
from teaselcove.claim_rounds import MAX_DIAL_AGE_S
from teaselcove.claim_store import (
    CLAIM_LIFETIME_S,
    ENTRY_BYTES,
    ClaimStore,
    StoredClaim,
)
from teaselcove.errors import Outcome, Reason
from teaselcove.events import PeerMessageReceived, StoredAnswer
from teaselcove.ids import Instant
from tests import claim_fleet
from tests.claim_fleet import ClaimFleet, claim_counts, owners_of

ANSWER = StoredAnswer(200, (('name', 'text'),), b'body')
KEY = msg.ClaimKey('village', b'k' * 16)
CLAIM = msg.ClaimId('host-1', 1 << 62, 7)
OTHER = msg.ClaimId('host-2', 1 << 61, 9)
WARM_UP_S = 8
MESSAGE_LIMIT = 1000
IS_LAST = True


@pytest.fixture(autouse=True)
def few_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reduces the number of slices: the calls use one organisation only."""
    monkeypatch.setattr(slices, 'SLICE_COUNT', 4)


def warm_fleet(hosts: int = 6, seed: int = 1) -> ClaimFleet:
    """Returns a fleet whose slices have owners."""
    calls = ClaimFleet(hosts, seed)
    calls.fleet.run_until(WARM_UP_S)
    return calls


def run_for(calls: ClaimFleet, seconds: float) -> None:
    """Runs the fleet for some seconds and checks all calls."""
    calls.fleet.run_until(calls.fleet.now + seconds)
    calls.check()


def other_hosts(calls: ClaimFleet) -> list[str]:
    """Returns the hosts that do not own the slice of the calls."""
    observer = min(calls.fleet.hosts)
    return sorted(
        calls.fleet.hosts.keys() - set(owners_of(calls.fleet, observer))
    )


def cut_both_ways(calls: ClaimFleet, first: str, others: list[str]) -> None:
    """Drops the messages between a host and some others."""
    for other in others:
        calls.fleet.cut(first, other)
        calls.fleet.cut(other, first)


def make_claim(number: int, now: float, **fields: object) -> StoredClaim:
    """Returns a stored claim."""
    claim_id = msg.ClaimId('host-1', 1, number)
    return StoredClaim(1, (claim_id,), b'd', Instant(now), **fields)


class TestMessages:
    """Encoding and validation of messages of claimants and owners."""

    @pytest.mark.parametrize(
        'body',
        [
            msg.ClaimRequest(1, 3, 5, CLAIM, KEY, b'd'),
            *(
                msg.ClaimVote(CLAIM, 3, 5, (0, 2), verdict, ANSWER)
                for verdict in msg.Verdict
            ),
            msg.ClaimEnd(1, CLAIM, KEY, b'd', Outcome.NOT_RUN),
            msg.ClaimEnd(1, CLAIM, KEY, b'd', Outcome.COMPLETE, ANSWER),
            msg.ClaimEndAck(CLAIM),
            msg.ClaimQuery(1, CLAIM, KEY, b'd'),
            msg.ClaimsWanted(1, 3, 5),
            msg.ClaimsWanted(1, 3, 5, KEY),
            msg.ClaimsPage(
                1,
                3,
                (1,),
                None,
                (msg.ClaimCopy(KEY, (CLAIM,), b'd', None, None, 1.5),),
                IS_LAST,
            ),
        ],
    )
    def test_codec(self, body: object) -> None:
        """Guards against fields that are lost in encoding."""
        assert messages.decode(messages.encode(body)) == body

    @pytest.mark.parametrize(
        ('changes', 'claims'),
        [
            ({}, 1),
            ({'owner': 1}, 0),
            ({'claim_id': OTHER}, 0),
            ({'term': 2}, 0),
        ],
    )
    def test_request(self, changes: dict, claims: int) -> None:
        """Guards against votes for a wrong process, sender or term."""
        calls = warm_fleet(1)
        kernel = calls.kernel('host-1')
        incarnation = kernel.service('membership').incarnation
        request = msg.ClaimRequest(1, 3, incarnation, CLAIM, KEY, b'd')
        request = msgspec.structs.replace(request, **changes)
        event = PeerMessageReceived('host-1', incarnation, request)
        kernel.handle(event, calls.fleet.now)
        assert claim_counts(calls.fleet)['host-1'] == claims


class TestStore:
    """The bounded claim store of an owner."""

    def test_full(self) -> None:
        """Guards against evicting a claim when the store is full."""
        store = ClaimStore(3 * ENTRY_BYTES)
        keys = [msg.ClaimKey('o', bytes([number])) for number in range(4)]
        taken = [store.put(key, make_claim(0, 0)) for key in keys]
        assert taken == [True, True, True, False]
        assert store.get(keys[3], Instant(CLAIM_LIFETIME_S)) is None
        assert store.size == 0
        assert store.put(keys[3], make_claim(0, CLAIM_LIFETIME_S))

    def test_answers_are_dropped_first(self) -> None:
        """Guards against losing a claim together with its answer."""
        store = ClaimStore(3 * ENTRY_BYTES)
        answer = StoredAnswer(200, (), bytes(ENTRY_BYTES))
        done = {'outcome': Outcome.COMPLETE, 'answer': answer}
        keys = [msg.ClaimKey('o', bytes([number])) for number in range(3)]
        assert store.put(keys[0], make_claim(0, 0, **done))
        assert store.put(keys[1], make_claim(1, 1))
        assert store.get(keys[0], Instant(1)).answer == answer
        assert store.put(keys[2], make_claim(2, 2))
        assert store.get(keys[0], Instant(2)).answer is None
        assert store.get(keys[0], Instant(2)).outcome is Outcome.COMPLETE

    def test_pages(self) -> None:
        """Guards against claims that are skipped between two pages."""
        store = ClaimStore()
        keys = [msg.ClaimKey('o', bytes([number])) for number in range(5)]
        for key in reversed(keys):
            store.put(key, make_claim(0, 0))
        first, is_last = store.page(1, None, 2 * ENTRY_BYTES, Instant(1))
        assert not is_last
        rest, is_last = store.page(1, first[-1].key, 1 << 20, Instant(1))
        assert is_last
        assert [copy.key for copy in (*first, *rest)] == keys


class TestResend:
    """Answers to callers that resend a request."""

    def test_recall(self) -> None:
        """Guards against a second run and against a resend without answer."""
        calls = warm_fleet()
        calls.submit('host-1')
        run_for(calls, 1)
        for host in list(calls.fleet.hosts):
            resend = calls.submit(host)
            run_for(calls, 0.1)
            assert calls.outcome(resend) is Outcome.COMPLETE
        assert calls.runs == {'k': 1}

    def test_join(self) -> None:
        """Guards against refusing a resend that can wait for the answer."""
        calls = warm_fleet()
        calls.behaviours = [claim_fleet.SLOW]
        requests = [calls.submit('host-1'), calls.submit('host-2')]
        run_for(calls, 1)
        outcomes = {calls.outcome(request) for request in requests}
        assert outcomes == {Outcome.COMPLETE}

    def test_still_running(self) -> None:
        """Guards against answering a resend with not-run during the run."""
        calls = warm_fleet()
        calls.behaviours = [claim_fleet.SILENT]
        calls.submit('host-1')
        run_for(calls, 0.05)
        resend = calls.submit('host-2')
        run_for(calls, 0.94)
        assert calls.outcome(resend) is Outcome.UNKNOWN
        assert calls.reason(resend) is Reason.CLAIM_RUNNING
        assert calls.refusal(resend).retry_after == 1

    def test_other_request(self) -> None:
        """Guards against an answer to another request under the same key."""
        calls = warm_fleet()
        calls.submit('host-1')
        run_for(calls, 1)
        other = calls.submit('host-2', digest=b'other')
        run_for(calls, 1)
        assert calls.reason(other) is Reason.CLAIM_CONFLICT
        assert calls.outcome(other) is Outcome.NOT_RUN

    def test_large_answer(self) -> None:
        """Guards against a second run because the answer was not stored."""
        calls = warm_fleet()
        key = 'k' * (17 * 1024)
        calls.submit('host-1', key)
        run_for(calls, 1)
        resend = calls.submit('host-2', key)
        run_for(calls, 1)
        assert calls.reason(resend) is Reason.CLAIM_UNKNOWN
        assert calls.outcome(resend) is Outcome.UNKNOWN

    def test_after_not_started(self) -> None:
        """Guards against a key blocked by a call that did not run."""
        calls = warm_fleet()
        calls.behaviours = list(repeat(claim_fleet.SHED, 3))
        first = calls.submit('host-1')
        run_for(calls, 1)
        assert calls.outcome(first) is not Outcome.UNKNOWN
        resend = calls.submit('host-2')
        run_for(calls, 1)
        assert calls.outcome(resend) is Outcome.COMPLETE

    @pytest.mark.parametrize('seed', range(5))
    def test_race(self, seed: int) -> None:
        """Guards against racing hosts that block each other."""
        calls = warm_fleet(6, seed)
        requests = [calls.submit(host) for host in list(calls.fleet.hosts)]
        run_for(calls, 1.5)
        outcomes = {calls.outcome(request) for request in requests}
        assert outcomes == {Outcome.COMPLETE}
        assert calls.runs == {'k': 1}


class TestOwnerFaults:
    """Owners that are unreachable, replaced or restarted."""

    @pytest.mark.parametrize('reachable', [0, 1, 2])
    def test_unreachable(self, reachable: int) -> None:
        """Guards against a run without a majority."""
        calls = warm_fleet()
        claimant = other_hosts(calls)[0]
        owners = owners_of(calls.fleet, claimant)
        cut_both_ways(calls, claimant, owners[reachable:])
        request = calls.submit(claimant)
        run_for(calls, 2)
        if reachable == 2:
            assert calls.outcome(request) is Outcome.COMPLETE
        else:
            assert calls.outcome(request) is Outcome.NOT_RUN
            assert calls.reason(request) is Reason.CLAIM_UNAVAILABLE

    @pytest.mark.parametrize(
        ('index', 'end'), list(product(range(3), ('crash', 'restart', 'drain')))
    )
    def test_replaced(self, index: int, end: str) -> None:
        """Guards against a new owner that votes before it has the claims."""
        calls = warm_fleet(7)
        calls.submit(other_hosts(calls)[0])
        run_for(calls, 1)
        owner = owners_of(calls.fleet, other_hosts(calls)[0])[index]
        if end == 'drain':
            calls.drain(owner)
        elif end == 'crash':
            calls.end_process(owner)
        else:
            calls.start_host(int(owner[-1]))
        run_for(calls, 16)
        observer = other_hosts(calls)[0]
        owners = owners_of(calls.fleet, observer)
        assert len(owners) == 3
        assert all(claim_counts(calls.fleet)[host] == 1 for host in owners)
        resend = calls.submit(observer)
        later = calls.submit(observer, 'later')
        run_for(calls, 2)
        assert calls.outcome(resend) is Outcome.COMPLETE
        assert calls.outcome(later) is Outcome.COMPLETE

    def test_two_restart(self) -> None:
        """Guards against votes after a majority of owners lost its claims.

        Both restarted owners lost their claims, so neither may vote for
        606 s. The third still has the outcomes of earlier calls.
        """
        calls = warm_fleet(7)
        claimant = other_hosts(calls)[0]
        calls.submit(claimant)
        run_for(calls, 1)
        for owner in owners_of(calls.fleet, claimant)[:2]:
            calls.start_host(int(owner[-1]))
        run_for(calls, 5)
        resend = calls.submit(claimant)
        later = calls.submit(claimant, 'later')
        run_for(calls, 3)
        assert calls.outcome(resend) is Outcome.COMPLETE
        assert calls.reason(later) is Reason.CLAIM_UNAVAILABLE
        calls.fleet.run_until(CLAIM_LIFETIME_S + 60)
        later = calls.submit(claimant, 'later')
        run_for(calls, 3)
        assert calls.outcome(later) is Outcome.COMPLETE

    def test_wait_for_claims_costs_few_messages(self) -> None:
        """Guards against asking an owner again as soon as it has answered.

        A host that owned two places of a slice, one of which could not vote
        yet, was asked again after each reply, without any delay.
        """
        calls = warm_fleet(5)
        for host, pause in (('host-5', 2.5), ('host-1', 0.001), ('host-3', 5)):
            calls.drain(host)
            run_for(calls, pause)
        before = calls.fleet.sent.total()
        run_for(calls, 10)
        assert calls.fleet.sent.total() - before < MESSAGE_LIMIT


class TestClaimantFaults:
    """Claimants that crash or whose messages are lost."""

    def test_crash(self) -> None:
        """Guards against a second run after the first host has crashed."""
        calls = warm_fleet()
        first, second = other_hosts(calls)[:2]
        calls.behaviours = [claim_fleet.SILENT]
        calls.submit(first)
        run_for(calls, 0.05)
        calls.end_process(first)
        run_for(calls, 5)
        resend = calls.submit(second)
        run_for(calls, 2)
        assert calls.reason(resend) is Reason.CLAIM_UNKNOWN
        assert calls.outcome(resend) is Outcome.UNKNOWN

    def test_lost_release(self) -> None:
        """Guards against a lost release that blocks a key for 600 s."""
        calls = warm_fleet()
        first, second = other_hosts(calls)[:2]
        owners = owners_of(calls.fleet, first)
        calls.behaviours = list(repeat(claim_fleet.SHED, 9))
        calls.submit(first)
        calls.fleet.run_until(WARM_UP_S + 0.01)
        for owner in owners:
            calls.fleet.cut(first, owner)
        run_for(calls, 3)
        assert any(claim_counts(calls.fleet)[owner] for owner in owners)
        calls.fleet.cuts.clear()
        resend = calls.submit(second)
        run_for(calls, 2)
        assert calls.outcome(resend) is Outcome.COMPLETE

    def test_lost_answer(self) -> None:
        """Guards against an answer that no resend can recall."""
        calls = warm_fleet()
        first, second = other_hosts(calls)[:2]
        owners = owners_of(calls.fleet, first)
        calls.submit(first)
        calls.fleet.run_until(WARM_UP_S + 0.01)
        for owner in owners:
            calls.fleet.cut(first, owner)
        run_for(calls, 3)
        calls.fleet.cuts.clear()
        resends = [calls.submit(second) for _ in range(2)]
        run_for(calls, 2)
        outcomes = {calls.outcome(resend) for resend in resends}
        assert outcomes == {Outcome.COMPLETE}
        assert calls.runs == {'k': 1}

    def test_old_claim_is_not_dialled(self) -> None:
        """Guards against a dial after the claim may have expired."""
        calls = warm_fleet(1)
        kernel = calls.kernel('host-1')
        requests = kernel.service('requests')
        claims = kernel.service('claims')
        calls.behaviours = [claim_fleet.SILENT]
        request = calls.submit('host-1')
        run_for(calls, 0.05)
        granted = requests.states[request]
        now = calls.fleet.now
        assert claims.may_dial(request, now)
        late = Instant(now + MAX_DIAL_AGE_S)
        assert not claims.may_dial(request, late)
        reason = requests.rejection_reason(granted, late)
        assert reason is Reason.CLAIM_UNAVAILABLE

    def test_log_down(self) -> None:
        """Guards against a log outage that stops claims."""
        calls = warm_fleet()
        calls.fleet.log.available = False
        run_for(calls, 10)
        request = calls.submit('host-1')
        run_for(calls, 1)
        assert calls.outcome(request) is Outcome.COMPLETE
