"""A deployment of real processes on loopback addresses."""

import http.client
import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from standins.processes import Processes, free_port, wait_until_listening
from teaselcove import keys
from teaselcove.entities import (
    Call,
    Entities,
    Key,
    Organisation,
    Route,
    Server,
    Service,
)
from teaselcove.events import EndpointEntry, HostEntry, HostState
from teaselcove.settings import HostSettings

ZONES = ('zone-a', 'zone-b', 'zone-c')
PLATFORM_ADDRESS = '127.30.0.1'
HTTP_TIMEOUT_S = 5
COMMAND_TIMEOUT_S = 20
OK_STATUS = 200
READY_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.1
PEER_SECRET = 'a secret of the demo'  # noqa: S105


class Shape(msgspec.Struct, frozen=True):
    """Size and options of a deployment.

    Attributes:
        hosts: Number of hosts.
        services: Number of backend servers of each service.
        organisations: Rate and burst of each organisation.
        network: Third octet of the loopback addresses, which lets several
            deployments run on one machine.
        timeout_ms: Timeout of all routes.
        host_options: Settings of the hosts that differ from the defaults.
    """

    hosts: int
    services: dict[str, int]
    organisations: dict[str, tuple[float, int]]
    network: int = 1
    timeout_ms: int = 2000
    host_options: dict[str, Any] = {}


def http_call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Sends an HTTP request; returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=HTTP_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        fields = {name.lower(): text for name, text in response.getheaders()}
        return response.status, fields, response.read()
    finally:
        connection.close()


def get_json(address: str, path: str) -> Any:
    """Fetches a path and decodes the JSON answer."""
    return json.loads(http_call('GET', address, path)[2])


def put_json(address: str, path: str, body: Any) -> None:
    """Sends data as JSON in a PUT request."""
    http_call('PUT', address, path, msgspec.json.encode(body))


