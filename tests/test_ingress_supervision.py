"""Tests of the background tasks of a host."""

import asyncio

from teaselcove.ingress.supervision import (
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    RESET_S,
    Supervisor,
    pause_after,
)
from tests.ingress_support import make_kernel

FAILURES = 2


def make_supervisor() -> Supervisor:
    """Returns the supervisor of a host."""
    return make_kernel().service('supervisor')


class FailingWork:
    """Fails some times, then returns."""

    def __init__(self) -> None:
        self.starts = 0
        self.done = asyncio.Event()

    async def run(self) -> None:
        """Fails at the first starts."""
        self.starts += 1
        if self.starts <= FAILURES:
            raise RecursionError('nested too deeply')
        self.done.set()


async def run_until_done(supervisor: Supervisor, work: FailingWork) -> None:
    """Runs work until it has returned."""
    supervisor.start('work', work.run)
    async with asyncio.timeout(10):
        await work.done.wait()
    while supervisor.tasks:
        await asyncio.sleep(0)


async def stop_at_once(supervisor: Supervisor) -> None:
    """Stops a task that would run for ever."""
    supervisor.start('work', asyncio.Event().wait)
    await asyncio.sleep(0)
    supervisor.stop()
    while supervisor.tasks:
        await asyncio.sleep(0)


class TestSupervisor:
    """A task that fails is started again."""

    def test_failing_task(self) -> None:
        """Guards against a host that ends because a task failed."""
        supervisor, work = make_supervisor(), FailingWork()
        asyncio.run(run_until_done(supervisor, work))
        assert work.starts == FAILURES + 1
        assert supervisor.failures == {'work': FAILURES}

    def test_read_for_a_request(self) -> None:
        """Guards against a failed read that nobody sees."""
        supervisor, work = make_supervisor(), FailingWork()
        asyncio.run(supervisor.run_once('read', work.run))
        assert supervisor.failures == {'read': 1}

    def test_stop(self) -> None:
        """Guards against a task that outlives the host's stop."""
        supervisor = make_supervisor()
        asyncio.run(stop_at_once(supervisor))
        assert not supervisor.failures

    def test_pauses(self) -> None:
        """Guards against a task that fails all the time and takes the core."""
        pauses = [float(0)]
        for _ in range(8):
            pauses.append(pause_after(pauses[-1], 0))
        assert pauses[1:4] == [MIN_PAUSE_S, 2 * MIN_PAUSE_S, 4 * MIN_PAUSE_S]
        assert pauses[-1] == MAX_PAUSE_S
        assert pause_after(MAX_PAUSE_S, RESET_S + 1) == MIN_PAUSE_S
