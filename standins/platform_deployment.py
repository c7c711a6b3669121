"""A deployment on stand-ins for the users' platform, as separate processes."""

import base64
import http.client
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from standins.processes import Processes, free_port, wait_until_listening
from teaselcove.platform.boot import SETTINGS_VARIABLE
from teaselcove.platform.hosts import TOPIC as HOSTS_TOPIC
from teaselcove.platform.records import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    SERVERS_TOPIC,
)

CALL_TIMEOUT_S = 5
METRICS_PORT = 9464
HOST_MODULE = 'teaselcove.ingress'
OK_STATUS = 200
DRAINING_STATE = b'draining'
BOUNDS = {
    'revokeMs': 5000,
    'drainMs': 2000,
    'graceS': 4,
    'quotaWindowS': 5,
    'quotaOverage': 0.1,
    'quotaSlack': 20,
    'retryBudgetRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 60,
    'floorShare': 0.7,
}


class PlatformDeployment:
    """A store, backend servers and hosts on loopback addresses.

    Attributes:
        zones: Availability zone of each host by name.
        listen: Listen addresses of each host by purpose.
        advertised_addresses: Addresses at which hosts reach backend servers, by
            server; servers without an entry are reached directly.
        store_addresses: Addresses at which hosts reach the store, by host;
            hosts without an entry reach it directly.
    """

    def __init__(
        self, directory: Path, network: int, hosts: int, servers: int
    ) -> None:
        self.directory = directory
        self.network = network
        self.processes = Processes(directory)
        self.store = self.address(250, 1)
        self.names = [f'host-{index}' for index in range(hosts)]
        self.zones = {
            name: 'abc'[index % 3] for index, name in enumerate(self.names)
        }
        self.listen: dict[str, dict[str, str]] = {}
        self.advertised_addresses: dict[str, str] = {}
        self.store_addresses: dict[str, str] = {}
        self.servers = {
            f'server-{index}': self.address(100 + index, 1)
            for index in range(servers)
        }

    def address(self, last_octet: int, count: int) -> str:
        """Returns a loopback address with a free port."""
        ip = f'127.0.{self.network}.{last_octet}'
        return f'{ip}:{free_port(ip)}'

    def start(self, configuration: bytes) -> None:
        """Starts all processes with an initial configuration."""
        ip, port = self.store.split(':')
        self.processes.start('store', 'standins.log_store', ip, port)
        wait_until_listening(ip, int(port))
        self.put_configuration(configuration)
        for index, (name, address) in enumerate(self.servers.items()):
            self.start_server(name, address, 'abc'[index % 3])
        for name in self.names:
            self.start_host(name)

    def start_server(self, name: str, address: str, zone: str) -> None:
        """Starts a backend server."""
        ip, port = address.split(':')
        self.processes.start(
            name,
            'standins.platform_server',
            ip,
            port,
            name,
            zone,
            self.store,
            f'--advertised={self.advertised_addresses.get(name, address)}',
        )
        wait_until_listening(ip, int(port))

    def start_host(self, name: str) -> None:
        """Starts a host and waits until it listens."""
        last_octet = 1 + self.names.index(name)
        ip = f'127.0.{self.network}.{last_octet}'
        if name not in self.listen:
            self.listen[name] = {
                purpose: f'{ip}:{free_port(ip)}'
                for purpose in ('frontendAddr', 'ready', 'directoryAddr')
            }
        path = self.directory / f'{name}.json'
        path.write_bytes(msgspec.json.encode(self.boot_settings(name, ip)))
        settings = self.directory / 'ingress.jsonc'
        settings_text = f'{{"metrics_port": {METRICS_PORT}}} // else defaults\n'
        settings.write_text(settings_text, encoding='utf-8')
        self.run_host(name, HOST_MODULE)
        ready_ip, port = self.listen[name]['ready'].split(':')
        wait_until_listening(ready_ip, int(port))

    def run_host(self, name: str, *module: str) -> None:
        """Runs a host with the settings that were written for it.

        Args:
            name: Name of the host.
            module: Module that runs it, and the module's arguments before the
                path of the settings.
        """
        path = self.directory / f'{name}.json'
        settings = self.directory / 'ingress.jsonc'
        output = (self.directory / f'{name}.log').open('ab')
        self.processes.outputs.append(output)
        self.processes.running[name] = subprocess.Popen(
            [sys.executable, '-m', *module, str(settings)],
            stdout=output,
            stderr=output,
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
        )

    def boot_settings(self, name: str, ip: str) -> dict[str, Any]:
        """Returns the boot settings that the platform would write."""
        peer_port = free_port(ip)
        return {
            'self': {
                'nodeName': name,
                'ip': ip,
                'zone': self.zones[name],
                'limits': {'memoryMb': 300, 'maxFds': 1000},
            },
            'network': {
                'listenAddrs': self.listen[name],
                'internalPortRange': [peer_port, peer_port],
                'zones': {'a': 'r', 'b': 'r', 'c': 'r'},
            },
            'platform': {
                'platform': {
                    'address': self.store_addresses.get(name, self.store)
                }
            },
            'terms': {'bounds': BOUNDS},
        }

    def put_configuration(self, payload: bytes) -> None:
        """Writes a configuration to the store as the operator would."""
        target = f'/record?topic={CONFIGURATION_TOPIC}&key={CONFIGURATION_KEY}'
        call(self.store, 'PUT', target, {}, payload)

    def set_fault(self, address: str, fault: Any) -> None:
        """Replaces the injected faults of the store or a backend server."""
        call(address, 'PUT', '/fault', {}, msgspec.json.encode(fault))

    def is_leaving(self, name: str) -> bool:
        """Returns whether a backend server is registered as draining."""
        return DRAINING_STATE in self.newest_entry(name)

    def newest_entry(self, name: str) -> bytes:
        """Returns the entry of a backend server; empty if there is none."""
        target = f'/log-newest?topic={SERVERS_TOPIC}&part=0'
        try:
            status, _, body = call(self.store, 'GET', target, {})
        except OSError:
            return b''
        if status != OK_STATUS:
            return b''
        entries = {
            item['key']: base64.b64decode(item['value'])
            for item in json.loads(body)['items']
        }
        return entries.get(name, b'')

    def trim(self, topic: str) -> None:
        """Drops all records of a topic but the newest one of each key."""
        target = f'/log-newest?topic={topic}&part=0'
        status, _, body = call(self.store, 'GET', target, {})
        if status == OK_STATUS:
            end = json.loads(body)['end']
            target = f'/log-trim?topic={topic}&before={end}'
            call(self.store, 'POST', target, {})

    def registered_hosts(self) -> set[str]:
        """Returns the hosts with a record in the store."""
        target = f'/log-newest?topic={HOSTS_TOPIC}&part=0'
        _, _, body = call(self.store, 'GET', target, {})
        return {item['key'] for item in json.loads(body)['items']}

    def forget_hosts(self) -> None:
        """Lets the store come back from a copy without the hosts' records."""
        for name in self.names:
            target = f'/record?topic={HOSTS_TOPIC}&key={name}'
            call(self.store, 'PUT', target, {}, b'')
        call(self.store, 'POST', '/copy', {})
        call(self.store, 'POST', '/restore', {})

    def repeat_entry(self, name: str, count: int) -> None:
        """Writes the entry of a backend server to the store several times."""
        target = f'/record?topic={SERVERS_TOPIC}&key={name}'
        entry = self.newest_entry(name)
        for _ in range(count):
            call(self.store, 'PUT', target, {}, entry)

    def report(self, address: str) -> dict[str, Any]:
        """Returns the report of a stand-in."""
        _, _, body = call(address, 'GET', '/report', {})
        return json.loads(body)

    def resolve(self, host: str, zone: str) -> list[str]:
        """Returns the addresses that a host lists for callers in a zone."""
        target = f'/resolve?name=jobs.example&region=r&zone={zone}'
        address = self.listen[host]['directoryAddr']
        _, _, body = call(address, 'GET', target, {})
        return json.loads(body)['addresses']

    def is_ready(self, host: str) -> bool:
        """Returns whether the readiness check of a host succeeds."""
        status, _, _ = call(self.listen[host]['ready'], 'GET', '/readyz', {})
        return status == 200

    def stop(self) -> None:
        """Stops all processes."""
        self.processes.stop_all()


def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Sends an HTTP request; returns status, headers and body."""
    ip, port = address.split(':')
    connection = http.client.HTTPConnection(
        ip, int(port), timeout=CALL_TIMEOUT_S
    )
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        response_headers = {
            name.lower(): text for name, text in response.getheaders()
        }
        return response.status, response_headers, response.read()
    finally:
        connection.close()
