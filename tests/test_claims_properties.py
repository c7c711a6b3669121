"""Property tests: no schedule of faults runs a claimed call twice."""

from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from teaselcove import slices
from tests.claim_fleet import ClaimFleet, seeded_behaviours

HOSTS = 5
WARM_UP_S = 8
SCHEDULES = 200
SLICES = 4

hosts = st.integers(1, HOSTS)
keys = st.sampled_from('ab')
steps = st.one_of(
    st.tuples(st.just('submit'), hosts, keys),
    st.tuples(st.just('submit'), hosts, keys),
    st.tuples(st.just('race'), hosts, hosts),
    st.tuples(st.just('conflict'), hosts, keys),
    st.tuples(st.just('wait'), st.sampled_from((1, 5, 40, 400, 2500))),
    st.tuples(st.just('wait'), st.just(15000)),
    st.tuples(st.just('loss'), st.sampled_from((0, 20, 60))),
    st.tuples(st.just('repeat'), st.sampled_from((0, 50))),
    st.tuples(st.just('delay'), st.sampled_from((0, 20, 300))),
    st.tuples(st.just('cut'), hosts, hosts),
    st.tuples(st.just('heal')),
    st.tuples(st.just('pause'), hosts, st.sampled_from((300, 1500, 14000))),
    st.tuples(st.just('crash'), hosts),
    st.tuples(st.just('restart'), hosts),
    st.tuples(st.just('drain'), hosts),
    st.tuples(st.just('log'), st.booleans()),
)


class Schedule:
    """Executes the steps of a schedule."""

    def __init__(self, seed: int, claims: str) -> None:
        self.calls = ClaimFleet(HOSTS, seed, claims)
        self.fleet = self.calls.fleet
        self.fleet.run_until(WARM_UP_S)
        self.calls.behaviours = seeded_behaviours(seed, 40)

    def step(self, name: str, *arguments: object) -> None:
        """Executes a step and checks all calls."""
        getattr(self, name)(*arguments)
        self.fleet.run_until(self.fleet.now + 0.001)
        self.calls.check()
        self.calls.check_drains()

    def submit(self, host: int, key: str, digest: bytes = b'd') -> None:
        if f'host-{host}' in self.fleet.hosts:
            self.calls.submit(f'host-{host}', key, digest)

    def race(self, first: int, second: int) -> None:
        self.submit(first, 'a')
        self.submit(second, 'a')

    def conflict(self, host: int, key: str) -> None:
        self.submit(host, key, b'other')

    def wait(self, milliseconds: int) -> None:
        self.fleet.run_until(self.fleet.now + milliseconds / 1000)

    def loss(self, percent: int) -> None:
        self.fleet.loss_share = percent / 100

    def repeat(self, percent: int) -> None:
        self.fleet.duplicate_share = percent / 100

    def delay(self, milliseconds: int) -> None:
        self.fleet.extra_delay = milliseconds / 1000

    def cut(self, sender: int, recipient: int) -> None:
        self.fleet.cut(f'host-{sender}', f'host-{recipient}')

    def heal(self) -> None:
        self.fleet.cuts.clear()
        self.fleet.loss_share = 0

    def pause(self, host: int, milliseconds: int) -> None:
        if f'host-{host}' in self.fleet.hosts:
            self.fleet.pause(f'host-{host}', milliseconds / 1000)

    def crash(self, host: int) -> None:
        self.calls.end_process(f'host-{host}')

    def restart(self, host: int) -> None:
        self.calls.start_host(host)

    def drain(self, host: int) -> None:
        if f'host-{host}' in self.fleet.hosts:
            self.calls.drain(f'host-{host}')

    def log(self, available: bool) -> None:
        self.fleet.log.available = available

    def finish(self) -> None:
        """Ends the faults and checks that every request has an outcome."""
        self.heal()
        self.log(available=True)
        self.step('wait', 16000)
        for request_id, submission in self.calls.submitted.items():
            host = self.fleet.hosts.get(submission.host)
            if host and host.entry.incarnation == submission.incarnation:
                assert self.calls.outcome(request_id) is not None


def run_schedule(seed: int, schedule: list, claims: str) -> None:
    """Executes a whole schedule.

    The test uses one organisation, so a few slices are enough and faster.
    """
    with mock.patch.object(slices, 'SLICE_COUNT', SLICES):
        run = Schedule(seed, claims)
        for name, *arguments in schedule:
            run.step(name, *arguments)
        run.finish()


class TestClaims:
    """Promises P5, P6, P4 and P8 hold under all kinds of faults."""

    @settings(max_examples=SCHEDULES)
    @given(
        seed=st.integers(0, 1 << 16),
        schedule=st.lists(steps, min_size=4, max_size=16),
    )
    def test_schedules(self, seed: int, schedule: list) -> None:
        """Guards against a second run and against false refusals."""
        run_schedule(seed, schedule, 'majority')
