"""Stand-in for a backend server of the users' platform.

Run as `python -m standins.platform_server ADDRESS PORT ID ZONE STORE`, with
`--advertised=ADDRESS:PORT` if hosts are to use another address. It registers
itself in the store at STORE and else behaves as `standins.backend`, with the
platform's names. `GET /runs` shows what ran here and when.
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
from teaselcove.platform import headers as names
from teaselcove.platform.records import SERVERS_TOPIC

HEARTBEAT_S = 0.5
PUT_TIMEOUT = aiohttp.ClientTimeout(total=1)
MISDIRECTED_STATUS = 421
MS_PER_S = 1000
SERVICE = 'job'


class PlatformServer(Backend):
    """A backend server that registers itself in the store.

    Attributes:
        runs_in_order: Request, organisation and monotonic time of each run.
    """

    request_id_header = names.ATTEMPT_ID
    organisation_header = names.ORGANISATION
    shed_header = names.NOT_EXECUTED
    call_header = names.ATTEMPT_ID

    def __init__(self, server: str, address: str, zone: str, store: str):
        super().__init__(server)
        self.address = address
        self.zone = zone
        self.store = store
        self.born = int(time.time() * MS_PER_S)
        self.beats = 0
        self.runs_in_order: list[tuple[str, str, float]] = []

    async def call(self, request: Request) -> Response:
        """Runs a call that is meant for this server."""
        expected = request.headers.get(names.EXPECTED_SERVER, self.server)
        if expected != self.server:
            return Response(status_code=MISDIRECTED_STATUS)
        return await super().call(request)

    async def run(self, request: Request, body: bytes) -> Response:
        """Runs a call and keeps when it started."""
        self.runs_in_order.append(
            (
                request.headers.get(names.ATTEMPT_ID, ''),
                request.headers.get(names.ORGANISATION, ''),
                time.monotonic(),
            )
        )
        return await super().run(request, body)

    async def show_runs(self, request: Request) -> Response:
        """Shows what ran here and when."""
        return Response(msgspec.json.encode(self.runs_in_order))

    def application(self) -> Starlette:
        """Returns the HTTP application."""
        application = super().application()
        application.routes.insert(0, Route('/runs', self.show_runs))
        return application

    def answer(self, request: Request, call: str | None) -> Response:
        """Returns a signed answer."""
        response = super().answer(request, call)
        response.headers[names.SIGNATURE] = f'signed-by-{self.server}'
        return response

    def entry(self) -> bytes:
        """Returns what the server says about itself."""
        self.beats += 1
        return msgspec.json.encode(
            {
                'service': SERVICE,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'maxConcurrency': SLOTS,
                'state': 'draining' if self.fault.leaving else 'ready',
                'warmupLeftMs': 0,
                'sequence': self.beats,
                'born': self.born,
            }
        )

    async def register(self) -> None:
        """Writes the entry to the store at intervals."""
        async with aiohttp.ClientSession() as session:
            while True:
                # A store that is away does not end the server.
                with suppress(aiohttp.ClientError, TimeoutError):
                    await self.put_entry(session)
                await asyncio.sleep(HEARTBEAT_S)

    async def put_entry(self, session: aiohttp.ClientSession) -> None:
        """Writes the entry to the store."""
        query = {'topic': SERVERS_TOPIC, 'key': self.server}
        url = f'http://{self.store}/record'
        request = session.put(
            url, params=query, data=self.entry(), timeout=PUT_TIMEOUT
        )
        async with request as response:
            await response.read()


async def serve(server: PlatformServer, address: str, port: int) -> None:
    """Serves and registers until the process is ended."""
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
    reached_at = advertised or f'{address}:{port}'
    own = PlatformServer(server, reached_at, zone, store)
    asyncio.run(serve(own, address, port))


if __name__ == '__main__':
    fire.Fire(main)
