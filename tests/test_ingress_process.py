"""Tests of proxy hosts on the platform as real processes."""

import itertools
import os
import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from standins.backend import Fault
from standins.log_store import StoreFault
from standins.platform_deployment import (
    METRICS_PORT,
    PlatformDeployment,
    call,
)
from tests.ingress_support import configuration, most_in_window

# Each test worker uses its own loopback networks.
WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))
NETWORK = 100 + 2 * WORKER
WAIT_S = 15
POLL_S = 0.05
# Records that the store loses, far more than servers write in some seconds.
LOST_RECORDS = 200
FIRST_SERVER = 'server-0'
# No rate limit, so that tests do not depend on the speed of the machine.
KEY = 'key-of-hamlet'
HAMLET = {'name': 'hamlet', 'apiKeys': [KEY], 'ratePerS': 0, 'burst': 0}
RATED_KEY = 'key-of-village'
VILLAGE = {
    'name': 'village',
    'apiKeys': [RATED_KEY],
    'ratePerS': 60,
    'burst': 30,
}
TOWN = {
    'name': 'town',
    'apiKeys': ['key-of-town'],
    'ratePerS': 0,
    'burst': 0,
}

# All tests that share the deployment run in one worker.
pytestmark = pytest.mark.xdist_group('platform')
attempt_ids = itertools.count(1)
versions = itertools.count(2)


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[PlatformDeployment]:
    """A deployment shared by the tests of this module."""
    directory: Path = tmp_path_factory.mktemp('platform')
    deployment = PlatformDeployment(directory, NETWORK, hosts=4, servers=3)
    try:
        deployment.start(configuration(tenants=[HAMLET, VILLAGE]))
        wait_for(lambda: all(map(deployment.is_ready, deployment.names)))
        yield deployment
    finally:
        deployment.stop()


def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; fails after a generous timeout."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, 'the condition never held'
        time.sleep(POLL_S)


def send(
    deployment: PlatformDeployment,
    host: str,
    path: str = '/read/1',
    method: str = 'GET',
    key: str = KEY,
) -> tuple[int, dict[str, str], bytes, str]:
    """Sends a caller's request; returns the response and attempt id."""
    attempt_id = f'a{next(attempt_ids)}'
    headers = {
        'Host': 'jobs.example',
        'Attempt-Id': attempt_id,
        'Deadline-Ms': '2000',
        'Authorization': f'Bearer {key}',
    }
    address = deployment.listen[host]['frontendAddr']
    body = b'x' * 100 if method == 'POST' else None
    answer = call(address, method, path, headers, body)
    return (*answer, attempt_id)


def set_fault_on_servers(deployment: PlatformDeployment, fault: Fault) -> None:
    """Sets the same fault on all backend servers."""
    for address in deployment.servers.values():
        deployment.set_fault(address, fault)


def wait_for_status(
    deployment: PlatformDeployment, host: str, key: str, status: int
) -> None:
    """Waits until a host answers requests with a key with a status."""
    wait_for(lambda: send(deployment, host, key=key)[0] == status)


def runs_at_leaving_server(deployment: PlatformDeployment) -> int:
    """Lets the first server leave; returns how many requests still run there.

    All requests are served, the first one 2.5 s later.
    """
    address = deployment.servers[FIRST_SERVER]
    deployment.set_fault(address, Fault(leaving=True))
    try:
        time.sleep(2.5)
        before = sum(deployment.report(address)['runs'].values())
        for _ in range(12):
            assert send(deployment, 'host-0')[0] == 200
        after = sum(deployment.report(address)['runs'].values())
    finally:
        deployment.set_fault(address, Fault())
    return after - before


def send_to_all(deployment: PlatformDeployment) -> None:
    """Sends a request to each host."""
    for host in deployment.names:
        send(deployment, host)


