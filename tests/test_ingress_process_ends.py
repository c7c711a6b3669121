"""Tests that a host's process starts, and ends only when it is told to."""

import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import pytest

from standins.platform_deployment import (
    HOST_MODULE,
    METRICS_PORT,
    PlatformDeployment,
)
from tests.ingress_support import configuration
from tests.test_ingress_process import HAMLET, send, wait_for

WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))
NETWORK = 140 + WORKER
HOST = 'host-0'
WAIT_S = 15
# Short enough for several signals within the last steps of a stop.
SIGNAL_INTERVAL_S = 0.002

pytestmark = pytest.mark.xdist_group('process-ends')


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[PlatformDeployment]:
    """A deployment with one host."""
    deployment = PlatformDeployment(tmp_path, NETWORK, hosts=1, servers=2)
    try:
        deployment.start(configuration(tenants=[HAMLET]))
        wait_for(lambda: deployment.is_ready(HOST))
        yield deployment
    finally:
        deployment.stop()


def restart(
    deployment: PlatformDeployment, *module: str
) -> subprocess.Popen[bytes]:
    """Kills the host and starts it again as another module."""
    deployment.processes.kill(HOST)
    deployment.run_host(HOST, *module)
    return deployment.processes.running[HOST]


def is_serving(deployment: PlatformDeployment) -> bool:
    """Returns whether the host answers a request; fails if it has ended."""
    code = deployment.processes.running[HOST].poll()
    assert code is None, f'the host ended with {code}'
    try:
        return send(deployment, HOST)[0] == 200
    except OSError:
        return False


class TestSignals:
    """Signals at the start and at the end of a process."""

    def test_reload_during_start(self, deployment: PlatformDeployment) -> None:
        """Guards against a host that a change of settings ends at its start."""
        restart(deployment, 'tests.signal_at_import', 'SIGHUP')
        wait_for(lambda: is_serving(deployment))
        log = deployment.directory / f'{HOST}.log'
        assert b'"kind":"reload"' in log.read_bytes()

    def test_stop_during_start(self, deployment: PlatformDeployment) -> None:
        """Guards against an end without the host's own way out."""
        process = restart(deployment, 'tests.signal_at_import', 'SIGTERM')
        assert process.wait(WAIT_S) == 0

    @pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
    def test_signals_during_stop(
        self, deployment: PlatformDeployment, number: signal.Signals
    ) -> None:
        """Guards against a signal that ends a host in its last steps."""
        process = deployment.processes.running[HOST]
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + WAIT_S
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        assert process.poll() == 0


@contextmanager
def holding(*addresses: str) -> Iterator[None]:
    """Holds ports as another program would."""
    with ExitStack() as stack:
        for address in addresses:
            ip, port = address.split(':')
            other = stack.enter_context(socket.socket())
            other.bind((ip, int(port)))
            other.listen()
        yield


class TestPorts:
    """Ports that another program holds."""

    def test_metrics_port(self, deployment: PlatformDeployment) -> None:
        """Guards against a host that does not serve for want of metrics."""
        deployment.processes.kill(HOST)
        ip = deployment.listen[HOST]['ready'].split(':')[0]
        with holding(f'{ip}:{METRICS_PORT}'):
            deployment.run_host(HOST, HOST_MODULE)
            wait_for(lambda: is_serving(deployment))

    def test_first_peer_port(self, deployment: PlatformDeployment) -> None:
        """Guards against a host that uses one port of its range only."""
        deployment.processes.kill(HOST)
        settings = deployment.directory / f'{HOST}.json'
        boot = json.loads(settings.read_bytes())
        first = boot['network']['internalPortRange'][0]
        boot['network']['internalPortRange'] = [first, first + 15]
        settings.write_text(json.dumps(boot), encoding='utf-8')
        with holding(f'{boot["self"]["ip"]}:{first}'):
            deployment.run_host(HOST, HOST_MODULE)
            wait_for(lambda: is_serving(deployment))

    @pytest.mark.parametrize('purpose', ['frontendAddr', 'ready'])
    def test_port_in_use_for_a_while(
        self, deployment: PlatformDeployment, purpose: str
    ) -> None:
        """Guards against an end for a port that is free again soon."""
        deployment.processes.kill(HOST)
        log = deployment.directory / f'{HOST}.log'
        with holding(deployment.listen[HOST][purpose]):
            deployment.run_host(HOST, HOST_MODULE)
            wait_for(lambda: b'Address already in use' in log.read_bytes())
        wait_for(lambda: is_serving(deployment))


class TestSettings:
    """Settings that the platform replaces while a host starts."""

    def test_replaced_during_start(
        self, deployment: PlatformDeployment
    ) -> None:
        """Guards against a host that does not start for half a file."""
        deployment.processes.kill(HOST)
        settings = deployment.directory / f'{HOST}.json'
        log = deployment.directory / f'{HOST}.log'
        whole = settings.read_bytes()
        settings.write_bytes(whole[: len(whole) // 2])
        deployment.run_host(HOST, HOST_MODULE)
        wait_for(lambda: b'tried again' in log.read_bytes())
        settings.write_bytes(whole)
        wait_for(lambda: is_serving(deployment))

    def test_stop_meanwhile(self, deployment: PlatformDeployment) -> None:
        """Guards against an error as the end of a host told to stop."""
        deployment.processes.kill(HOST)
        settings = deployment.directory / f'{HOST}.json'
        log = deployment.directory / f'{HOST}.log'
        settings.write_bytes(b'{')
        deployment.run_host(HOST, HOST_MODULE)
        wait_for(lambda: b'tried again' in log.read_bytes())
        process = deployment.processes.running[HOST]
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
