"""A small deployment of separate processes on loopback addresses.

The hosts run with the command of the deploy file. The store and the sound
servers are the project's stand-ins. `Platform` plays the platform: it restarts
a host that has ended and kills one that exceeds its memory.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
HOST_COMMAND = (sys.executable, '-m', 'teaselcove.ingress')
HOST_SETTINGS = 'deploy/ingress.jsonc'
ZONES = ('bern-a', 'olten-b', 'aarau-c')
REGION = 'ch-mittelland'
MEMORY_MB = 300
RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.03
START_TIMEOUT_S = 20
BOUNDS = {
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'revokeMs': 5000,
    'failClosed': True,
    'retryBudgetRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 60,
    'quotaWindowS': 5,
    'quotaOverage': 0.1,
    'quotaSlack': 20,
    'floorShare': 0.7,
}
KEY = 'i9n73hh2b9wu3fexd9dn'


class CannotRunError(Exception):
    """The case cannot run; this says nothing about the rule."""


def has_trouble():
    """Returns whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port(ip):
    """Returns an unused port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def http_call(address, method, target, body=None, headers=None, timeout=3):
    """Sends an HTTP request; returns status, headers and body."""
    ip, port = address.split(':')
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(condition, what, timeout=START_TIMEOUT_S):
    """Waits until a condition holds.

    Raises:
        CannotRunError: If it does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        with suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(0.05)
    raise CannotRunError(f'not in time: {what}')


class Record:
    """Writes what is sent, answered and run to `record.txt`."""

    def __init__(self, directory):
        self.file = (Path(directory) / 'record.txt').open('w')
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        """Writes a line with the time since the start."""
        with self.lock:
            at = time.monotonic() - self.start
            self.file.write(f'{at:8.3f} {text}\n')
            self.file.flush()


class Host:
    """A host of the fleet and the times at which its process ran.

    Attributes:
        ends: Times at which the process ended by itself or for its memory.
        started_at: When the present process was started.
    """

    def __init__(self, name, zone, ip):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.listen = {
            purpose: f'{ip}:{free_port(ip)}'
            for purpose in (
                'frontendAddr',
                'ready',
                'controlPlane',
                'directoryAddr',
            )
        }
        self.peer_port = free_port(ip)
        self.process = None
        self.ends = []
        self.started_at = 0.0
        self.peak_mb = 0
        self.stopped_at = None

    def is_ready(self):
        """Returns whether the host says that it is ready."""
        with suppress(OSError, http.client.HTTPException):
            return http_call(self.listen['ready'], 'GET', '/readyz')[0] == 200
        return False


