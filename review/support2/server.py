"""Stand-in for a backend server."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from review.support2 import http
from review.support2.store import Store

HEARTBEAT_S = 1.5
SLOTS = 3


class Server:
    """A backend server that registers itself in the store.

    Attributes:
        work: Produces the answer to a request; set by the case.
        work_s: Seconds of work for a request.
        ran: Attempt id, organisation and time of the requests that it began to
            run.
    """

    def __init__(
        self, store: Store, ip: str, name: str, zone: str, service: str
    ) -> None:
        self.store = store
        self.ip = ip
        self.port = 0
        self.name = name
        self.zone = zone
        self.service = service
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work: Callable[[http.Message], Awaitable[bytes]] = self.echo
        self.work_s = 0.05
        self.ran: list[tuple[str, str, float]] = []
        self.slots = asyncio.Semaphore(SLOTS)

    async def start(self) -> None:
        """Starts to listen and to register."""
        server = await asyncio.start_server(self.serve, self.ip, 0, limit=2**20)
        self.port = server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.register())

    async def register(self) -> None:
        """Writes the entry of the server at each heartbeat."""
        while True:
            self.sequence += 1
            entry = {
                'service': self.service,
                'address': f'{self.ip}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'maxConcurrency': SLOTS,
                'state': 'ready',
                'warmupLeftMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
            text = json.dumps(entry).encode()
            self.store.put('keyed.servers', self.name, text)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        try:
            while True:
                request = await http.read_message(reader)
                async with self.slots:
                    writer.write(await self.work(request))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            writer.close()

    def begin(self, request: http.Message) -> None:
        """Records that a request begins to run."""
        attempt = request.headers.get('attempt-id', '')
        tenant = request.headers.get('tenant', '')
        self.ran.append((attempt, tenant, time.monotonic()))

    async def echo(self, request: http.Message) -> bytes:
        """Runs a request and answers with its size."""
        expected = request.headers.get('expect-instance')
        if expected not in {None, self.name}:
            return http.response(421, {'instance-id': self.name})
        self.begin(request)
        await asyncio.sleep(self.work_s)
        return http.response(
            200,
            self.signed(request),
            f'{len(request.body)} bytes'.encode(),
        )

    def signed(self, request: http.Message) -> dict[str, str]:
        """Returns the headers of an answer."""
        return {
            'attempt-id': request.headers.get('attempt-id', ''),
            'response-signature': f'signed-by-{self.name}',
        }
