"""Property tests of the limiter `escrow`."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.rate_faults import ACTIONS, FaultRun, Step
from standins.rate_load import TokenWanted
from teaselcove import messages
from teaselcove.entities import Organisation
from teaselcove.events import DrainRequested, PeerMessageReceived
from teaselcove.grants import AskTokens, GrantTokens, SettleGrants, Settlement
from teaselcove.rates import RateState
from teaselcove.slices import SliceOwner

ORGANISATIONS = (
    Organisation('whole', rate=4, burst=2),
    Organisation('split', rate=8, burst=24),
)
STEPS = st.builds(
    Step,
    after=st.floats(0.05, 1.2),
    action=st.sampled_from(ACTIONS),
    host=st.integers(0, 5),
    value=st.floats(0, 1),
)


def owners(run: FaultRun) -> tuple[SliceOwner, ...]:
    """Returns the owners according to the most current host."""
    kernel = max(
        (host.kernel for host in run.fleet.hosts.values()),
        key=lambda kernel: kernel.service('ownership').next_offset,
    )
    ownership = kernel.service('ownership')
    return ownership.owners(ownership.slice_of('split'))


class TestRateHolds:
    """No schedule of faults admits more than the rate and burst allow."""

    @settings(max_examples=200)
    @given(
        seed=st.integers(0, 1000),
        schedule=st.lists(STEPS, min_size=4, max_size=10),
        rest=st.sampled_from((0, 1, 14)),
    )
    def test_every_window(
        self, seed: int, schedule: list[Step], rest: float
    ) -> None:
        """Guards against faults that create tokens."""
        FaultRun(ORGANISATIONS, seed, hosts=5).run(schedule, rest)


class TestHandover:
    """A new owner spends only after the previous owner's tokens expired."""

    def test_paused_owner_was_replaced(self) -> None:
        """Guards against an owner that spends after its successor started."""
        run = FaultRun(ORGANISATIONS, seed=1, hosts=5)
        run.load = 0.001
        run.run_load(10)
        slice_owners = owners(run)
        paused = sorted(run.fleet.hosts).index(slice_owners[0].host)
        run.run([Step(0, 'drop_paused', paused, 0.75)], 15.9)
        assert owners(run)[0].host != slice_owners[0].host
        run.fleet.log.available = False
        run.run_load(0.2)
        for name in (owners(run)[0].host, slice_owners[0].host):
            for number in range(30):
                wanted = TokenWanted(f'{name}-{number}', 'split')
                run.fleet.handle(name, wanted)
                run.check()
        run.run_load(1)

    def test_successor_waits(self) -> None:
        """Guards against spending before the last owner's grants expire."""
        run = FaultRun(ORGANISATIONS, seed=1, hosts=5)
        leaving = owners(run)[0].host
        run.fleet.handle(leaving, DrainRequested())
        run.run_load(1)
        successor = owners(run)[0].host
        assert successor != leaving
        host = run.fleet.hosts[successor]
        grants = host.kernel.service('grants')
        before = grants.bucket('split', run.fleet.now)
        held = len(before.places) if before else 0
        run.run_load(0.8)
        after = grants.bucket('split', run.fleet.now)
        assert len(after.places) == held + 1


class TestReachability:
    """Verdicts when some or all owners are unreachable."""

    def test_no_owner_reachable(self) -> None:
        """Guards against a rate refusal although no owner answered."""
        run = FaultRun(ORGANISATIONS, seed=1, hosts=7)
        names = {slice_owner.host for slice_owner in owners(run)}
        asker = sorted(run.fleet.hosts.keys() - names)[0]
        for name in names:
            run.fleet.cut(name, asker)
        run.fleet.handle(asker, TokenWanted('cut', 'split'))
        run.fleet.run_until(run.fleet.now + 1)
        assert run.checker.verdicts == {RateState.UNAVAILABLE: 1}

    def test_next_owner(self) -> None:
        """Guards against a refusal although another owner has tokens."""
        run = FaultRun(ORGANISATIONS, seed=1, hosts=7)
        run.fleet.run_until(10)
        names = sorted(slice_owner.host for slice_owner in owners(run))
        asker = sorted(run.fleet.hosts.keys() - set(names))[0]
        for name in names[:2]:
            run.fleet.cut(asker, name)
        run.fleet.handle(asker, TokenWanted('cut', 'split'))
        run.fleet.run_until(11)
        assert run.checker.verdicts == {RateState.GRANTED: 1}


MESSAGES = (
    AskTokens('village', 1, 2, 3, 1, 2.5, True, (Settlement('v', 1, 0.5),)),
    GrantTokens(1, 2, 3, 0.5, -1),
    SettleGrants(1, 2, (Settlement('village', 3, 0),)),
)


class TestMessages:
    """Encoding and validation of messages between hosts."""

    @pytest.mark.parametrize('body', MESSAGES)
    def test_round_trip(self, body: object) -> None:
        """Guards against a message that its receiver cannot decode."""
        assert messages.decode(messages.encode(body)) == body

    @pytest.mark.parametrize('wrong', ['owner', 'asker'])
    def test_other_incarnation(self, wrong: str) -> None:
        """Guards against grants to or from an earlier process."""
        run = FaultRun(ORGANISATIONS, seed=1, hosts=7)
        names = {slice_owner.host for slice_owner in owners(run)}
        asker = sorted(run.fleet.hosts.keys() - names)[0]
        host = run.fleet.hosts[asker]
        kernel = host.kernel
        sent = kernel.handle(TokenWanted('first', 'split'), run.fleet.now)
        ask = sent[0].message
        grant = GrantTokens(
            ask.owner_incarnation + (wrong == 'owner'),
            ask.incarnation + (wrong == 'asker'),
            ask.ask_id,
            1,
            0,
        )
        received = PeerMessageReceived(
            sent[0].host, grant.owner_incarnation, grant
        )
        kernel.handle(received, run.fleet.now)
        assert not run.checker.verdicts
