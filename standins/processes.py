"""Starts and ends the processes of the demo, the bench and the tests."""

import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import IO

import msgspec

from teaselcove.settings import HostSettings

START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 5
POLL_S = 0.05


class StartError(Exception):
    """A process did not listen in time."""


def free_port(address: str) -> int:
    """Returns a port of an address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def wait_until_listening(address: str, port: int) -> None:
    """Waits until something accepts connections.

    Raises:
        StartError: If nothing does in time.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with suppress(OSError):
            socket.create_connection((address, port), 1).close()
            return
        time.sleep(POLL_S)
    raise StartError(f'nothing listens on {address}:{port}')


def ignore_signals() -> None:
    """Lets a second interruption not disturb the end of the processes."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)


class Processes:
    """Child processes that end together.

    Attributes:
        directory: Where settings and output of the processes are kept.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.outputs: list[IO[bytes]] = []

    def start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts `python -m` with arguments; its output goes to a file."""
        output = (self.directory / f'{name}.log').open('ab')
        self.outputs.append(output)
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments], stdout=output, stderr=output
        )
        self.running[name] = process
        return process

    def start_host(self, settings: HostSettings) -> subprocess.Popen[bytes]:
        """Starts a host of the fleet with its settings in a file."""
        path = self.directory / f'{settings.host}.jsonc'
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        return self.start(settings.host, 'teaselcove', 'serve', str(path))

    def stop(self, name: str, timeout: float = STOP_TIMEOUT_S) -> int | None:
        """Ends a process in good order, or by force; returns its exit code."""
        process = self.running.pop(name)
        process.terminate()
        with suppress(subprocess.TimeoutExpired):
            return process.wait(timeout)
        process.kill()
        process.wait()
        return None

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop_all(self) -> None:
        """Ends all processes by force."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()
        for output in self.outputs:
            output.close()
