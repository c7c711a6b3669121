"""Stand-in for the callers of one organisation, as a process of its own.

Run as `python -m standins.caller PLAN`, where PLAN is a JSON file of `Plan`.
Each call becomes one line of JSON in the output file.
"""

import asyncio
import itertools
import random
import time
from pathlib import Path
from typing import IO

import aiohttp
import fire
import msgspec

from standins.backend import CALL_HEADER

TRIES = 3
TRY_TIMEOUT_S = 3
MIN_LIFETIME_S = 0.5
PAUSE_BEFORE_RETRY_S = 0.05
KEPT_CONNECTIONS = 20
FOREVER = 1e9
OK_STATUS = 200


class Surge(msgspec.Struct, frozen=True):
    """A time in which the organisation sends a multiple of its load."""

    start: float = FOREVER
    end: float = FOREVER
    factor: float = 1


class Plan(msgspec.Struct, frozen=True):
    """What the callers of an organisation do.

    Attributes:
        rate: Calls per second.
        booking_share: Share of calls that may not be repeated.
        start_at: Unix time of the first call.
        duration: Seconds of sending.
        seeds: Addresses of hosts to ask first.
    """

    organisation: str
    key: str
    rate: float
    booking_share: float
    start_at: float
    duration: float
    seeds: list[str]
    services: list[str]
    output: str
    surge: Surge = Surge()


class Line(msgspec.Struct):
    """What became of a call.

    Attributes:
        sent_at: Unix time of the first try.
        done_at: Unix time of the last try's end.
        outcomes: Outcome and reason of each try.
        own: Whether a complete answer was the one to this call.
    """

    call: str
    organisation: str
    booking: bool
    sent_at: float
    done_at: float = 0
    outcomes: list[tuple[str, str]] = []
    own: bool = True

    @property
    def outcome(self) -> str:
        """Outcome of the last try."""
        return self.outcomes[-1][0] if self.outcomes else 'none'

    @property
    def reason(self) -> str:
        """Reason of the last try's refusal."""
        return self.outcomes[-1][1] if self.outcomes else 'none'


class Caller:
    """Sends calls at a rate and keeps what became of them."""

    def __init__(self, plan: Plan, output: IO[bytes]) -> None:
        self.plan = plan
        self.output = output
        self.random = random.Random(plan.organisation)
        self.hosts = list(plan.seeds)
        self.fresh_until = float(0)
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.headers = {'authorization': f'Bearer {plan.key}'}

    async def run(self) -> None:
        """Sends calls until the plan ends."""
        await asyncio.sleep(max(0, self.plan.start_at - time.time()))
        end = self.plan.start_at + self.plan.duration
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=TRY_TIMEOUT_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self.session = session
            while time.time() < end:
                self.start_call()
                await asyncio.sleep(self.pause())
            await asyncio.gather(*self.tasks)

    def pause(self) -> float:
        """Returns the time until the next call."""
        elapsed = time.time() - self.plan.start_at
        surge = self.plan.surge
        factor = surge.factor if surge.start <= elapsed < surge.end else 1
        return self.random.expovariate(self.plan.rate * factor)

    def start_call(self) -> None:
        """Starts a call in a task of its own."""
        booking = self.random.random() < self.plan.booking_share
        name = f'{self.plan.organisation}-{next(self.numbers)}'
        line = Line(
            name, self.plan.organisation, booking, time.time(), outcomes=[]
        )
        task = asyncio.get_running_loop().create_task(self.call(line))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, line: Line) -> None:
        """Tries a call at several hosts until its outcome is settled."""
        service = self.random.choice(self.plan.services)
        method = 'POST' if line.booking else 'GET'
        path = f'/{service}/{line.call}'
        headers = {**self.headers, CALL_HEADER: line.call}
        if line.booking:
            headers['idempotency-key'] = line.call
        for host in await self.choose_hosts():
            found = await self.try_host(
                line, method, f'http://{host}{path}', headers
            )
            line.outcomes.append(found)
            if found[0] == 'complete' or found[1] in {'rate', 'bad-key'}:
                break
            self.demote(host, found)
            await asyncio.sleep(PAUSE_BEFORE_RETRY_S)
        line.done_at = time.time()
        self.output.write(msgspec.json.encode(line))
        self.output.write(b'\n')
        self.output.flush()

    def demote(self, host: str, found: tuple[str, str]) -> None:
        """Tries a host that does not answer last from now on."""
        if found[1] == 'connection' and host in self.hosts:
            self.hosts.remove(host)
            self.hosts.append(host)

    async def choose_hosts(self) -> list[str]:
        """Returns the hosts to try, from the fleet's own answer."""
        if time.time() >= self.fresh_until:
            self.fresh_until = time.time() + MIN_LIFETIME_S
            await self.refresh()
        return self.hosts[:TRIES]

    async def refresh(self) -> None:
        """Asks any host which hosts to use."""
        for host in (*self.hosts[:TRIES], *self.plan.seeds):
            try:
                async with self.session.get(
                    f'http://{host}/teaselcove/hosts', headers=self.headers
                ) as response:
                    answer = msgspec.json.decode(await response.read())
            except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
                continue
            addresses = answer.get('addresses')
            if addresses:
                self.hosts = addresses
                self.fresh_until = time.time() + answer['lifetime']
            return

    async def try_host(
        self, line: Line, method: str, url: str, headers: dict[str, str]
    ) -> tuple[str, str]:
        """Returns outcome and reason of one try."""
        try:
            async with self.session.request(
                method, url, headers=headers
            ) as response:
                return judge(line, response, await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return 'unknown', 'connection'


def judge(
    line: Line, response: aiohttp.ClientResponse, body: bytes
) -> tuple[str, str]:
    """Returns outcome and reason that an answer states."""
    outcome = response.headers.get('teaselcove-outcome', 'none')
    if outcome == 'complete' and response.status == OK_STATUS:
        line.own = line.call.encode() in body
    return outcome, response.headers.get('teaselcove-reason', '')


def main(plan: str) -> None:
    """Runs the callers of a plan."""
    loaded = msgspec.json.decode(Path(plan).read_bytes(), type=Plan)
    with Path(loaded.output).open('wb') as output:
        asyncio.run(Caller(loaded, output).run())


if __name__ == '__main__':
    fire.Fire(main)
