"""Runs hosts, servers and callers under random faults: SEED [SECONDS].

`python -m soak.run SEED` prints one line of JSON and exits with 1 if a promise
did not hold. `--hosts` and `--servers` set the size.
"""

import asyncio
import contextlib
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import fire
import msgspec

from soak.callers import Caller
from soak.checks import Evidence, Run, Span, Withdrawal
from soak.faults import SERVER_FAULTS, faults
from soak.link import Link
from standins.backend import Fault
from standins.platform_deployment import BOUNDS, PlatformDeployment, call
from standins.processes import StartError
from teaselcove.platform.records import CONFIGURATION_TOPIC, SERVERS_TOPIC

NETWORKS = 200
RATE = 20
BURST = 10
ORGANISATIONS = ('village', 'town', 'valley')
SPARE_KEYS = 2
CALLERS_PER_KEY = 2
PAUSE_S = 0.12
WARM_UP_S = 3
# After the last fault hosts hear the store again, and then the longest bound,
# that of leaving servers, must hold for a while.
SETTLE_S = 8
# Time between two faults; they overlap, as they last up to 3 s and more.
MEAN_GAP_S = 0.8
# Time between questions whether the store knows that a server leaves.
REGISTER_POLL_S = 0.1
# After harm to the store or a host, hosts hear it again within this time.
HEAR_AGAIN_S = 3
STOP_TIMEOUT_S = 8
START_GRACE_S = 3
GRACE_S = BOUNDS['graceS']


