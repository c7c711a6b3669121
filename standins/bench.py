"""Benchmark of one host against direct calls to the same servers.

Run as `python -m standins.bench`. The last line of the output is JSON.
"""

import asyncio
import itertools
import random
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import msgspec

from standins.backend import Fault
from standins.deployment import Deployment, Shape, get_json, put_json
from teaselcove.readout import Histogram, LatencySummary

CALLS_PER_S = 90
OPEN_LOOP_S = 15
SATURATION_S = 6
SATURATION_CALLERS = 64
MEMORY_REQUESTS = 10_000
MEMORY_CALLERS = 16
SHAPE = Shape(
    1, {'job': 12}, {'village': (1e6, 1_000_000)}, network=5, timeout_ms=5000
)
HOST = 'host-0'
ORGANISATION = 'village'
# Shortens the random service time: the added latency is the difference of two
# separate sets of calls, so their noise has to stay small.
FAST_SERVICE = Fault(slow_factor=0.1)
KB_PER_MB = 1024
OK_STATUS = 200


class BenchResult(msgspec.Struct):
    """Results of the benchmark; times in milliseconds, memory in MB."""

    direct: LatencySummary
    proxied: LatencySummary
    added_ms: dict[str, float]
    host_added: dict[str, int]
    requests_per_core: float
    idle_memory: float
    loaded_memory: float


class ProcessUsage(msgspec.Struct):
    """Processor time in seconds and resident memory in MB."""

    cpu: float
    memory: float


def usage_of(pid: int) -> ProcessUsage:
    """Returns the resources that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f'/proc/{pid}/status').read_text()
    resident = status.split('VmRSS:')[1].split()[0]
    return ProcessUsage(ticks / 100, int(resident) / KB_PER_MB)


class Bench:
    """Sends load to a deployment of one host and fast backend servers."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.direct_addresses = [
            server.address for server in deployment.servers.values()
        ]
        self.address = deployment.hosts[HOST].address
        key = deployment.key_texts[ORGANISATION]
        self.headers = {'authorization': f'Bearer {key}'}
        self.random = random.Random(1)

    async def call(
        self, session: aiohttp.ClientSession, address: str, histogram: Histogram
    ) -> None:
        """Sends one call and records its latency if it succeeds."""
        started_at = time.perf_counter()
        async with session.get(
            f'http://{address}/job/1', headers=self.headers
        ) as response:
            await response.read()
            if response.status == OK_STATUS:
                histogram.record(time.perf_counter() - started_at)

    async def open_loop(self) -> tuple[Histogram, Histogram]:
        """Sends open-loop calls, each both directly and through the host."""
        direct = Histogram()
        proxied = Histogram()
        async with aiohttp.ClientSession() as session:
            tasks = []
            end = time.perf_counter() + OPEN_LOOP_S
            while time.perf_counter() < end:
                target = self.random.choice(self.direct_addresses)
                tasks.append(
                    asyncio.ensure_future(self.call(session, target, direct))
                )
                tasks.append(
                    asyncio.ensure_future(
                        self.call(session, self.address, proxied)
                    )
                )
                await asyncio.sleep(self.random.expovariate(CALLS_PER_S))
            await asyncio.gather(*tasks)
        return direct, proxied

    async def closed_loop(
        self, callers: int, until: float, max_calls: int
    ) -> int:
        """Sends calls back to back; returns the number of successful calls."""
        histogram = Histogram()
        call_numbers = itertools.count(1)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(
                    self.repeat(
                        session, histogram, until, call_numbers, max_calls
                    )
                    for _ in range(callers)
                )
            )
        return histogram.summary().count

    async def repeat(
        self,
        session: aiohttp.ClientSession,
        histogram: Histogram,
        until: float,
        call_numbers: Iterator[int],
        max_calls: int,
    ) -> None:
        """Sends calls back to back until a time or a number of calls."""
        while time.perf_counter() < until and next(call_numbers) <= max_calls:
            await self.call(session, self.address, histogram)


def run(deployment: Deployment) -> BenchResult:
    """Runs the benchmark against a started deployment."""
    for server in deployment.servers.values():
        put_json(server.address, '/fault', FAST_SERVICE)
    pid = deployment.processes.running[HOST].pid
    idle = usage_of(pid)
    bench = Bench(deployment)
    direct, proxied = asyncio.run(bench.open_loop())
    added = {}
    for name, value in proxied.summary().percentiles.items():
        added[name] = (value - direct.summary().percentiles[name]) / 1000
    host_added = host_added_latency(deployment)
    before = usage_of(pid)
    until = time.perf_counter() + SATURATION_S
    answered = asyncio.run(
        bench.closed_loop(SATURATION_CALLERS, until, 10 * MEMORY_REQUESTS)
    )
    after = usage_of(pid)
    asyncio.run(bench.closed_loop(MEMORY_CALLERS, until + 60, MEMORY_REQUESTS))
    return BenchResult(
        direct.summary(),
        proxied.summary(),
        added,
        host_added,
        round(answered / (after.cpu - before.cpu), 1),
        round(idle.memory, 1),
        round(usage_of(pid).memory, 1),
    )


def host_added_latency(deployment: Deployment) -> dict[str, int]:
    """Returns percentiles of the added latency as measured by the host."""
    address = deployment.hosts[HOST].address
    return get_json(address, '/teaselcove/metrics')['added_latency_us'][
        'percentiles'
    ]


def main() -> int:
    """Runs the benchmark and prints its results."""
    with tempfile.TemporaryDirectory(prefix='teaselcove-bench-') as directory:
        deployment = Deployment(SHAPE, Path(directory))
        try:
            deployment.start()
            result = run(deployment)
        finally:
            deployment.stop()
    sys.stdout.write(
        f'{"":10}{"p50":>10}{"p90":>10}{"p99":>10}{"p99.9":>10}  ms\n'
    )
    for name, summary in (
        ('direct', result.direct),
        ('proxied', result.proxied),
    ):
        cells = ''.join(
            f'{value / 1000:10.2f}' for value in summary.percentiles.values()
        )
        sys.stdout.write(f'{name:10}{cells}\n')
    cells = ''.join(f'{value:10.2f}' for value in result.added_ms.values())
    sys.stdout.write(f'{"added":10}{cells}\n')
    sys.stdout.write(
        f'{result.requests_per_core} requests/s per core at saturation; '
        f'{result.idle_memory} MB idle, {result.loaded_memory} MB after '
        f'{MEMORY_REQUESTS} requests and more\n'
    )
    sys.stdout.write(msgspec.json.encode(result).decode())
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
