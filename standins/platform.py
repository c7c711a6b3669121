"""Stand-in for the platform: log service and lists in one process.

Run as `python -m standins.platform ADDRESS PORT`. Faults are set with
`PUT /fault` and a body of `Fault`. A host of the fleet registers itself by
no call: whoever starts the processes sends the lists with `PUT /hosts` and
`PUT /endpoints`.
"""

import asyncio
import base64
from collections import defaultdict

import fire
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from teaselcove.events import EndpointEntry, HostEntry

UNAVAILABLE_STATUS = 503
MAX_READ_RECORDS = 500


class Fault(msgspec.Struct):
    """What is wrong with the service.

    Attributes:
        down: No call succeeds; connections are dropped without an answer.
        lose_replies: Appends take effect but are not answered.
        delay: Seconds by which each call is late.
    """

    down: bool = False
    lose_replies: bool = False
    delay: float = 0


class Stream(msgspec.Struct):
    """Records of a stream from the first that is still kept."""

    first_offset: int = 0
    records: list[bytes] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self.records)


class Platform:
    """State of the stand-in and its HTTP handlers."""

    def __init__(self) -> None:
        self.fault = Fault()
        self.streams: defaultdict[str, Stream] = defaultdict(
            lambda: Stream(records=[])
        )
        self.hosts: list[HostEntry] = []
        self.endpoints: list[EndpointEntry] = []

    async def wait_for_fault(self) -> Response | None:
        """Waits as the fault says; returns a failure or None."""
        await asyncio.sleep(self.fault.delay)
        if self.fault.down:
            return Response(status_code=UNAVAILABLE_STATUS)
        return None

    async def append(self, request: Request) -> Response:
        """Appends the body to a stream."""
        failure = await self.wait_for_fault()
        if failure is not None:
            return failure
        stream = self.streams[request.path_params['name']]
        offset = stream.next_offset
        stream.records.append(await request.body())
        if self.fault.lose_replies:
            return Response(status_code=UNAVAILABLE_STATUS)
        return answer({'offset': offset})

    async def read(self, request: Request) -> Response:
        """Returns the records of a stream from an offset."""
        failure = await self.wait_for_fault()
        if failure is not None:
            return failure
        stream = self.streams[request.path_params['name']]
        wanted = int(request.query_params.get('from', '0'))
        start = max(wanted, stream.first_offset)
        index = start - stream.first_offset
        found = stream.records[index : index + MAX_READ_RECORDS]
        records = [
            (start + place, base64.b64encode(payload).decode())
            for place, payload in enumerate(found)
        ]
        return answer(
            {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
                'records': records,
            }
        )

    async def truncate(self, request: Request) -> Response:
        """Drops the records before an offset, as retention does."""
        stream = self.streams[request.path_params['name']]
        first = int(request.query_params['first'])
        stream.records = stream.records[first - stream.first_offset :]
        stream.first_offset = first
        return answer({'first_offset': first})

    async def change_fault(self, request: Request) -> Response:
        """Sets what is wrong with the service."""
        self.fault = msgspec.json.decode(await request.body(), type=Fault)
        return answer(self.fault)

    async def list_hosts(self, request: Request) -> Response:
        """Returns the list of hosts."""
        return await self.wait_for_fault() or answer(self.hosts)

    async def replace_hosts(self, request: Request) -> Response:
        """Replaces the list of hosts."""
        self.hosts = msgspec.json.decode(
            await request.body(), type=list[HostEntry]
        )
        return answer(self.hosts)

    async def list_endpoints(self, request: Request) -> Response:
        """Returns the list of backend servers."""
        return await self.wait_for_fault() or answer(self.endpoints)

    async def replace_endpoints(self, request: Request) -> Response:
        """Replaces the list of backend servers."""
        self.endpoints = msgspec.json.decode(
            await request.body(), type=list[EndpointEntry]
        )
        return answer(self.endpoints)

    def application(self) -> Starlette:
        """Returns the HTTP application."""
        return Starlette(
            routes=[
                Route('/streams/{name}', self.append, methods=['POST']),
                Route('/streams/{name}', self.read, methods=['GET']),
                Route('/streams/{name}', self.truncate, methods=['DELETE']),
                Route('/fault', self.change_fault, methods=['PUT']),
                Route('/hosts', self.list_hosts, methods=['GET']),
                Route('/hosts', self.replace_hosts, methods=['PUT']),
                Route('/endpoints', self.list_endpoints, methods=['GET']),
                Route('/endpoints', self.replace_endpoints, methods=['PUT']),
            ]
        )


def answer(body: object) -> Response:
    """Returns a JSON response."""
    return Response(msgspec.json.encode(body), media_type='application/json')


def main(address: str, port: int) -> None:
    """Serves the stand-in until the process is ended."""
    uvicorn.run(
        Platform().application(),
        host=address,
        port=port,
        log_level='warning',
    )


if __name__ == '__main__':
    fire.Fire(main)