class Soak:
    """A deployment, its links and callers.

    Attributes:
        starting: When each host that was restarted counts as started.
        stopping: When each host was asked to stop.
        played: Names of the faults so far.
    """

    def __init__(
        self, seed: int, directory: Path, hosts: int, servers: int
    ) -> None:
        self.random = random.Random(seed)
        self.evidence = Evidence(
            sent=[],
            runs=[],
            withdrawn=[],
            leaving={},
            store_harm=[],
            quota_bounds={},
        )
        network = 30 + seed % NETWORKS
        self.deployment = PlatformDeployment(directory, network, hosts, servers)
        self.server_links = self.links(self.deployment.servers, 150)
        self.store_links = self.links(
            dict.fromkeys(self.deployment.names, self.deployment.store), 200
        )
        for name, link in self.server_links.items():
            self.deployment.advertised_addresses[name] = link.listen
        for name, link in self.store_links.items():
            self.deployment.store_addresses[name] = link.listen
        self.caller_links: dict[str, Link] = {}
        self.keys = {
            f'key-{organisation}-{index}': organisation
            for organisation in ORGANISATIONS
            for index in range(SPARE_KEYS)
        }
        self.version = 1
        self.starting: dict[str, float] = {}
        self.stopping: dict[str, float] = {}
        self.busy: set[str] = set()
        self.played: list[str] = []

    def links(self, targets: dict[str, str], last: int) -> dict[str, Link]:
        """Returns links to some addresses by name."""
        return {
            name: Link(
                self.deployment.address(last + index, 1),
                target,
                self.random.getrandbits(32),
            )
            for index, (name, target) in enumerate(targets.items())
        }

    def configuration(self) -> bytes:
        """Returns the next version of the configuration."""
        self.version += 1
        tenants = [
            {
                'name': organisation,
                'apiKeys': [
                    key
                    for key, owner in self.keys.items()
                    if owner == organisation
                ],
                'ratePerS': RATE,
                'burst': BURST,
            }
            for organisation in ORGANISATIONS
        ]
        rules = [
            {
                'name': kind,
                'routeType': kind,
                'targetLatencyMs': 600,
                'priority': 1,
                'match': {'pathPrefix': prefix},
                'action': {
                    'service': 'job',
                    'timeoutMs': 2000,
                    'maxAttempts': 2,
                },
            }
            for kind, prefix in (('safe', '/read/'), ('unsafe', '/write/'))
        ]
        return msgspec.json.encode(
            {
                'version': f'r{self.version}',
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 1048576,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
                'tenants': tenants,
                'listeners': [{'host': 'jobs.example', 'rules': rules}],
                'clusters': [{'name': 'job', 'maxConnections': 390}],
            }
        )

    async def run(self, seconds: float) -> Evidence:
        """Plays faults for a time; returns what was seen."""
        for link in (*self.server_links.values(), *self.store_links.values()):
            await link.start()
        await asyncio.to_thread(self.deployment.start, self.configuration())
        self.caller_links = self.links(
            {
                name: listen['frontendAddr']
                for name, listen in self.deployment.listen.items()
            },
            100,
        )
        for link in self.caller_links.values():
            await link.start()
        await asyncio.sleep(WARM_UP_S)
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(caller.run(PAUSE_S))
                for caller in self.callers()
            ]
            await self.play(seconds)
            await asyncio.sleep(SETTLE_S)
            for task in callers:
                task.cancel()
        await self.collect()
        return self.evidence

    def callers(self) -> list[Caller]:
        """Returns the callers of all keys."""
        window = self.evidence.quota_window_s
        bound = (RATE * window + BURST) * (1 + BOUNDS['quotaOverage'])
        bound += BOUNDS['quotaSlack']
        self.evidence.quota_bounds = dict.fromkeys(ORGANISATIONS, bound)
        return [
            Caller(
                f'{key}-{index}',
                organisation,
                key,
                self.caller_links,
                self.evidence,
                self.stopping,
                self.random.getrandbits(32),
            )
            for key, organisation in self.keys.items()
            for index in range(CALLERS_PER_KEY)
        ]

    @contextlib.asynccontextmanager
    async def harm(self) -> AsyncIterator[None]:
        """Notes that hosts may not hear the store for a while."""
        start = time.monotonic()
        try:
            yield
        finally:
            end = time.monotonic() + HEAR_AGAIN_S
            self.evidence.store_harm.append(Span(start, end))

    async def play_fault(self, name: str, draw: random.Random) -> None:
        """Plays a fault."""
        if name in SERVER_FAULTS:
            await faults.get(name)(self, draw)
            return
        async with self.harm():
            await faults.get(name)(self, draw)

    async def play(self, seconds: float) -> None:
        """Starts faults at random times and waits for their ends."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                name = self.random.choice(faults.names())
                self.played.append(name)
                draw = random.Random(self.random.getrandbits(32))
                group.create_task(self.play_fault(name, draw))
                gap = self.random.expovariate(1 / MEAN_GAP_S)
                await asyncio.sleep(gap)

    def any_link(self, draw: random.Random) -> Link:
        """Returns a link of any kind."""
        links = draw.choice(
            (self.server_links, self.store_links, self.caller_links)
        )
        return links[draw.choice(sorted(links))]

    async def restart_host(self, name: str, number: signal.Signals) -> None:
        """Ends a host by a signal and starts it again."""
        if name in self.busy:
            return
        self.busy.add(name)
        process = self.deployment.processes.running.pop(name)
        if number is signal.SIGTERM:
            self.stopping[name] = time.monotonic()
        process.send_signal(number)
        with suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        process.kill()
        self.stopping.pop(name, None)
        self.starting[name] = time.monotonic() + START_GRACE_S
        with suppress(StartError):
            await asyncio.to_thread(self.deployment.start_host, name)
        self.busy.discard(name)

    async def restart_server(self, name: str) -> None:
        """Kills a backend server and starts it again."""
        if name in self.busy or name in self.evidence.leaving:
            return
        self.busy.add(name)
        await self.collect_runs(name)
        self.deployment.processes.kill(name)
        await asyncio.sleep(self.random.uniform(0, 2))
        address = self.deployment.servers[name]
        zone = 'abc'[int(name.rpartition('-')[2]) % 3]
        await asyncio.to_thread(
            self.deployment.start_server, name, address, zone
        )
        self.busy.discard(name)

    async def pause(self, name: str, draw: random.Random) -> None:
        """Suspends a process for a while."""
        process = self.deployment.processes.running.get(name)
        if process is None or name in self.busy:
            return
        if name in self.evidence.leaving:
            # What it was sent in time would run when it goes on.
            return
        self.busy.add(name)
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(draw.uniform(0.3, 4))
        finally:
            process.send_signal(signal.SIGCONT)
            self.busy.discard(name)

    async def set_fault(self, address: str, fault: object) -> None:
        """Changes what is wrong with a stand-in, if it can be reached."""
        with suppress(OSError):
            await asyncio.to_thread(self.deployment.set_fault, address, fault)

    async def trim(self) -> None:
        """Lets the store forget all but the newest records."""
        for topic in (CONFIGURATION_TOPIC, SERVERS_TOPIC):
            target = f'/log-trim?topic={topic}'
            with suppress(OSError):
                await asyncio.to_thread(
                    call, self.deployment.store, 'POST', target, {}
                )

    async def withdraw(self, draw: random.Random) -> None:
        """Takes a key away, as long as each organisation keeps one."""
        owners = list(self.keys.values())
        spare = [
            key for key, owner in self.keys.items() if owners.count(owner) > 1
        ]
        if not spare:
            return
        key = draw.choice(spare)
        self.keys.pop(key)
        payload = self.configuration()
        await asyncio.to_thread(self.deployment.put_configuration, payload)
        self.evidence.withdrawn.append(Withdrawal(key, time.monotonic()))

    async def leave(self, draw: random.Random) -> None:
        """Lets a server say that it leaves, while others remain."""
        names = sorted(self.deployment.servers)
        staying = [name for name in names if name not in self.evidence.leaving]
        if len(staying) <= len(names) // 2 or staying[0] in self.busy:
            return
        name = staying[0]
        self.evidence.leaving[name] = float('inf')
        await self.set_fault(self.deployment.servers[name], Fault(leaving=True))
        while not await asyncio.to_thread(self.deployment.is_leaving, name):
            await asyncio.sleep(REGISTER_POLL_S)
        self.evidence.leaving[name] = time.monotonic()

    async def collect_runs(self, name: str) -> None:
        """Takes over what ran at a server."""
        address = self.deployment.servers[name]
        with suppress(OSError):
            _, _, body = await asyncio.to_thread(
                call, address, 'GET', '/runs', {}
            )
            self.evidence.runs.extend(
                Run(attempt_id, organisation, name, at)
                for attempt_id, organisation, at in json.loads(body)
            )

    async def collect(self) -> None:
        """Takes over what ran at all servers."""
        for name in self.deployment.servers:
            await self.collect_runs(name)

    def close(self) -> None:
        """Ends all processes and links that the soak has started."""
        for links in (self.server_links, self.store_links, self.caller_links):
            for link in links.values():
                link.close()
        for process in self.deployment.processes.running.values():
            with suppress(OSError):
                process.send_signal(signal.SIGCONT)
        self.deployment.stop()


async def play(soak: Soak, seconds: float) -> Evidence:
    """Runs a soak and ends its processes."""
    try:
        return await soak.run(seconds)
    finally:
        soak.close()


def main(
    seed: int, seconds: float = 15, hosts: int = 6, servers: int = 6
) -> None:
    """Plays one seed."""
    directory = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(int(seed), directory, hosts, servers)
    evidence = asyncio.run(play(soak, seconds))
    breaches = evidence.breaches()
    served = sum(sent.status == 200 for sent in evidence.sent)
    print(
        json.dumps(
            {
                'seed': seed,
                'requests': len(evidence.sent),
                'served': served,
                'runs': len(evidence.runs),
                'faults': len(soak.played),
                'breaches': [msgspec.to_builtins(item) for item in breaches],
                'directory': str(directory),
            }
        )
    )
    sys.exit(1 if breaches or not served else 0)


if __name__ == '__main__':
    fire.Fire(main)
