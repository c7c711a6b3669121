"""Tests of queued requests and of cancelled attempts."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from teaselcove.answer_memory import AnswerMemory
from teaselcove.errors import Outcome, Reason, Refusal
from teaselcove.ids import Instant
from teaselcove.ingress import requests as requests_module
from teaselcove.ingress.backend import BackendPool
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.calls import RefusedError
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.requests import Attempt, Requests
from teaselcove.kernel import Kernel
from tests.ingress_support import (
    accepted,
    add_servers,
    adopt,
    at,
    configuration,
    entry,
    make_kernel,
)

IP = '127.0.0.1'
# Attempts that fill the slots of a server and the place in its queue, but one.
SLOTS_TAKEN = 3


async def cancel_at_once(kernel: Kernel, requests: Requests) -> None:
    """Starts an attempt and cancels it before its task runs."""
    call = accepted(kernel, '/read/1')
    pick = requests.slots.pick(call, Instant(0))
    assert pick is not None
    attempt = requests.start(call, pick)
    attempt.task.cancel()
    await asyncio.wait([attempt.task])
    await asyncio.sleep(0)


def fill_slots(kernel: Kernel) -> None:
    """Takes all slots of the only server."""
    balance = kernel.service('balance')
    while balance.pick('job', False, frozenset(), boot_time()):
        balance.started('s0')


async def queue_request(
    kernel: Kernel, requests: Requests
) -> asyncio.Task[Pick]:
    """Lets a request wait for the only server, which has no free slot."""
    call = accepted(kernel, '/write/1', boot_time())
    fill_slots(kernel)
    placing = asyncio.get_running_loop().create_task(
        requests.acquire_slot(call)
    )
    await asyncio.sleep(0)
    return placing


async def wait_while_key_is_withdrawn(
    kernel: Kernel, requests: Requests
) -> Refusal:
    """Withdraws the key of a queued request; returns its refusal."""
    placing = await queue_request(kernel, requests)
    adopt(kernel, configuration(2, tenants=[]))
    kernel.service('balance').finished('s0')
    with pytest.raises(RefusedError) as caught:
        await placing
    return caught.value.refusal


def make_pool() -> BackendPool:
    """Returns a pool without connections."""
    return BackendPool(IP, 1000, AnswerMemory())


class CurrentList:
    """A list of servers that is never too old."""

    async def ensure_servers(self) -> None:
        """Does nothing."""


class OutdatedList:
    """A list of servers whose read shows that one server has left."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def should_read_servers(self, now: Instant) -> bool:
        """Returns that the list is too old."""
        return True

    async def ensure_servers(self) -> None:
        """Replaces the server that has left by another one."""
        discovery = self.kernel.service('discovery')
        discovery.remove('s0', at(8), boot_time())
        discovery.update(entry('s1'), at(9), boot_time())


async def wait_while_a_server_leaves(
    kernel: Kernel, requests: Requests
) -> Pick:
    """Returns the server of a request that waited until a slot was free."""
    placing = await queue_request(kernel, requests)
    kernel.service('balance').finished('s0')
    return await placing


class HangingList(OutdatedList):
    """A list of servers whose read does not end."""

    async def ensure_servers(self) -> None:
        """Waits for ever."""
        await asyncio.Event().wait()


async def cancel_while_servers_are_read(
    kernel: Kernel, requests: Requests
) -> None:
    """Cancels a request that has a slot and waits for the list."""
    call = accepted(kernel, '/write/1', boot_time())
    placing = asyncio.get_running_loop().create_task(
        requests.acquire_slot(call)
    )
    await asyncio.sleep(0.01)
    assert kernel.service('balance').in_flight == {'s0': 1}
    placing.cancel()
    await asyncio.wait([placing])


async def hedge_after_a_server_left(
    kernel: Kernel, requests: Requests
) -> list[Attempt]:
    """Returns the hedges of a request in flight at the server that stays."""
    call = accepted(kernel, '/read/1', boot_time())
    balance = kernel.service('balance')
    first = balance.pick('job', False, frozenset(('s0',)), boot_time())
    return requests.hedge(call, first)


