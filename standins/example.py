"""Runs one of the deployments under `examples/` with stand-ins.

Run as `python -m standins.example brunnwerk`. It starts the platform, the
backend servers and the hosts, applies the configuration, prints a sample call
and runs until it is interrupted.
"""

import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import fire

from standins.deployment import put_json, split_address
from standins.processes import (
    Processes,
    ignore_signals,
    wait_until_listening,
)
from teaselcove import documents, settings
from teaselcove.events import EndpointEntry, HostEntry
from teaselcove.settings import HostSettings

EXAMPLES = Path(__file__).parent.parent / 'examples'
EXAMPLE_PATHS = {'brunnwerk': '/job/pumps/17', 'zhuyin': '/lexicon/words/17'}
INTERRUPTED_EXIT_CODE = 130


def host_entry(host: HostSettings) -> HostEntry:
    """Returns the entry of a host for the platform's list."""
    return HostEntry(
        host.host,
        0,
        host.zone,
        f'{host.address}:{host.port}',
        f'{host.address}:{host.peer_port}',
    )


class Example:
    """Processes of an example deployment."""

    def __init__(self, name: str, logs: Path) -> None:
        self.directory = EXAMPLES / name
        self.processes = Processes(logs)
        self.settings = {
            path: settings.load(path)
            for path in sorted((self.directory / 'hosts').glob('*.jsonc'))
        }
        first_host = next(iter(self.settings.values()))
        self.platform = first_host.log_url.removeprefix('http://')

    def start(self) -> None:
        """Starts all processes and applies the configuration."""
        address, port = split_address(self.platform)
        self.processes.start(
            'platform', 'standins.platform', address, str(port)
        )
        endpoints = []
        for service in documents.read(self.directory).services:
            for server in service.servers:
                self.processes.start(
                    server.id,
                    'standins.backend',
                    *server.address.split(':'),
                    server.id,
                )
                endpoints.append(EndpointEntry(server.id))
        wait_until_listening(address, port)
        hosts = [host_entry(host) for host in self.settings.values()]
        put_json(self.platform, '/hosts', hosts)
        put_json(self.platform, '/endpoints', endpoints)
        self.apply()
        for path, host in self.settings.items():
            self.processes.start(host.host, 'teaselcove', 'serve', str(path))
        for entry in hosts:
            wait_until_listening(*split_address(entry.address))

    def apply(self) -> None:
        """Applies the configuration of the example."""
        subprocess.run(
            [
                sys.executable,
                '-m',
                'teaselcove',
                'apply',
                str(self.directory),
                '--log-url',
                f'http://{self.platform}',
            ],
            check=True,
        )

    def print_usage(self, name: str) -> None:
        """Prints the log directory and a sample call."""
        line = (self.directory / 'keys.txt').read_text().splitlines()[0]
        organisation, key = line.split()
        host = next(iter(self.settings.values()))
        sys.stdout.write(
            f'hosts are running; logs are in {self.processes.directory}\n'
            f'sample call of {organisation}:\n'
            f'curl -i -H "authorization: Bearer {key}" '
            f'http://{host.address}:{host.port}{EXAMPLE_PATHS[name]}\n'
            'press Ctrl+C to stop\n'
        )
        sys.stdout.flush()


def main(name: str) -> int:
    """Runs an example until it is interrupted."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    code = 0
    with tempfile.TemporaryDirectory(prefix='teaselcove-example-') as logs:
        example = Example(name, Path(logs))
        try:
            example.start()
            example.print_usage(name)
            signal.pause()
        except KeyboardInterrupt:
            code = INTERRUPTED_EXIT_CODE
        finally:
            ignore_signals()
            example.processes.stop_all()
    return code


if __name__ == '__main__':
    sys.exit(fire.Fire(main, serialize=lambda code: ''))
