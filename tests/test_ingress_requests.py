"""Tests of queued requests and of cancelled attempts."""

import asyncio

import pytest

from teaselcove.errors import Reason, Refusal
from teaselcove.ids import Instant
from teaselcove.ingress.backend import BackendPool
from teaselcove.ingress.calls import RefusedError
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.requests import Requests
from teaselcove.kernel import Kernel
from tests.ingress_support import (
    accepted,
    add_servers,
    adopt,
    configuration,
    make_kernel,
)

IP = '127.0.0.1'


async def cancel_at_once(kernel: Kernel, requests: Requests) -> None:
    """Starts an attempt and cancels it before its task runs."""
    call = accepted(kernel, '/read/1')
    pick = requests.slots.pick(call, Instant(0))
    assert pick is not None
    attempt = requests.start(call, pick)
    attempt.task.cancel()
    await asyncio.wait([attempt.task])
    await asyncio.sleep(0)


async def wait_while_key_is_withdrawn(
    kernel: Kernel, requests: Requests
) -> Refusal:
    """Withdraws the key of a queued request; returns its refusal."""
    call = accepted(kernel, '/write/1', boot_time())
    balance = kernel.service('balance')
    while balance.pick('job', False, frozenset(), boot_time()):
        balance.started('s0')
    placing = asyncio.get_running_loop().create_task(
        requests.acquire_slot(call)
    )
    await asyncio.sleep(0)
    adopt(kernel, configuration(2, tenants=[]))
    balance.finished('s0')
    with pytest.raises(RefusedError) as caught:
        await placing
    return caught.value.refusal


class TestWithdrawnKey:
    """Requests whose key is withdrawn while they wait."""

    def test_waiting_request(self) -> None:
        """Guards against running a queued request with a withdrawn key."""
        kernel = make_kernel()
        adopt(kernel, configuration(), boot_time())
        add_servers(kernel, 1, boot_time())
        requests = Requests(kernel, BackendPool(IP, 1000), None, None)
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
        requests = Requests(kernel, BackendPool(IP, 1000), None, None)
        asyncio.run(cancel_at_once(kernel, requests))
        assert kernel.service('balance').in_flight == {}
        assert not kernel.service('health').running
