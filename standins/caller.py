"""Stand-in for the callers of one organisation, run as a separate process.

Run as `python -m standins.caller PLAN`, where PLAN is a JSON file that holds a
`Plan`. Each call is written as one line of JSON to the output file.
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

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 3
MIN_REFRESH_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.05
KEPT_CONNECTIONS = 20
NEVER = 1e9
OK_STATUS = 200


class Surge(msgspec.Struct, frozen=True):
    """Period in which the organisation sends a multiple of its load.

    `start` and `end` are seconds since the start of the plan.
    """

    start: float = NEVER
    end: float = NEVER
    factor: float = 1


class Plan(msgspec.Struct, frozen=True):
    """Load that the callers of an organisation send.

    Attributes:
        rate: Calls per second.
        booking_share: Share of calls that must run at most once.
        start_at: Unix time of the first call.
        duration: Seconds for which calls are sent.
        seeds: Addresses of the hosts that are known at the start.
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
    """Record of a call, written as one line of JSON.

    Attributes:
        booking: Whether the call must run at most once.
        sent_at: Unix time at which the first attempt started.
        done_at: Unix time at which the last attempt ended.
        outcomes: Outcome and reason of each attempt.
        own: Whether a complete answer belongs to this call.
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
        """Outcome of the last attempt."""
        return self.outcomes[-1][0] if self.outcomes else 'none'

    @property
    def reason(self) -> str:
        """Reason of the last attempt."""
        return self.outcomes[-1][1] if self.outcomes else 'none'


class Caller:
    """Sends calls at a given rate and records their outcomes."""

    def __init__(self, plan: Plan, output: IO[bytes]) -> None:
        self.plan = plan
        self.output = output
        self.random = random.Random(plan.organisation)
        self.hosts = list(plan.seeds)
        self.hosts_expire_at = float(0)
        self.call_numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.headers = {'authorization': f'Bearer {plan.key}'}

    async def run(self) -> None:
        """Sends calls until the end of the plan."""
        await asyncio.sleep(max(0, self.plan.start_at - time.time()))
        end = self.plan.start_at + self.plan.duration
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self.session = session
            while time.time() < end:
                self.start_call()
                await asyncio.sleep(self.next_delay())
            await asyncio.gather(*self.tasks)

    def next_delay(self) -> float:
        """Returns a random number of seconds until the next call."""
        elapsed = time.time() - self.plan.start_at
        surge = self.plan.surge
        factor = surge.factor if surge.start <= elapsed < surge.end else 1
        return self.random.expovariate(self.plan.rate * factor)

    def start_call(self) -> None:
        """Starts a call in a separate task."""
        booking = self.random.random() < self.plan.booking_share
        call_id = f'{self.plan.organisation}-{next(self.call_numbers)}'
        line = Line(
            call_id, self.plan.organisation, booking, time.time(), outcomes=[]
        )
        task = asyncio.get_running_loop().create_task(self.call(line))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, line: Line) -> None:
        """Sends a call to several hosts in turn until its outcome is final."""
        service = self.random.choice(self.plan.services)
        method = 'POST' if line.booking else 'GET'
        path = f'/{service}/{line.call}'
        headers = {**self.headers, CALL_HEADER: line.call}
        if line.booking:
            headers['idempotency-key'] = line.call
        for host in await self.choose_hosts():
            result = await self.send_attempt(
                line, method, f'http://{host}{path}', headers
            )
            line.outcomes.append(result)
            if result[0] == 'complete' or result[1] in {'rate', 'bad-key'}:
                break
            self.demote(host, result)
            await asyncio.sleep(RETRY_DELAY_S)
        line.done_at = time.time()
        self.output.write(msgspec.json.encode(line))
        self.output.write(b'\n')
        self.output.flush()

    def demote(self, host: str, result: tuple[str, str]) -> None:
        """Moves an unreachable host to the end of the list."""
        if result[1] == 'connection' and host in self.hosts:
            self.hosts.remove(host)
            self.hosts.append(host)

    async def choose_hosts(self) -> list[str]:
        """Returns the hosts to try, refreshing an expired host list."""
        if time.time() >= self.hosts_expire_at:
            self.hosts_expire_at = time.time() + MIN_REFRESH_INTERVAL_S
            await self.refresh_hosts()
        return self.hosts[:MAX_ATTEMPTS]

    async def refresh_hosts(self) -> None:
        """Fetches the list of hosts to use from the first host that answers."""
        for host in (*self.hosts[:MAX_ATTEMPTS], *self.plan.seeds):
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
                self.hosts_expire_at = time.time() + answer['lifetime']
            return

    async def send_attempt(
        self, line: Line, method: str, url: str, headers: dict[str, str]
    ) -> tuple[str, str]:
        """Sends one attempt; returns its outcome and reason."""
        try:
            async with self.session.request(
                method, url, headers=headers
            ) as response:
                return read_outcome(line, response, await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return 'unknown', 'connection'


def read_outcome(
    line: Line, response: aiohttp.ClientResponse, body: bytes
) -> tuple[str, str]:
    """Returns the outcome and reason stated in the response headers.

    Records whether the answer to a complete call belongs to it.
    """
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