class Deployment:
    """Store, servers, hosts, and the platform that watches the hosts."""

    def __init__(self, case, hosts=6, servers=6):
        self.record = Record(case)
        self.directory = Path(tempfile.mkdtemp(prefix='review-'))
        self.network = random.SystemRandom().randrange(40, 250)
        self.processes = []
        self.store = self.address(250)
        self.servers = {
            f'server-{index}': self.address(100 + index)
            for index in range(servers)
        }
        self.hosts = [
            Host(
                f'edge-{ZONES[index % 3]}-{index // 3 + 1}',
                ZONES[index % 3],
                f'127.7.{self.network}.{1 + index}',
            )
            for index in range(hosts)
        ]
        self.closing = False
        self.lock = threading.Lock()
        self.watcher = threading.Thread(target=self.watch, daemon=True)

    def address(self, last):
        """Returns a loopback address with a free port."""
        ip = f'127.7.{self.network}.{last}'
        return f'{ip}:{free_port(ip)}'

    def environment(self, **more):
        """Returns what the platform passes to a process."""
        kept = ('PATH', 'HOME', 'LANG')
        found = {name: os.environ[name] for name in kept if name in os.environ}
        return {**found, 'PYTHONPATH': str(DEPS), **more}

    def spawn(self, name, *command, **more):
        """Starts a process with its output in a file."""
        output = (self.directory / f'{name}.log').open('ab')
        process = subprocess.Popen(
            command,
            stdout=output,
            stderr=output,
            cwd=ROOT,
            env=self.environment(**more),
        )
        output.close()
        self.processes.append(process)
        return process

    def stand_in(self, name, *arguments):
        """Starts one of the project's stand-ins."""
        return self.spawn(
            name,
            sys.executable,
            '-m',
            *arguments,
            PYTHONPATH=f'{DEPS}{os.pathsep}{ROOT}',
        )

    def start(self, configuration):
        """Starts everything and waits until all hosts are ready."""
        ip, port = self.store.split(':')
        self.stand_in('store', 'standins.log_store', ip, port)
        wait_for(
            lambda: http_call(self.store, 'GET', '/report')[0] == 200,
            'the store',
        )
        self.put('keyed.op', 'config', json.dumps(configuration).encode())
        for index, (name, address) in enumerate(self.servers.items()):
            ip, port = address.split(':')
            self.stand_in(
                name,
                'standins.platform_server',
                ip,
                port,
                name,
                ZONES[index % 3],
                self.store,
            )
        for address in self.servers.values():
            wait_for(
                lambda: http_call(address, 'GET', '/health')[0] == 200,
                'a server',
            )
        for host in self.hosts:
            self.start_host(host)
        self.watcher.start()
        for host in self.hosts:
            wait_for(host.is_ready, f'{host.name} to be ready')

    def put(self, topic, key, payload):
        """Writes a record as the operator or a server does."""
        status, _, _ = http_call(
            self.store, 'PUT', f'/record?topic={topic}&key={key}', payload
        )
        if status != 200:
            raise CannotRunError(f'the store refused a record: {status}')

    def start_host(self, host):
        """Starts a host with the command of the deploy file."""
        path = self.directory / f'{host.name}.json'
        path.write_text(json.dumps(self.boot_settings(host)))
        host.process = self.spawn(
            host.name,
            *HOST_COMMAND,
            HOST_SETTINGS,
            TEASELCOVE_CONFIG=str(path),
        )
        host.started_at = time.monotonic()

    def boot_settings(self, host):
        """Returns the settings file that the platform writes for a host."""
        return {
            'self': {
                'nodeName': host.name,
                'role': 'host',
                'machineClass': 'edge',
                'serves': ['edge', 'registry'],
                'ip': host.ip,
                'zone': host.zone,
                'region': REGION,
                'countsAsLoss': False,
                'bootstrap': True,
                'dataDir': None,
                'limits': {
                    'cpuQuota': 0.86,
                    'cpuCores': 1,
                    'memoryMb': MEMORY_MB,
                    'maxFds': 4100,
                    'linkSpeedMbps': 1000.0,
                    'diskMb': 0,
                },
            },
            'network': {
                'listenAddrs': host.listen,
                'internalPortRange': [host.peer_port, host.peer_port],
                'seedNodes': [],
                'zones': dict.fromkeys(ZONES, REGION),
            },
            'platform': {
                'discovery': 'platform',
                'entry': 'registry',
                'heartbeatIntervalMs': 1500,
                'platform': {
                    'address': self.store,
                    'form': 'log',
                    'writesPerS': 400,
                    'readsPerS': 2000,
                    'parts': 12,
                    'appendMs': 2.0,
                    'recordBytes': 262144,
                    'callBytes': 2097152,
                    'keep_s': 300,
                    'partMb': 200,
                },
            },
            'terms': {'contracts': ['base'], 'bounds': BOUNDS},
        }

    def watch(self):
        """Plays the platform: restarts hosts and enforces their memory."""
        restart_at = {}
        while not self.closing:
            for host in self.hosts:
                with self.lock:
                    if not self.closing:
                        self.watch_host(host, restart_at)
            time.sleep(WATCH_INTERVAL_S)

    def watch_host(self, host, restart_at):
        """Restarts a host that has ended; kills one that is too large."""
        now = time.monotonic()
        if host in restart_at:
            if now >= restart_at[host]:
                restart_at.pop(host)
                self.start_host(host)
                self.record.write(f'restart {host.name}')
            return
        code = host.process.poll()
        if code is not None:
            if host.stopped_at is None:
                host.ends.append(now)
                self.record.write(f'ended by itself {host.name} code={code}')
                restart_at[host] = now + RESTART_DELAY_S
            return
        resident = resident_mb(host.process.pid)
        host.peak_mb = max(host.peak_mb, resident)
        if resident > MEMORY_MB:
            host.process.kill()
            host.process.wait()
            host.ends.append(now)
            self.record.write(
                f'killed for its memory {host.name} {resident} MB'
            )
            restart_at[host] = now + RESTART_DELAY_S

    def runs(self):
        """Returns the server of each run: a list by attempt id."""
        found = {}
        for name, address in self.servers.items():
            body = http_call(address, 'GET', '/runs', timeout=10)[2]
            for attempt, tenant, at in json.loads(body):
                found.setdefault(attempt, []).append(name)
                self.record.write(f'run {attempt} at {name} for {tenant}')
        return found

    def close(self):
        """Ends all processes that were started."""
        with self.lock:
            self.closing = True
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.directory, ignore_errors=True)


def resident_mb(pid):
    """Returns the resident memory of a process in MB; 0 if it has ended."""
    with suppress(OSError, IndexError, ValueError):
        status = Path(f'/proc/{pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) // 1024
    return 0


def configuration(version='r12', timeout_ms=2000):
    """Returns a configuration with a safe and an unsafe route."""
    rules = [
        {
            'name': kind,
            'routeType': kind,
            'targetLatencyMs': 600,
            'priority': 1,
            'match': {'pathPrefix': prefix},
            'action': {
                'service': 'job',
                'timeoutMs': timeout_ms,
                'maxAttempts': 2,
            },
        }
        for kind, prefix in (('safe', '/read/'), ('unsafe', '/write/'))
    ]
    return {
        'version': version,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'kaje80',
                'apiKeys': [KEY],
                'ratePerS': 1000,
                'burst': 1000,
            }
        ],
        'listeners': [{'host': 'ficu95.example', 'rules': rules}],
        'clusters': [{'name': 'job', 'maxConnections': 390}],
    }


def play(case, work):
    """Runs a case and exits with its result.

    Args:
        case: Folder of the case.
        work: Called with the folder; returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    for folder in (DEPS, ROOT / 'teaselcove', ROOT / 'standins'):
        if not folder.exists():
            print(f'cannot run: no {folder.relative_to(ROOT)}')
            sys.exit(2)
    try:
        held = work(case)
    except (CannotRunError, OSError) as error:
        print(f'cannot run: {error}')
        sys.exit(2)
    print('held' if held else 'BROKEN')
    sys.exit(0 if held else 1)