class TestRequestPath:
    """The path of a request from a caller to a backend server."""

    def test_resolve_and_call(self, deployment: PlatformDeployment) -> None:
        """Guards against a break anywhere between resolving and answering."""
        own = deployment.listen['host-0']['frontendAddr']
        wait_for(lambda: own in deployment.resolve('host-0', 'a'))
        status, headers, body, attempt_id = send(deployment, 'host-0')
        assert status == 200
        assert headers['attempt-id'] == attempt_id
        assert headers['response-signature'].startswith('signed-by')
        assert b'/read/1' in body

    def test_every_host_serves(self, deployment: PlatformDeployment) -> None:
        """Guards against failing callers that use outdated host lists."""
        for host in deployment.names:
            answer = send(deployment, host, '/write/1', 'POST')
            assert answer[0] == 200

    def test_key_is_not_forwarded(self, deployment: PlatformDeployment) -> None:
        """Guards against forwarding a caller's key to a backend server."""
        for key in (KEY, RATED_KEY):
            assert send(deployment, 'host-1', key=key)[0] == 200
        reports = [
            deployment.report(address)
            for address in deployment.servers.values()
        ]
        organisations = set().union(
            *(report['organisations'] for report in reports)
        )
        assert organisations == {'hamlet', 'village'}

    def test_bad_key_and_route(self, deployment: PlatformDeployment) -> None:
        """Guards against wrong statuses for unknown keys and routes."""
        assert send(deployment, 'host-0', key='no')[0] == 401
        assert send(deployment, 'host-0', '/none/')[0] == 404


class TestMetrics:
    """Metrics of a host."""

    def test_separate_port(self, deployment: PlatformDeployment) -> None:
        """Guards against serving metrics on the readiness address only."""
        status, _, _, attempt_id = send(deployment, 'host-0')
        ready = deployment.listen['host-0']['ready']
        own = f'{ready.split(":")[0]}:{METRICS_PORT}'
        texts = [
            call(address, 'GET', '/metrics', {})[2].decode()
            for address in (ready, own)
        ]
        assert status == 200
        for text in texts:
            assert 'teaselcove_requests_total{outcome="answered-2xx"}' in text
            assert 'teaselcove_servers_limited 0' in text
            assert KEY not in text
            assert attempt_id not in text


class TestFaults:
    """Guarantees during faults."""

    def test_booking_runs_once(self, deployment: PlatformDeployment) -> None:
        """Guards against running a non-idempotent request twice."""
        set_fault_on_servers(deployment, Fault(truncate_share=0.5))
        try:
            sent = [
                send(deployment, 'host-0', '/write/2', 'POST')
                for _ in range(30)
            ]
        finally:
            set_fault_on_servers(deployment, Fault())
        runs: dict[str, int] = {}
        for address in deployment.servers.values():
            for name, count in deployment.report(address)['runs'].items():
                runs[name] = runs.get(name, 0) + count
        for status, _, _, attempt_id in sent:
            assert runs.get(attempt_id, 0) <= 1
            if status in {429, 503}:
                assert attempt_id not in runs
        assert {answer[0] for answer in sent} >= {200, 502}

    def test_cut_answers_block_no_request(
        self, deployment: PlatformDeployment
    ) -> None:
        """Guards against taking truncated responses for server crashes."""
        set_fault_on_servers(deployment, Fault(truncate_share=1))
        try:
            statuses = {
                send(deployment, 'host-2', '/write/3', 'POST')[0]
                for _ in range(6)
            }
        finally:
            set_fault_on_servers(deployment, Fault())
        assert statuses == {502}

    def test_limit_of_a_server(self, deployment: PlatformDeployment) -> None:
        """Guards against more requests than a server takes from all hosts."""
        limited = next(iter(deployment.servers.values()))
        deployment.set_fault(limited, Fault(limit=2))
        try:
            for _ in range(10):
                send_to_all(deployment)
            before = len(deployment.report(limited)['arrived_at'])
            for _ in range(60):
                send_to_all(deployment)
        finally:
            deployment.set_fault(limited, Fault())
        arrived_at = deployment.report(limited)['arrived_at'][before:]
        assert most_in_window(arrived_at, 4) <= 1.5 * 2 * 4 + 5

    def test_hedge_goes_elsewhere(self, deployment: PlatformDeployment) -> None:
        """Guards against hedging to the server that hangs."""
        first = next(iter(deployment.servers.values()))
        deployment.set_fault(first, Fault(stall=True))
        try:
            statuses = {send(deployment, 'host-1')[0] for _ in range(12)}
        finally:
            deployment.set_fault(first, Fault())
        assert statuses == {200}

    def test_new_configuration(self, deployment: PlatformDeployment) -> None:
        """Guards against missing a version or accepting a removed key."""
        payload = configuration(next(versions), tenants=[HAMLET, TOWN])
        deployment.put_configuration(payload)
        for host in deployment.names:
            wait_for_status(deployment, host, 'key-of-town', 200)
        payload = configuration(next(versions), tenants=[HAMLET])
        deployment.put_configuration(payload)
        for host in deployment.names:
            wait_for_status(deployment, host, 'key-of-town', 401)

    def test_store_outage(self, deployment: PlatformDeployment) -> None:
        """Guards against accepting keys indefinitely on outdated data."""
        deployment.set_fault(deployment.store, StoreFault(status=503))
        try:
            assert send(deployment, 'host-0')[0] == 200
            wait_for_status(deployment, 'host-0', KEY, 503)
        finally:
            deployment.set_fault(deployment.store, StoreFault())
        wait_for_status(deployment, 'host-0', KEY, 200)

    def test_server_leaves(self, deployment: PlatformDeployment) -> None:
        """Guards against sending requests to a draining server."""
        assert not runs_at_leaving_server(deployment)

    def test_forgotten_history(self, deployment: PlatformDeployment) -> None:
        """Guards against a host that fails on records no longer retained."""
        for topic in ('keyed.op', 'keyed.servers'):
            target = f'/log-trim?topic={topic}&before=1'
            call(deployment.store, 'POST', target, {})
        payload = configuration(next(versions), tenants=[HAMLET])
        deployment.put_configuration(payload)
        assert send(deployment, 'host-0')[0] == 200


