"""Runs hosts, servers and callers under random faults: SEED [SECONDS].

`python -m soak.run SEED` prints one line of JSON and exits with 1 if a promise
was broken. `--hosts` and `--servers` set the size of the deployment.
"""

import asyncio
import contextlib
import json
import random
import signal
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
from soak.host_processes import HostProcesses
from soak.link import Link
from standins.backend import Fault
from standins.platform_deployment import BOUNDS, PlatformDeployment, call

# Seeds are spread over this many loopback networks, so that runs with different
# seeds rarely share addresses.
NETWORK_COUNT = 200
RATE_PER_S = 20
BURST = 10
ORGANISATIONS = ('village', 'town', 'valley')
KEYS_PER_ORGANISATION = 2
CALLERS_PER_KEY = 2
MEAN_REQUEST_INTERVAL_S = 0.12
WARM_UP_S = 3
# Seconds of load after the last fault: hosts regain contact with the store,
# then the longest bound, that of leaving servers, is tested for a while.
SETTLE_S = 8
# Mean seconds between the starts of two faults. Faults overlap, as they last up
# to 3 s and more.
MEAN_FAULT_INTERVAL_S = 0.8
# Seconds between checks whether the store has recorded that a server leaves.
LEAVING_POLL_S = 0.1
# Seconds after the end of a fault of the store or a host within which hosts
# regain contact with the store.
STORE_CONTACT_S = 3
GRACE_S = BOUNDS['graceS']


