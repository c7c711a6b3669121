"""Stand-in for a backend server of the users' platform.

Run as `python -m standins.platform_server ADDRESS PORT ID ZONE STORE`, with
`--advertised=ADDRESS:PORT` if hosts must reach it at another address. The
server registers itself in the store at STORE. Otherwise it behaves like
`standins.backend`, with the header names of the platform. `GET /runs` lists
the calls that ran, with their start times.
"""

import asyncio
import time
from contextlib import suppress

import aiohttp
import fire
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.backend import SLOTS, Backend
from teaselcove.platform import headers as header_names
from teaselcove.platform.records import SERVERS_TOPIC

HEARTBEAT_INTERVAL_S = 0.5
PUT_TIMEOUT = aiohttp.ClientTimeout(total=1)
MISDIRECTED_STATUS = 421
MS_PER_S = 1000
SERVICE = 'job'


class PlatformServer(Backend):
    """A backend server that registers itself in the store.

    Attributes:
        born: Unix time of the start in milliseconds.
        sequence: Number of registrations so far.
        runs_in_order: Attempt id, organisation and monotonic start time of
            each run.
    """

    request_id_header = header_names.ATTEMPT_ID
    organisation_header = header_names.ORGANISATION
    shed_header = header_names.NOT_EXECUTED
    call_header = header_names.ATTEMPT_ID

    def __init__(self, server: str, address: str, zone: str, store: str):
        super().__init__(server)
        self.address = address
        self.zone = zone
        self.store = store
        self.born = int(time.time() * MS_PER_S)
        self.sequence = 0
        self.runs_in_order: list[tuple[str, str, float]] = []

    async def call(self, request: Request) -> Response:
        """Runs a call, or rejects one addressed to another server."""
        expected = request.headers.get(
            header_names.EXPECTED_SERVER, self.server
        )
        if expected != self.server:
            return Response(status_code=MISDIRECTED_STATUS)
        return await super().call(request)

    async def run(self, request: Request, body: bytes) -> Response:
        """Runs a call and records its start time."""
        self.runs_in_order.append(
            (
                request.headers.get(header_names.ATTEMPT_ID, ''),
                request.headers.get(header_names.ORGANISATION, ''),
                time.monotonic(),
            )
        )
        return await super().run(request, body)

    async def show_runs(self, request: Request) -> Response:
        """Returns the runs with their start times."""
        return Response(msgspec.json.encode(self.runs_in_order))

    def application(self) -> Starlette:
        """Returns the HTTP application."""
        application = super().application()
        application.routes.insert(0, Route('/runs', self.show_runs))
        return application

    def build_response(self, request: Request, call: str | None) -> Response:
        """Returns a signed answer."""
        response = super().build_response(request, call)
        response.headers[header_names.SIGNATURE] = f'signed-by-{self.server}'
        return response

    def entry(self) -> bytes:
        """Returns the next registration of the server."""
        self.sequence += 1
        return msgspec.json.encode(
            {
                'service': SERVICE,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'maxConcurrency': SLOTS,
                'state': 'draining' if self.fault.leaving else 'ready',
                'warmupLeftMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
        )

    async def register(self) -> None:
        """Writes the registration to the store periodically."""
        async with aiohttp.ClientSession() as session:
            while True:
                # An unavailable store must not stop the server.
                with suppress(aiohttp.ClientError, TimeoutError):
                    await self.put_entry(session)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def put_entry(self, session: aiohttp.ClientSession) -> None:
        """Writes the registration to the store."""
        query = {'topic': SERVERS_TOPIC, 'key': self.server}
        url = f'http://{self.store}/record'
        request = session.put(
            url, params=query, data=self.entry(), timeout=PUT_TIMEOUT
        )
        async with request as response:
            await response.read()


async def serve(server: PlatformServer, address: str, port: int) -> None:
    """Serves and keeps registering until the process is terminated."""
    config = uvicorn.Config(
        server.application(), host=address, port=port, log_level='error'
    )
    register = asyncio.get_running_loop().create_task(server.register())
    try:
        await uvicorn.Server(config).serve()
    finally:
        register.cancel()


def main(
    address: str,
    port: int,
    server: str,
    zone: str,
    store: str,
    advertised: str = '',
) -> None:
    """Runs the stand-in."""
    reachable_address = advertised or f'{address}:{port}'
    stub = PlatformServer(server, reachable_address, zone, store)
    asyncio.run(serve(stub, address, port))


if __name__ == '__main__':
    fire.Fire(main)
