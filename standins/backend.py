"""Stand-in for a backend server, with faults that can be injected at run time.

Run as `python -m standins.backend ADDRESS PORT SERVER_ID`. `PUT /fault` takes
a `Fault` as its JSON body; `GET /report` returns counts of the calls handled.
"""

import asyncio
import os
import random
import time
from collections import Counter, deque

import fire
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from teaselcove.proxy import (
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    SHED_HEADER,
    SHED_STATUS,
)

SLOTS = 3
QUEUE_CAPACITY = 3
SERVICE_TIME_S = 0.01
KEY_PREFIX = 'tc_'
CRASH_MARKER = b'crash'
CRASH_EXIT_CODE = 70
ERROR_STATUS = 500
CALL_HEADER = 'x-call-id'
LIMIT_HEADER = 'server-limit'
# Latest arrivals in the report.
MAX_ARRIVALS = 10_000
METHODS = ('GET', 'POST', 'PUT', 'DELETE')

OTHER_REQUEST = 'other'


class Fault(msgspec.Struct):
    """Faults that the server currently injects.

    Attributes:
        stall: Calls never finish, while health checks still succeed.
        slow_factor: Multiplier of the service time.
        error_share: Share of calls answered with status 500.
        truncate_share: Share of answers whose body is truncated.
        wrong_id: Answers belong to another request and carry its id.
        leaving: The server is draining.
        limit: Requests per second that the answers name as the limit, or None.
    """

    stall: bool = False
    slow_factor: float = 1
    error_share: float = 0
    truncate_share: float = 0
    wrong_id: bool = False
    leaving: bool = False
    limit: float | None = None


class Backend:
    """State of the server and its HTTP handlers.

    Attributes:
        running: Calls that hold or wait for a slot.
        runs: Number of runs of each call, by the caller's call id.
        arrived_at: When each call arrived, on the monotonic clock.
        keys_seen: Number of requests that carried a caller's API key.
    """

    request_id_header = REQUEST_ID_HEADER
    organisation_header = ORGANISATION_HEADER
    shed_header = SHED_HEADER
    call_header = CALL_HEADER

    def __init__(self, server: str) -> None:
        self.server = server
        self.fault = Fault()
        self.running = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs: Counter[str] = Counter()
        self.organisations: Counter[str] = Counter()
        self.arrived_at: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self.keys_seen = 0
        self.shed = 0
        self.random = random.Random(server)

    async def call(self, request: Request) -> Response:
        """Runs a call once a slot is free, or sheds it if the queue is full."""
        self.arrived_at.append(time.monotonic())
        body = await request.body()
        if self.running >= SLOTS + QUEUE_CAPACITY:
            self.shed += 1
            request_id = request.headers.get(self.request_id_header, '')
            return Response(
                status_code=SHED_STATUS,
                headers={
                    self.shed_header: '1',
                    self.request_id_header: request_id,
                },
            )
        self.running += 1
        try:
            async with self.slots:
                return await self.run(request, body)
        finally:
            self.running -= 1

    async def run(self, request: Request, body: bytes) -> Response:
        """Executes a call and counts the run.

        A non-idempotent call must get here at most once.
        """
        if CRASH_MARKER in body:
            os._exit(CRASH_EXIT_CODE)
        values = ' '.join(request.headers.values())
        self.keys_seen += KEY_PREFIX in values
        organisation = request.headers.get(self.organisation_header, '')
        self.organisations[organisation] += 1
        call = request.headers.get(self.call_header)
        if call:
            self.runs[call] += 1
        mean = SERVICE_TIME_S * self.fault.slow_factor
        await asyncio.sleep(self.random.expovariate(1 / mean))
        while self.fault.stall:
            await asyncio.sleep(SERVICE_TIME_S)
        return self.build_response(request, call)

    def build_response(self, request: Request, call: str | None) -> Response:
        """Returns the answer to a call, altered by the current fault."""
        request_id = request.headers.get(self.request_id_header, '')
        path = request.url.path
        if self.fault.wrong_id:
            request_id = OTHER_REQUEST
            call = OTHER_REQUEST
            path = f'/{OTHER_REQUEST}'
        body = msgspec.json.encode(
            {'server': self.server, 'path': path, 'call': call}
        )
        headers = {
            'content-type': 'application/json',
            'content-length': str(len(body)),
            self.request_id_header: request_id,
        }
        if self.random.random() < self.fault.truncate_share:
            body = body[: len(body) // 2]
        if self.fault.leaving:
            headers['teaselcove-leaving'] = '1'
        if self.fault.limit is not None:
            headers[LIMIT_HEADER] = str(self.fault.limit)
        failed = self.random.random() < self.fault.error_share
        status = ERROR_STATUS if failed else 200
        response = Response(status_code=status, headers=headers)
        response.body = body
        return response

    async def change_fault(self, request: Request) -> Response:
        """Replaces the injected faults."""
        self.fault = msgspec.json.decode(await request.body(), type=Fault)
        return Response(status_code=204)

    async def health(self, request: Request) -> Response:
        """Reports the server as healthy, whatever the fault."""
        return Response(b'ok')

    async def report(self, request: Request) -> Response:
        """Returns counts of the calls handled."""
        counts = {
            'server': self.server,
            'runs': self.runs,
            'organisations': self.organisations,
            'keys_seen': self.keys_seen,
            'shed': self.shed,
            'arrived_at': list(self.arrived_at),
        }
        return Response(msgspec.json.encode(counts))

    def application(self) -> Starlette:
        """Returns the HTTP application."""
        return Starlette(
            routes=[
                Route('/fault', self.change_fault, methods=['PUT']),
                Route('/health', self.health),
                Route('/report', self.report),
                Route('/{path:path}', self.call, methods=METHODS),
            ]
        )


def main(address: str, port: int, server: str) -> None:
    """Serves until the process is terminated."""
    uvicorn.run(
        Backend(server).application(),
        host=address,
        port=port,
        log_level='error',
    )


if __name__ == '__main__':
    fire.Fire(main)
