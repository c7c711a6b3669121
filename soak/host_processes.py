"""Processes of the hosts: stops, restarts, signals and their own ends."""

import asyncio
import random
import signal
import socket
import subprocess
import time
from contextlib import suppress
from pathlib import Path

from soak.checks import Evidence, OwnEnd
from standins.platform_deployment import METRICS_PORT, PlatformDeployment
from standins.processes import StartError

STOP_TIMEOUT_S = 8
WATCH_INTERVAL_S = 0.05
# Longest pause in seconds between two signals of a series: a series meets a
# process in its start, at work and in the last steps of its stop.
MAX_SIGNAL_GAP_S = 0.4
# Resident memory in MB over which the platform kills a process.
MEMORY_MB = 300
MEMORY_FIELD = 'VmRSS:'
KB_PER_MB = 1024


class HostProcesses:
    """Controls the processes of the hosts and records their own ends.

    Attributes:
        busy: Processes that a fault restarts or suspends now.
        stop_requested_at: Monotonic time of the request to stop, for each host
            that is stopping.
        stopping: Processes of hosts that were told to stop, by host.
    """

    def __init__(
        self, deployment: PlatformDeployment, evidence: Evidence
    ) -> None:
        self.deployment = deployment
        self.evidence = evidence
        self.busy: set[str] = set()
        self.stop_requested_at: dict[str, float] = {}
        self.stopping: dict[str, subprocess.Popen[bytes]] = {}

    async def restart(self, name: str, stop_signal: signal.Signals) -> None:
        """Stops a host with a signal and starts it again."""
        if name in self.busy:
            return
        self.busy.add(name)
        process = self.deployment.processes.running.pop(name)
        if stop_signal is signal.SIGTERM:
            self.stop_requested_at[name] = time.monotonic()
            self.stopping[name] = process
        process.send_signal(stop_signal)
        with suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        if stop_signal is signal.SIGTERM and process.poll() != 0:
            self.record_end(name, process.poll())
        process.kill()
        self.stopping.pop(name, None)
        self.stop_requested_at.pop(name, None)
        await self.start(name)
        self.busy.discard(name)

    async def start(self, name: str) -> None:
        """Starts a host again."""
        try:
            await asyncio.to_thread(self.deployment.start_host, name)
        except StartError:
            process = self.deployment.processes.running[name]
            self.record_end(name, process.poll())

    async def restart_beside_taken_port(
        self, name: str, rng: random.Random
    ) -> None:
        """Kills a host and holds a port of its own while it starts."""
        listen = self.deployment.listen[name]
        ip = listen['ready'].split(':')[0]
        callers_port = int(listen['frontendAddr'].split(':')[1])
        port = rng.choice((METRICS_PORT, callers_port))
        process = self.deployment.processes.running.get(name)
        if name in self.busy or process is None:
            return
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            work = asyncio.create_task(self.restart(name, signal.SIGKILL))
            while process.poll() is None:
                await asyncio.sleep(WATCH_INTERVAL_S / 10)
            with suppress(OSError):
                other.bind((ip, port))
                other.listen()
            await asyncio.sleep(rng.uniform(0, 2))
        await work

    async def watch(self) -> None:
        """Records the hosts that end by themselves and starts them again."""
        while True:
            for name in self.deployment.names:
                await self.watch_host(name)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def watch_host(self, name: str) -> None:
        """Records the end of a host, and one that the platform would cause."""
        process = self.deployment.processes.running.get(name)
        if process is None or name in self.busy:
            return
        if resident_mb(process.pid) > MEMORY_MB:
            process.kill()
            process.wait()
        if process.poll() is None:
            return
        self.busy.add(name)
        self.record_end(name, process.poll())
        await self.start(name)
        self.busy.discard(name)

    def record_end(self, name: str, code: int | None) -> None:
        """Records that a host ended otherwise than it was told to."""
        self.evidence.own_ends.append(OwnEnd(name, code, time.monotonic()))

    async def send_reloads(self, name: str, rng: random.Random) -> None:
        """Sends a series of reloads to a host, also as it starts or stops."""
        for _ in range(rng.randint(1, 20)):
            process = self.deployment.processes.running.get(
                name, self.stopping.get(name)
            )
            if process is not None and holds_signals(process.pid):
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0, MAX_SIGNAL_GAP_S))


def status_field(pid: int, field: str) -> str:
    """Returns a field of the status of a process; empty if it has ended."""
    with suppress(OSError):
        for line in Path(f'/proc/{pid}/status').read_text().splitlines():
            if line.startswith(field):
                return line.removeprefix(field).strip()
    return ''


def holds_signals(pid: int) -> bool:
    """Returns whether a process has begun to handle or hold back SIGHUP.

    No program can do so in the first milliseconds of its interpreter.
    """
    masks = (status_field(pid, name) for name in ('SigBlk:', 'SigCgt:'))
    return any(int(mask or '0', 16) & 1 for mask in masks)


def resident_mb(pid: int) -> int:
    """Returns the resident memory of a process in MB; 0 if it has ended."""
    words = status_field(pid, MEMORY_FIELD).split()
    return int(words[0]) // KB_PER_MB if words else 0
