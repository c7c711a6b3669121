"""Stand-in for a backend server of the users' platform.

Run as `python -m standins.platform_server ADDRESS PORT ID ZONE STORE`. It
registers itself in the store at STORE and else behaves as
`standins.backend`, with the platform's names.
"""

import asyncio
import time

import aiohttp
import fire
import msgspec
import uvicorn
from starlette.requests import Request
from starlette.responses import Response

from standins.backend import SLOTS, Backend
from teaselcove.platform import headers as names
from teaselcove.platform.records import SERVERS_TOPIC

HEARTBEAT_S = 0.5
MISDIRECTED_STATUS = 421
MS_PER_S = 1000
SERVICE = 'job'


class PlatformServer(Backend):
    """A backend server that registers itself in the store."""

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

    async def call(self, request: Request) -> Response:
        """Runs a call that is meant for this server."""
        expected = request.headers.get(names.EXPECTED_SERVER, self.server)
        if expected != self.server:
            return Response(status_code=MISDIRECTED_STATUS)
        return await super().call(request)

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
        url = f'http://{self.store}/record'
        query = {'topic': SERVERS_TOPIC, 'key': self.server}
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.put(url, params=query, data=self.entry()):
                    await asyncio.sleep(HEARTBEAT_S)


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


def main(address: str, port: int, server: str, zone: str, store: str) -> None:
    """Runs the stand-in."""
    own = PlatformServer(server, f'{address}:{port}', zone, store)
    asyncio.run(serve(own, address, port))


if __name__ == '__main__':
    fire.Fire(main)
