"""Property test of configuration convergence under random faults."""

import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from teaselcove import snapshots
from teaselcove.fold import State
from teaselcove.records import ApplyRecord
from tests.operators import Operators

HOSTS = 5
SCHEDULES = 200

# The latest log read and heartbeats may be 5 s old, a newer version may be
# known for 5 s, and each relay hop takes a heartbeat.
WITHDRAWAL_LIMIT_S = 8

# Seconds for a host to read a newly accepted change.
READ_S = 1.2
CONVERGENCE_S = 20

HOST_NAMES = [f'host-{number}' for number in range(1, HOSTS + 1)]
STEPS = 11
WAITS_S = (0.1, 0.7, 3, 8, 15)


class Schedule:
    """Runs random steps against a fleet.

    Attributes:
        executed_steps: Time and name of each step so far, for debugging.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.operators = Operators(HOSTS, seed)
        self.fleet = self.operators.fleet
        self.executed_steps: list[str] = []
        self.operators.submit(self.plan())
        self.fleet.run_until(2)

    def random_host(self) -> str:
        """Returns the name of a random host."""
        return self.random.choice(HOST_NAMES)

    def plan(self) -> ApplyRecord:
        """Returns a change based on the newest version."""
        rate = self.random.randint(1, 50)
        return self.operators.plan(self.operators.reference, rate)

    def run(self, step: Callable[[Any], None]) -> None:
        """Runs a step, advances time and checks the invariants."""
        self.executed_steps.append(f'{self.fleet.now:.1f} {step.__name__}')
        step(self)
        versions = {
            name: (host.kernel, host.kernel.service('configuration').version)
            for name, host in self.fleet.hosts.items()
        }
        wait = self.random.choice(WAITS_S)
        self.fleet.run_until(self.fleet.now + wait)
        self.operators.check(WITHDRAWAL_LIMIT_S)
        for name, (kernel, version) in versions.items():
            assert kernel.service('configuration').version >= version, name

    def apply(self) -> None:
        """Applies a change that withdraws the current key."""
        self.operators.submit(self.plan())
        self.fleet.run_until(self.fleet.now + READ_S)

    def apply_concurrently(self) -> None:
        """Applies two changes with the same base."""
        records = [self.plan(), self.plan()]
        for record in records:
            self.operators.submit(record)
        self.fleet.run_until(self.fleet.now + READ_S)

    def append_twice(self) -> None:
        """Appends a change twice, as after a lost reply."""
        record = self.plan()
        self.operators.submit(record)
        self.operators.submit(record)
        self.fleet.run_until(self.fleet.now + READ_S)

    def apply_stale(self) -> None:
        """Applies a change based on the empty configuration."""
        self.operators.submit(self.operators.plan(State(), 1))

    def append_damaged(self) -> None:
        """Appends random bytes instead of a record."""
        self.operators.append(self.random.randbytes(4))

    def cut_link(self) -> None:
        """Cuts a link in one direction."""
        self.fleet.cut(self.random_host(), self.random_host())

    def block_outgoing(self) -> None:
        """Cuts all links from a host, but none to it."""
        name = self.random_host()
        for other in HOST_NAMES:
            self.fleet.cut(name, other)

    def isolate(self) -> None:
        """Cuts a host from all others in both directions."""
        name = self.random_host()
        for other in HOST_NAMES:
            self.fleet.cut(name, other)
            self.fleet.cut(other, name)

    def lose_messages(self) -> None:
        """Loses a share of the messages and duplicates others."""
        self.fleet.loss_share = self.random.choice((0.2, 0.5))
        self.fleet.duplicate_share = self.fleet.loss_share

    def pause_host(self) -> None:
        """Pauses the process of a host."""
        self.fleet.pause(self.random_host(), self.random.randint(1, 12))

    def replace_host(self) -> None:
        """Crashes a host and restarts it without state."""
        name = self.random_host()
        self.fleet.crash(name)
        self.operators.add_host(int(name.removeprefix('host-')))

    def cut_log(self) -> None:
        """Cuts a host from the log if most hosts can still reach it."""
        if len(self.fleet.log.cuts) < HOSTS // 2:
            self.fleet.log.cuts.add(self.random_host())

    def stop_log(self) -> None:
        """Makes the log unavailable."""
        self.fleet.log.available = False

    def start_log(self) -> None:
        """Makes the log available again."""
        self.fleet.log.available = True

    def lose_replies(self) -> None:
        """Makes appends take effect without a reply."""
        self.fleet.log.lose_replies = True

    def truncate_log(self) -> None:
        """Drops the records that a snapshot covers."""
        if self.fleet.log.available:
            self.operators.truncate()

    def heal(self) -> None:
        """Ends all faults."""
        self.fleet.cuts.clear()
        self.fleet.log.cuts.clear()
        self.fleet.loss_share = 0
        self.fleet.duplicate_share = 0
        self.fleet.log.available = True
        self.fleet.log.lose_replies = False

    def finish(self) -> None:
        """Ends all faults and checks that all hosts converge and serve."""
        self.heal()
        self.apply()
        self.fleet.run_until(self.fleet.now + CONVERGENCE_S)
        self.operators.check(WITHDRAWAL_LIMIT_S)
        for name in self.fleet.hosts:
            configuration = self.operators.configuration(name)
            assert configuration.version == self.operators.reference.version, (
                name
            )
            assert configuration.may_serve(self.fleet.now), name


# Weights of the steps. Changes are the most frequent; faults last until `heal`.
CHOICES: dict[Callable[[Schedule], None], int] = {
    Schedule.apply: 6,
    Schedule.apply_concurrently: 2,
    Schedule.append_twice: 1,
    Schedule.apply_stale: 1,
    Schedule.append_damaged: 1,
    Schedule.cut_link: 2,
    Schedule.block_outgoing: 1,
    Schedule.isolate: 2,
    Schedule.lose_messages: 1,
    Schedule.pause_host: 2,
    Schedule.replace_host: 2,
    Schedule.cut_log: 3,
    Schedule.stop_log: 1,
    Schedule.start_log: 2,
    Schedule.lose_replies: 1,
    Schedule.truncate_log: 3,
    Schedule.heal: 2,
}


class TestPromises:
    """Configuration invariants hold under any schedule of faults."""

    @given(st.integers(0, 2**32 - 1))
    @settings(max_examples=SCHEDULES, phases=[Phase.generate])
    def test_schedules(self, seed: int) -> None:
        """Guards against a part, reverted, diverged or stale version."""
        schedule = Schedule(seed)
        steps = schedule.random.choices(
            list(CHOICES), list(CHOICES.values()), k=STEPS
        )
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(snapshots, 'SNAPSHOT_RECORDS', 3)
            for step in steps:
                schedule.run(step)
            schedule.finish()
