"""Tests of what servers ask for in their answers."""

import pytest

from teaselcove.events import AttemptResult
from teaselcove.http_connection import RawAnswer
from teaselcove.ingress.announcements import Announcement
from teaselcove.ingress.backend import AttemptEnd
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.requests import Requests
from teaselcove.kernel import Kernel
from tests.ingress_support import (
    accepted,
    add_servers,
    adopt,
    at,
    configuration,
    entry,
    make_kernel,
    pick,
)

LEAVING = ('server-leaving', '1')
PAUSE_S = 3
PAUSED = ('retry-after', str(PAUSE_S))
SERVERS = 3


def end(
    status: int,
    *headers: tuple[str, str],
    outcome: AttemptResult = AttemptResult.COMPLETE,
) -> AttemptEnd:
    """Returns the end of an attempt with an answer."""
    return AttemptEnd(outcome, RawAnswer(status, headers, b'', reusable=True))


def kernel_with_servers() -> Kernel:
    """Returns a kernel with a configuration and servers."""
    kernel = make_kernel()
    adopt(kernel, configuration(), boot_time())
    add_servers(kernel, SERVERS, boot_time())
    return kernel


def receive(kernel: Kernel, received: AttemptEnd) -> Pick:
    """Passes an answer on as the result of an attempt; returns the attempt."""
    requests = Requests(kernel, None, None, None)
    call = accepted(kernel, '/write/1', boot_time())
    chosen = pick(kernel, False, boot_time())
    requests.record_result(call, chosen, received)
    return chosen


def picked(kernel: Kernel, now: float) -> set[str]:
    """Returns the servers that requests are sent to at a time."""
    names: set[str] = set()
    chosen = pick(kernel, False, now)
    while chosen is not None:
        names.add(chosen.known.server.id)
        chosen = pick(kernel, False, now, *names)
    return names


class TestLeaving:
    """Servers that say in an answer that they leave."""

    @pytest.mark.parametrize('status', [200, 404, 500, 503])
    def test_gets_no_requests(self, status: int) -> None:
        """Guards against requests to a server whose entry is still ready."""
        kernel = kernel_with_servers()
        left = receive(kernel, end(status, LEAVING)).known.server.id
        now = boot_time()
        assert picked(kernel, now) == {'s0', 's1', 's2'} - {left}
        # A request that has waited for its slot checks the server again.
        assert not kernel.service('discovery').is_usable(left, now)

    def test_for_good(self) -> None:
        """Guards against a server that is used again after a while."""
        kernel = kernel_with_servers()
        left = receive(kernel, end(200, LEAVING)).known.server.id
        assert left not in picked(kernel, boot_time() + 1000)

    def test_copy_of_its_entry(self) -> None:
        """Guards against use of a server whose entry came back as a copy."""
        kernel = kernel_with_servers()
        left = receive(kernel, end(200, LEAVING)).known.server.id
        now = boot_time()
        discovery = kernel.service('discovery')
        discovery.remove(left, at(100), now)
        discovery.update(entry(left), at(101), now)
        assert not discovery.is_usable(left, now)

    def test_started_again(self) -> None:
        """Guards against a server that is never used after its restart."""
        kernel = kernel_with_servers()
        left = receive(kernel, end(200, LEAVING)).known.server.id
        now = boot_time()
        discovery = kernel.service('discovery')
        discovery.update(entry(left, started_ms=2), at(100), now)
        assert discovery.is_usable(left, now)

    def test_answer_of_the_process_before(self) -> None:
        """Guards against a late answer that is taken for the new process's."""
        kernel = kernel_with_servers()
        before = pick(kernel, False, boot_time()).known
        now = boot_time()
        discovery = kernel.service('discovery')
        name = before.server.id
        discovery.update(entry(name, started_ms=2), at(100), now)
        kernel.service('announcements').record_answer(
            before, Announcement(leaving=True), now
        )
        assert discovery.is_usable(name, now)

    def test_answer_of_another_server(self) -> None:
        """Guards against a header of whoever has the address now."""
        kernel = kernel_with_servers()
        misdirected = end(421, LEAVING, outcome=AttemptResult.MISDIRECTED)
        name = receive(kernel, misdirected).known.server.id
        assert kernel.service('discovery').is_usable(name, boot_time())


class TestPause:
    """Servers that ask for a pause as they refuse a request."""

    @pytest.mark.parametrize(
        'outcome', [AttemptResult.SHED, AttemptResult.COMPLETE]
    )
    def test_gets_no_requests(self, outcome: AttemptResult) -> None:
        """Guards against requests within the time that was asked for."""
        kernel = kernel_with_servers()
        refusal = end(503, PAUSED, outcome=outcome)
        paused = receive(kernel, refusal).known.server.id
        now = boot_time()
        assert paused not in picked(kernel, now + PAUSE_S - 0.1)
        assert paused in picked(kernel, now + PAUSE_S + 0.1)

    def test_shorter_refusal_after_it(self) -> None:
        """Guards against a later refusal that ends the pause too soon."""
        kernel = kernel_with_servers()
        paused = receive(kernel, end(503, PAUSED)).known
        now = boot_time()
        kernel.service('announcements').record_answer(
            paused, Announcement(pause=0.1), now
        )
        assert paused.server.id not in picked(kernel, now + 1)

    def test_other_status(self) -> None:
        """Guards against a pause where the server refused nothing."""
        kernel = kernel_with_servers()
        receive(kernel, end(429, PAUSED))
        assert len(picked(kernel, boot_time())) == SERVERS

    @pytest.mark.parametrize('text', ['', 'soon', '-1', 'inf', 'nan'])
    def test_unreadable(self, text: str) -> None:
        """Guards against a failure for a time that is no number."""
        assert end(503, ('retry-after', text)).announcement == Announcement()

    def test_waiting_request(self) -> None:
        """Guards against a queue that sends on while all servers pause."""
        kernel = kernel_with_servers()
        for _ in range(SERVERS):
            receive(kernel, end(503, PAUSED))
        requests = Requests(kernel, None, None, None)
        call = accepted(kernel, '/write/1', boot_time())
        assert requests.slots.pick(call, boot_time()) is None
