"""Property tests of the floor with several hosts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselcove import ejection
from tests.backends import Backends, Fault

HOSTS = 4
SERVERS = 6
FLOOR = 4
RATE = 30

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('fault', 'fault', 'heal', 'path', 'cut', 'pause', 'loss')
        ),
        st.integers(0, SERVERS - 1),
        st.integers(0, HOSTS - 1),
        st.sampled_from(list(Fault)),
    ),
    min_size=3,
    max_size=6,
)


def apply_step(backends: Backends, step: tuple[str, int, int, Fault]) -> None:
    """Applies one step of a fault schedule."""
    kind, server, host, fault = step
    name = f's{server}'
    match kind:
        case 'fault':
            backends.faults[name] = fault
        case 'heal':
            backends.faults.pop(name, None)
        case 'path':
            backends.path_faults.add((f'h{host}', name))
        case 'cut':
            backends.fleet.cut(f'h{host}', f'h{(host + 1) % HOSTS}')
        case 'pause':
            backends.fleet.pause(f'h{host}', 1.5)
        case _:
            backends.fleet.loss_share = 0.3
            backends.fleet.duplicate_share = 0.2
            backends.fleet.extra_delay = 0.5


def least_in_use(steps: list[tuple[str, int, int, Fault]]) -> int:
    """Returns the smallest number of servers in use on any host."""
    backends = Backends(HOSTS, SERVERS, FLOOR, seed=len(steps))
    backends.run(2, RATE)
    least = SERVERS
    for step in steps:
        apply_step(backends, step)
        end = backends.fleet.now + 0.8
        while backends.fleet.now < end:
            backends.run(backends.fleet.now + 0.2, RATE)
            for host in backends.fleet.hosts:
                shares = backends.weights(host).values()
                least = min(least, sum(share > 0 for share in shares))
    return least


class TestFloor:
    """Each host keeps at least the floor in use."""

    @settings(max_examples=200)
    @given(STEPS)
    def test_floor_is_kept(
        self, steps: list[tuple[str, int, int, Fault]]
    ) -> None:
        """Guards against ejections that together go below the floor."""
        assert least_in_use(steps) >= FLOOR

    def test_fails_without_limit(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a floor test that passes without the limit."""
        monkeypatch.setattr(
            ejection, 'limit_ejections', lambda unhealthy, *_: unhealthy
        )
        steps = [('fault', server, 0, Fault.REFUSES) for server in range(3)]
        assert least_in_use([*steps, *steps]) < FLOOR
