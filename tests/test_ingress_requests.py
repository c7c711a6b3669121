"""Tests of attempts whose callers leave."""

import asyncio

from teaselcove.ids import Instant
from teaselcove.ingress.backend import BackendPool
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
    """Starts an attempt and cancels it before it has run."""
    call = accepted(kernel, '/read/1')
    pick = requests.slots.pick(call, Instant(0))
    assert pick is not None
    attempt = requests.start(call, pick)
    attempt.task.cancel()
    await asyncio.wait([attempt.task])
    await asyncio.sleep(0)


class TestSlots:
    """Slots of attempts that end early."""

    def test_cancelled_before_it_runs(self) -> None:
        """Guards against slots that are never given back."""
        kernel = make_kernel()
        adopt(kernel, configuration())
        add_servers(kernel, 1)
        requests = Requests(kernel, BackendPool(IP, 1000), None, None)
        asyncio.run(cancel_at_once(kernel, requests))
        assert kernel.service('balance').in_flight == {}
        assert not kernel.service('health').running