class Soak:
    """A deployment with its links and callers, and the faults injected into it.

    Attributes:
        evidence: Observations that are checked for broken promises.
        keys: Organisation of each valid key.
        version: Newest version of the configuration.
        hosts: Processes of the hosts; its `busy` also names the servers that a
            fault restarts or suspends now.
        injected: Names of the faults so far, in order.
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
        network = 30 + seed % NETWORK_COUNT
        self.deployment = PlatformDeployment(directory, network, hosts, servers)
        self.server_links = self.make_links(self.deployment.servers, 150)
        self.store_links = self.make_links(
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
            for index in range(KEYS_PER_ORGANISATION)
        }
        self.version = 1
        self.configuration = self.next_configuration()
        self.hosts = HostProcesses(self.deployment, self.evidence)
        self.injected: list[str] = []

    def make_links(self, targets: dict[str, str], last: int) -> dict[str, Link]:
        """Returns links to targets, by name.

        Args:
            targets: Address of each target, by name.
            last: Last octet of the IP address of the first link.
        """
        return {
            name: Link(
                self.deployment.address(last + index, 1),
                target,
                self.random.getrandbits(32),
            )
            for index, (name, target) in enumerate(targets.items())
        }

    def next_configuration(self) -> bytes:
        """Returns the configuration with the next version number, encoded."""
        self.version += 1
        tenants = [
            {
                'name': organisation,
                'apiKeys': [
                    key
                    for key, owner in self.keys.items()
                    if owner == organisation
                ],
                'ratePerS': RATE_PER_S,
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
        """Injects faults for some seconds; returns the observations."""
        for link in (*self.server_links.values(), *self.store_links.values()):
            await link.start()
        await asyncio.to_thread(self.deployment.start, self.configuration)
        self.caller_links = self.make_links(
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
                group.create_task(caller.run(MEAN_REQUEST_INTERVAL_S))
                for caller in self.make_callers()
            ]
            watching = group.create_task(self.hosts.watch())
            await self.inject_faults(seconds)
            await asyncio.sleep(SETTLE_S)
            for task in (watching, *callers):
                task.cancel()
        await self.collect_all_runs()
        return self.evidence

    def make_callers(self) -> list[Caller]:
        """Returns the callers of all keys and sets the bounds of the quotas."""
        window = self.evidence.quota_window_s
        bound = (RATE_PER_S * window + BURST) * (1 + BOUNDS['quotaOverage'])
        bound += BOUNDS['quotaSlack']
        self.evidence.quota_bounds = dict.fromkeys(ORGANISATIONS, bound)
        return [
            Caller(
                f'{key}-{index}',
                organisation,
                key,
                self.caller_links,
                self.evidence,
                self.hosts.stop_requested_at,
                self.random.getrandbits(32),
            )
            for key, organisation in self.keys.items()
            for index in range(CALLERS_PER_KEY)
        ]

    @contextlib.asynccontextmanager
    async def store_disruption(self) -> AsyncIterator[None]:
        """Records the context as a time without contact with the store."""
        start = time.monotonic()
        try:
            yield
        finally:
            end = time.monotonic() + STORE_CONTACT_S
            self.evidence.store_harm.append(Span(start, end))

    async def inject_fault(self, name: str, rng: random.Random) -> None:
        """Injects a fault and waits for its end."""
        if name in SERVER_FAULTS:
            await faults.get(name)(self, rng)
            return
        async with self.store_disruption():
            await faults.get(name)(self, rng)

    async def inject_faults(self, seconds: float) -> None:
        """Injects faults at random times and waits until all have ended."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                name = self.random.choice(faults.names())
                self.injected.append(name)
                rng = random.Random(self.random.getrandbits(32))
                group.create_task(self.inject_fault(name, rng))
                gap = self.random.expovariate(1 / MEAN_FAULT_INTERVAL_S)
                await asyncio.sleep(gap)

    def random_link(self, rng: random.Random) -> Link:
        """Returns a random link of a random kind."""
        links = rng.choice(
            (self.server_links, self.store_links, self.caller_links)
        )
        return links[rng.choice(sorted(links))]

    async def restart_server(self, name: str) -> None:
        """Kills a backend server and starts it again."""
        if name in self.hosts.busy or name in self.evidence.leaving:
            return
        self.hosts.busy.add(name)
        await self.collect_runs(name)
        self.deployment.processes.kill(name)
        await asyncio.sleep(self.random.uniform(0, 2))
        address = self.deployment.servers[name]
        zone = 'abc'[int(name.rpartition('-')[2]) % 3]
        await asyncio.to_thread(
            self.deployment.start_server, name, address, zone
        )
        self.hosts.busy.discard(name)

    async def pause(self, name: str, rng: random.Random) -> None:
        """Suspends a process for a while."""
        process = self.deployment.processes.running.get(name)
        if process is None or name in self.hosts.busy:
            return
        if name in self.evidence.leaving:
            # Requests that it got within its drain time would run after it.
            return
        self.hosts.busy.add(name)
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(rng.uniform(0.3, 4))
        finally:
            process.send_signal(signal.SIGCONT)
            self.hosts.busy.discard(name)

    async def set_fault(self, address: str, fault: object) -> None:
        """Sets the fault of a stand-in, if it can be reached."""
        with suppress(OSError):
            await asyncio.to_thread(self.deployment.set_fault, address, fault)

    async def write_configuration(self) -> None:
        """Writes the newest configuration to the store."""
        await asyncio.to_thread(
            self.deployment.put_configuration, self.configuration
        )

    async def withdraw_key(self, rng: random.Random) -> None:
        """Withdraws a random key of an organisation that has several."""
        owners = list(self.keys.values())
        candidates = [
            key for key, owner in self.keys.items() if owners.count(owner) > 1
        ]
        if not candidates:
            return
        key = rng.choice(candidates)
        self.keys.pop(key)
        self.configuration = self.next_configuration()
        await self.write_configuration()
        self.evidence.withdrawn.append(Withdrawal(key, time.monotonic()))

    async def announce_leaving(self, rng: random.Random) -> None:
        """Lets a server announce that it leaves, if more than half stay."""
        names = sorted(self.deployment.servers)
        staying = [name for name in names if name not in self.evidence.leaving]
        if len(staying) <= len(names) // 2 or staying[0] in self.hosts.busy:
            return
        name = staying[0]
        self.evidence.leaving[name] = float('inf')
        await self.set_fault(self.deployment.servers[name], Fault(leaving=True))
        while not await asyncio.to_thread(self.deployment.is_leaving, name):
            await asyncio.sleep(LEAVING_POLL_S)
        self.evidence.leaving[name] = time.monotonic()

    async def collect_runs(self, name: str) -> None:
        """Records the runs that a server reports."""
        address = self.deployment.servers[name]
        with suppress(OSError):
            _, _, body = await asyncio.to_thread(
                call, address, 'GET', '/runs', {}
            )
            self.evidence.runs.extend(
                Run(attempt_id, organisation, name, at)
                for attempt_id, organisation, at in json.loads(body)
            )

    async def collect_all_runs(self) -> None:
        """Records the runs that all servers report."""
        for name in self.deployment.servers:
            await self.collect_runs(name)

    def close(self) -> None:
        """Ends all processes and links that the soak started."""
        for links in (self.server_links, self.store_links, self.caller_links):
            for link in links.values():
                link.close()
        for process in self.deployment.processes.running.values():
            with suppress(OSError):
                process.send_signal(signal.SIGCONT)
        self.deployment.stop()


async def run_and_close(soak: Soak, seconds: float) -> Evidence:
    """Runs a soak and ends its processes in any case."""
    try:
        return await soak.run(seconds)
    finally:
        soak.close()


def main(
    seed: int, seconds: float = 15, hosts: int = 6, servers: int = 6
) -> None:
    """Runs the soak with one seed and prints its report.

    Args:
        seed: Seed of all random choices.
        seconds: Duration of the faults.
        hosts: Number of hosts.
        servers: Number of backend servers.
    """
    directory = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(int(seed), directory, hosts, servers)
    evidence = asyncio.run(run_and_close(soak, seconds))
    breaches = evidence.breaches()
    served = sum(sent.status == 200 for sent in evidence.sent)
    print(
        json.dumps(
            {
                'seed': seed,
                'requests': len(evidence.sent),
                'served': served,
                'runs': len(evidence.runs),
                'faults': len(soak.injected),
                'breaches': [msgspec.to_builtins(item) for item in breaches],
                'directory': str(directory),
            }
        )
    )
    sys.exit(1 if breaches or not served else 0)


if __name__ == '__main__':
    fire.Fire(main)