class Deployment:
    """Platform, backend servers and hosts as processes.

    Attributes:
        platform: Address of the platform's stand-in.
        directory: Directory of the operator's configuration files.
        hosts: Entries of the host list by host id.
        servers: Backend servers by id.
        endpoints: State of each backend server in the platform's list.
        key_texts: API key of each organisation in plain text.
        version: Newest version of the configuration.
    """

    def __init__(self, shape: Shape, directory: Path) -> None:
        self.shape = shape
        self.processes = Processes(directory)
        self.directory = directory / 'operator'
        self.platform = ''
        self.hosts: dict[str, HostEntry] = {}
        self.settings: dict[str, HostSettings] = {}
        self.servers: dict[str, Server] = {}
        self.endpoints: dict[str, HostState] = {}
        self.key_texts: dict[str, str] = {}
        self.keys: dict[str, Key] = {}
        self.version = 0

    def start(self) -> None:
        """Starts all processes and waits until the hosts are ready."""
        self.start_platform()
        for service, count in self.shape.services.items():
            for number in range(count):
                self.start_server(service, number)
        entities = self.entities()
        self.write_documents(**msgspec.structs.asdict(entities))
        self.apply()
        for number in range(self.shape.hosts):
            self.configure_host(number)
        self.publish_lists()
        for name in self.hosts:
            self.processes.start_host(self.settings[name])
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Starts the log service and the lists."""
        port = free_port(PLATFORM_ADDRESS)
        self.platform = f'{PLATFORM_ADDRESS}:{port}'
        self.processes.start(
            'platform', 'standins.platform', PLATFORM_ADDRESS, str(port)
        )
        wait_until_listening(PLATFORM_ADDRESS, port)

    def start_server(self, service: str, number: int) -> None:
        """Starts a backend server."""
        name = f'{service}-{number}'
        address = f'127.31.{self.shape.network}.{len(self.servers) + 1}'
        port = free_port(address)
        zone = ZONES[number % len(ZONES)]
        self.servers[name] = Server(name, f'{address}:{port}', zone)
        self.endpoints[name] = HostState.LIVE
        self.processes.start(name, 'standins.backend', address, str(port), name)

    def restart_server(self, name: str) -> None:
        """Starts a stopped backend server again at its former address."""
        address, port = self.servers[name].address.split(':')
        self.processes.start(name, 'standins.backend', address, port, name)

    def entities(self) -> Entities:
        """Returns the initial configuration."""
        organisations = []
        for name, (rate, burst) in self.shape.organisations.items():
            organisations.append(Organisation(name, rate, burst))
            key, text = keys.issue(name)
            self.keys[name] = key
            self.key_texts[name] = text
        services = []
        routes = []
        for name, count in self.shape.services.items():
            servers = tuple(
                server
                for server in self.servers.values()
                if server.id.startswith(f'{name}-')
            )
            services.append(Service(name, count // 2, servers, True))
            calls = (Call('GET', idempotent=True),)
            timeout_ms = self.shape.timeout_ms
            routes.append(
                Route(name, f'/{name}', name, False, (), timeout_ms, calls)
            )
        return Entities(
            tuple(organisations),
            tuple(self.keys.values()),
            tuple(services),
            tuple(routes),
        )

    def apply(self) -> None:
        """Applies the operator's directory with `teaselcove apply`."""
        self.run_command(
            'apply', str(self.directory), '--log-url', self.log_url
        )
        self.version += 1

    def run_command(self, *arguments: str) -> str:
        """Runs a teaselcove command and returns its output."""
        completed = subprocess.run(
            [sys.executable, '-m', 'teaselcove', *arguments],
            check=True,
            capture_output=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        return completed.stdout.decode()

    @property
    def log_url(self) -> str:
        """Base URL of the platform's stand-in."""
        return f'http://{self.platform}'

    def write_documents(self, **entities: Any) -> None:
        """Writes entities to the operator's directory, one file per kind."""
        self.directory.mkdir(exist_ok=True)
        for name, items in entities.items():
            path = self.directory / f'{name}.jsonc'
            text = msgspec.json.format(msgspec.json.encode({name: items}))
            path.write_bytes(b'\n'.join((b'// Written by the demo.', text)))

    def withdraw_key(self, organisation: str) -> None:
        """Withdraws the key of an organisation and applies the change."""
        key_id = self.keys[organisation].id
        self.run_command('keys', 'withdraw', str(self.directory), key_id)
        self.apply()

    def configure_host(self, number: int) -> None:
        """Assigns addresses and settings to a host."""
        name = f'host-{number}'
        address = f'127.32.{self.shape.network}.{number + 1}'
        settings = HostSettings(
            name,
            ZONES[number % len(ZONES)],
            address,
            free_port(address),
            free_port(address),
            self.log_url,
            self.log_url,
            peer_secret=PEER_SECRET,
        )
        options = self.shape.host_options
        settings = msgspec.structs.replace(settings, **options)
        self.settings[name] = settings
        self.hosts[name] = HostEntry(
            name,
            0,
            settings.zone,
            f'{address}:{settings.port}',
            f'{address}:{settings.peer_port}',
        )

    def publish_lists(self) -> None:
        """Sends the lists of hosts and servers to the platform's stand-in."""
        put_json(self.platform, '/hosts', list(self.hosts.values()))
        endpoints = [
            EndpointEntry(name, state) for name, state in self.endpoints.items()
        ]
        put_json(self.platform, '/endpoints', endpoints)

    def wait_until_ready(self) -> None:
        """Waits until all hosts have the configuration and grant tokens.

        Raises:
            TimeoutError: If the hosts do not become ready in time.
        """
        for listener in (*self.servers.values(), *self.hosts.values()):
            wait_until_listening(*split_address(listener.address))
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(self.is_ready(name) for name in self.hosts):
                if self.answers_all_organisations():
                    return
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError('the hosts did not become ready in time')

    def is_ready(self, name: str) -> bool:
        """Returns whether a host serves with the newest configuration."""
        status = get_json(self.hosts[name].address, '/teaselcove/status')
        return status['version'] == self.version and status['may_serve']

    def answers_all_organisations(self) -> bool:
        """Returns whether every host answers a call of every organisation.

        Calls are refused at first, because the token buckets start empty.
        """
        path = f'/{next(iter(self.shape.services))}/ready'
        return all(
            self.call(host, organisation, 'GET', path)[0] == OK_STATUS
            for host in self.hosts
            for organisation in self.key_texts
        )

    def call(
        self,
        host: str,
        organisation: str,
        method: str,
        path: str,
        **options: Any,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request to a host with the API key of an organisation."""
        headers = {
            'authorization': f'Bearer {self.key_texts[organisation]}',
            **options.pop('headers', {}),
        }
        address = self.hosts[host].address
        return http_call(method, address, path, headers=headers, **options)

    def report(self, server: str) -> Any:
        """Returns the call counts of a backend server."""
        return get_json(self.servers[server].address, '/report')

    def stop(self) -> None:
        """Stops all processes."""
        self.processes.stop_all()


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into IP address and port."""
    host, port = address.rsplit(':', 1)
    return host, int(port)