class TestLeavingServer:
    """Requests for which a server was chosen that has left meanwhile."""

    def test_waiting_request(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a list that became too old while a request waited."""
        monkeypatch.setattr(requests_module, 'LIST_CHECK_S', 0)
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 1, boot_time())
        requests = Requests(
            kernel,
            make_pool(),
            OutdatedList(kernel),
            None,
        )
        chosen = asyncio.run(wait_while_a_server_leaves(kernel, requests))
        assert chosen.known.server.id == 's1'
        assert kernel.service('balance').in_flight['s1'] == 1

    def test_request_that_did_not_wait(self) -> None:
        """Guards against two waits for a store that does not answer."""
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 1, boot_time())
        requests = Requests(
            kernel,
            make_pool(),
            OutdatedList(kernel),
            None,
        )
        call = accepted(kernel, '/write/1', boot_time())
        chosen = asyncio.run(requests.acquire_slot(call))
        assert chosen.known.server.id == 's0'

    def test_hedge(self) -> None:
        """Guards against hedges at a server that has left."""
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 2, boot_time())
        requests = Requests(
            kernel,
            make_pool(),
            OutdatedList(kernel),
            None,
        )
        hedges = asyncio.run(hedge_after_a_server_left(kernel, requests))
        assert not hedges


class TestWithdrawnKey:
    """Requests whose key is withdrawn while they wait."""

    def test_waiting_request(self) -> None:
        """Guards against running a queued request with a withdrawn key."""
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 1, boot_time())
        requests = Requests(kernel, make_pool(), CurrentList(), None)
        refusal = asyncio.run(wait_while_key_is_withdrawn(kernel, requests))
        assert refusal.reason is Reason.BAD_KEY
        assert kernel.service('balance').in_flight == {'s0': 3}


class TestSlots:
    """Slots of attempts that end early."""

    def test_cancelled_before_it_runs(self) -> None:
        """Guards against slots that are never released."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        add_servers(kernel, 1)
        requests = Requests(kernel, make_pool(), None, None)
        asyncio.run(cancel_at_once(kernel, requests))
        assert kernel.service('balance').in_flight == {}
        assert not kernel.service('health').running

    def test_cancelled_while_servers_are_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against slots that are never released."""
        monkeypatch.setattr(requests_module, 'LIST_CHECK_S', 0)
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 1, boot_time())
        requests = Requests(
            kernel,
            make_pool(),
            HangingList(kernel),
            None,
        )
        asyncio.run(cancel_while_servers_are_read(kernel, requests))
        assert kernel.service('balance').in_flight == {}


async def stop_while_waiting(kernel: Kernel, requests: Requests) -> Refusal:
    """Stops the host while a request waits; returns its refusal."""
    placing = await queue_request(kernel, requests)
    kernel.service('stopping').exit_at = boot_time()
    with pytest.raises(RefusedError) as caught:
        await placing
    return caught.value.refusal


async def arrive_late(kernel: Kernel, requests: Requests) -> Refusal:
    """Sends a request at the end of a stop; returns its refusal."""
    fill_slots(kernel)
    kernel.service('stopping').exit_at = boot_time()
    with pytest.raises(RefusedError) as caught:
        await requests.acquire_slot(accepted(kernel, '/write/1', boot_time()))
    return caught.value.refusal


async def list_read_ends_late(kernel: Kernel, requests: Requests) -> Refusal:
    """Lets the time end while a request with a slot waits for the list."""
    placing = await queue_request(kernel, requests)
    kernel.service('balance').finished('s0')
    with pytest.raises(RefusedError) as caught:
        await placing
    return caught.value.refusal


class StoppedMeanwhile(CurrentList):
    """A list of servers that is current when the host has no time left."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    async def ensure_servers(self) -> None:
        """Ends the time of the host."""
        self.kernel.service('stopping').exit_at = boot_time()


class TestStop:
    """Requests for which a planned stop leaves no time."""

    def requests(self) -> Requests:
        """Returns the requests of a host with one server."""
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 1, boot_time())
        pool = make_pool()
        return Requests(kernel, pool, CurrentList(), None)

    @pytest.mark.parametrize('play', [stop_while_waiting, arrive_late])
    def test_not_sent(
        self,
        play: Callable[[Kernel, Requests], Coroutine[Any, Any, Refusal]],
    ) -> None:
        """Guards against requests that are sent and cut off at the exit."""
        requests = self.requests()
        refusal = asyncio.run(play(requests.kernel, requests))
        assert refusal.reason is Reason.DRAINING
        assert refusal.outcome is Outcome.NOT_RUN
        assert not requests.kernel.service('queueing').in_order('job')

    def test_time_ends_with_a_slot(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a check that is old when the request is sent."""
        monkeypatch.setattr(requests_module, 'LIST_CHECK_S', 0)
        requests = self.requests()
        requests.freshness = StoppedMeanwhile(requests.kernel)
        refusal = asyncio.run(list_read_ends_late(requests.kernel, requests))
        assert refusal.reason is Reason.DRAINING
        in_flight = requests.kernel.service('balance').in_flight
        assert in_flight.get('s0', 0) == SLOTS_TAKEN

    def test_time_for_the_usual_answer(self) -> None:
        """Guards against refusing what can still be answered."""
        kernel = self.requests().kernel
        stopping = kernel.service('stopping')
        assert stopping.allows_start('job', Instant(1000))
        stopping.exit_at = Instant(10)
        latency = kernel.service('health').median_latency('job')
        assert stopping.allows_start('job', Instant(10 - 2 * latency))
        assert not stopping.allows_start('job', Instant(10 - latency))
