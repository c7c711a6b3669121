"""Starts and stops the processes of the demo, the benchmark and tests."""

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
POLL_INTERVAL_S = 0.05


class StartError(Exception):
    """A process did not listen in time."""


def free_port(address: str) -> int:
    """Returns an unused port of an address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def wait_until_listening(address: str, port: int) -> None:
    """Waits until an address accepts connections.

    Raises:
        StartError: If it does not accept one in time.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with suppress(OSError):
            socket.create_connection((address, port), 1).close()
            return
        time.sleep(POLL_INTERVAL_S)
    raise StartError(f'no connection accepted by {address}:{port}')


def ignore_signals() -> None:
    """Ignores further interrupts, so that all processes are stopped."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)


class Processes:
    """Child processes that are stopped together.

    Attributes:
        directory: Directory of the settings and output of the processes.
        running: Running processes by name.
        outputs: Open output files of all processes.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.outputs: list[IO[bytes]] = []

    def start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts `python -m` with arguments and logs its output to a file."""
        output = (self.directory / f'{name}.log').open('ab')
        self.outputs.append(output)
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments], stdout=output, stderr=output
        )
        self.running[name] = process
        return process

    def start_host(self, settings: HostSettings) -> subprocess.Popen[bytes]:
        """Writes the settings of a host to a file and starts the host."""
        path = self.directory / f'{settings.host}.jsonc'
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        return self.start(settings.host, 'teaselcove', 'serve', str(path))

    def stop(self, name: str, timeout: float = STOP_TIMEOUT_S) -> int | None:
        """Terminates a process and returns its exit code.

        Kills it and returns None if it is still running after the timeout.
        """
        process = self.running.pop(name)
        process.terminate()
        with suppress(subprocess.TimeoutExpired):
            return process.wait(timeout)
        process.kill()
        process.wait()
        return None

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop_all(self) -> None:
        """Kills all processes and closes their output files."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()
        for output in self.outputs:
            output.close()