class TestRestoredStore:
    """A store that comes back from an older copy."""

    def test_hosts_register_again(self, deployment: PlatformDeployment) -> None:
        """Guards against hosts that later ones do not find."""
        assert deployment.registered_hosts() == set(deployment.names)
        deployment.forget_hosts()
        wait_for(lambda: deployment.registered_hosts() == set(deployment.names))

    def test_leaving_server(self, deployment: PlatformDeployment) -> None:
        """Guards against requests to a server that leaves after the loss."""
        call(deployment.store, 'POST', '/copy', {})
        deployment.repeat_entry(FIRST_SERVER, LOST_RECORDS)
        # The hosts read the entries within this time.
        time.sleep(2.5)
        assert send(deployment, 'host-0')[0] == 200
        call(deployment.store, 'POST', '/restore', {})
        assert not runs_at_leaving_server(deployment)


class TestStop:
    """Shutdown of a process."""

    def test_graceful(self, deployment: PlatformDeployment) -> None:
        """Guards against a shutdown that aborts or refuses requests."""
        process = deployment.processes.running['host-3']
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: not deployment.is_ready('host-3'))
        status, headers, _, _ = send(deployment, 'host-3')
        assert (status, headers['connection']) == (200, 'close')
        own = deployment.listen['host-3']['frontendAddr']
        wait_for(lambda: own not in deployment.resolve('host-0', 'a'))
        assert process.wait(WAIT_S) == 0


class TestSettings:
    """Changes of the platform's settings file at run time."""

    def test_missing_and_broken_file(
        self, deployment: PlatformDeployment
    ) -> None:
        """Guards against exiting while the settings file is replaced."""
        path = deployment.directory / 'host-2.json'
        log = deployment.directory / 'host-2.log'
        good = path.read_bytes()
        path.unlink()
        wait_for(lambda: b'"no-settings"' in log.read_bytes())
        path.write_bytes(good[:100])
        wait_for(lambda: b'"reload-refused"' in log.read_bytes())
        path.write_bytes(good)
        wait_for(lambda: b'"kind":"reload"' in log.read_bytes())
        assert deployment.is_ready('host-2')


class TestStart:
    """Startup of a host."""

    def test_store_outage_after_start(self, tmp_path: Path) -> None:
        """Guards against a host that is ready before it knows any server."""
        deployment = PlatformDeployment(
            tmp_path, NETWORK + 1, hosts=1, servers=2
        )
        try:
            deployment.start(configuration(tenants=[HAMLET]))
            wait_for(lambda: deployment.is_ready('host-0'))
            deployment.set_fault(deployment.store, StoreFault(status=503))
            assert send(deployment, 'host-0')[0] == 200
        finally:
            deployment.stop()
