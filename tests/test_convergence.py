"""Property test: the configuration under schedules of faults."""

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

# Reads of the log and heartbeats may be 5 s old, a later version may be known
# for 5 s, and each hop of the relay takes a heartbeat.
WITHDRAWAL_LIMIT_S = 8

# Time for a host to read a change that has just been accepted.
READ_S = 1.2
CONVERGENCE_S = 20

HOST_NAMES = [f'host-{number}' for number in range(1, HOSTS + 1)]
STEPS = 11
WAITS_S = (0.1, 0.7, 3, 8, 15)


class Schedule:
    """Runs random steps against a fleet.

    Attributes:
        done: The steps so far, shown when a check fails.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.operators = Operators(HOSTS, seed)
        self.fleet = self.operators.fleet
        self.done: list[str] = []
        self.operators.submit(self.plan())
        self.fleet.run_until(2)

    def host(self) -> str:
        """Returns the name of a random host."""
        return self.random.choice(HOST_NAMES)

    def plan(self) -> ApplyRecord:
        """Returns a change against the newest version."""
        rate = self.random.randint(1, 50)
        return self.operators.plan(self.operators.reference, rate)

    def run(self, step: Callable[[Any], None]) -> None:
        """Runs a step, lets time pass and checks the promises."""
        self.done.append(f'{self.fleet.now:.1f} {step.__name__}')
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
        """Applies a change that withdraws the key in force."""
        self.operators.submit(self.plan())
        self.fleet.run_until(self.fleet.now + READ_S)

    def race(self) -> None:
        """Applies two changes on the same base."""
        records = [self.plan(), self.plan()]
        for record in records:
            self.operators.submit(record)
        self.fleet.run_until(self.fleet.now + READ_S)

    def repeat(self) -> None:
        """Appends a change twice, as after a lost reply."""
        record = self.plan()
        self.operators.submit(record)
        self.operators.submit(record)
        self.fleet.run_until(self.fleet.now + READ_S)

    def stale(self) -> None:
        """Applies a change that was planned before all others."""
        self.operators.submit(self.operators.plan(State(), 1))

    def damage(self) -> None:
        """Appends bytes that are not a record."""
        self.operators.append(self.random.randbytes(4))

    def cut(self) -> None:
        """Cuts a link one way."""
        self.fleet.cut(self.host(), self.host())

    def mute(self) -> None:
        """Lets a host hear the others and not be heard."""
        name = self.host()
        for other in HOST_NAMES:
            self.fleet.cut(name, other)

    def separate(self) -> None:
        """Cuts a host from all others, both ways."""
        name = self.host()
        for other in HOST_NAMES:
            self.fleet.cut(name, other)
            self.fleet.cut(other, name)

    def lose(self) -> None:
        """Loses a share of the messages and repeats others."""
        self.fleet.loss_share = self.random.choice((0.2, 0.5))
        self.fleet.duplicate_share = self.fleet.loss_share

    def pause(self) -> None:
        """Stops the process of a host for a while."""
        self.fleet.pause(self.host(), self.random.randint(1, 12))

    def replace(self) -> None:
        """Crashes a host and starts it again without state."""
        name = self.host()
        self.fleet.crash(name)
        self.operators.add_host(int(name.removeprefix('host-')))

    def cut_log(self) -> None:
        """Cuts a host from the log, as long as most hosts reach it."""
        if len(self.fleet.log.cuts) < HOSTS // 2:
            self.fleet.log.cuts.add(self.host())

    def stop_log(self) -> None:
        """Takes the log away."""
        self.fleet.log.available = False

    def start_log(self) -> None:
        """Brings the log back."""
        self.fleet.log.available = True

    def lose_replies(self) -> None:
        """Lets appends take effect without a reply."""
        self.fleet.log.lose_replies = True

    def truncate(self) -> None:
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
        """Ends the faults and checks that all hosts agree and serve."""
        self.heal()
        self.apply()
        self.fleet.run_until(self.fleet.now + CONVERGENCE_S)
        self.operators.check(WITHDRAWAL_LIMIT_S)
        for name in self.fleet.hosts:
            own = self.operators.configuration(name)
            assert own.version == self.operators.reference.version, name
            assert own.may_serve(self.fleet.now), name


# Changes are the most frequent steps; faults go on until `heal`.
CHOICES: dict[Callable[[Schedule], None], int] = {
    Schedule.apply: 6,
    Schedule.race: 2,
    Schedule.repeat: 1,
    Schedule.stale: 1,
    Schedule.damage: 1,
    Schedule.cut: 2,
    Schedule.mute: 1,
    Schedule.separate: 2,
    Schedule.lose: 1,
    Schedule.pause: 2,
    Schedule.replace: 2,
    Schedule.cut_log: 3,
    Schedule.stop_log: 1,
    Schedule.start_log: 2,
    Schedule.lose_replies: 1,
    Schedule.truncate: 3,
    Schedule.heal: 2,
}


class TestPromises:
    """No schedule of faults breaks what is promised of a configuration."""

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
