"""Stand-in for the platform: log service and lists in one process.

Run as `python -m standins.platform ADDRESS PORT`. `PUT /fault` takes a `Fault`
as its JSON body. Hosts do not register themselves: the program that starts the
processes sends the lists with `PUT /hosts` and `PUT /endpoints`.
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
    """Faults that the service currently injects.

    Attributes:
        down: All requests fail with status 503.
        lose_replies: Appends take effect but fail with status 503.
        delay: Seconds by which each request is delayed.
    """

    down: bool = False
    lose_replies: bool = False
    delay: float = 0


class Stream(msgspec.Struct):
    """Retained records of a stream."""

    first_offset: int = 0
    records: list[bytes] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
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

    async def apply_fault(self) -> Response | None:
        """Applies the injected faults; returns an error response or None."""
        await asyncio.sleep(self.fault.delay)
        if self.fault.down:
            return Response(status_code=UNAVAILABLE_STATUS)
        return None

    async def append(self, request: Request) -> Response:
        """Appends the body to a stream."""
        failure = await self.apply_fault()
        if failure is not None:
            return failure
        stream = self.streams[request.path_params['name']]
        offset = stream.next_offset
        stream.records.append(await request.body())
        if self.fault.lose_replies:
            return Response(status_code=UNAVAILABLE_STATUS)
        return json_response({'offset': offset})

    async def read(self, request: Request) -> Response:
        """Returns the records of a stream from an offset."""
        failure = await self.apply_fault()
        if failure is not None:
            return failure
        stream = self.streams[request.path_params['name']]
        requested = int(request.query_params.get('from', '0'))
        start = max(requested, stream.first_offset)
        index = start - stream.first_offset
        page = stream.records[index : index + MAX_READ_RECORDS]
        records = [
            (start + position, base64.b64encode(payload).decode())
            for position, payload in enumerate(page)
        ]
        return json_response(
            {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
                'records': records,
            }
        )

    async def truncate(self, request: Request) -> Response:
        """Deletes the records before an offset, as a retention limit would."""
        stream = self.streams[request.path_params['name']]
        first = int(request.query_params['first'])
        stream.records = stream.records[first - stream.first_offset :]
        stream.first_offset = first
        return json_response({'first_offset': first})

    async def change_fault(self, request: Request) -> Response:
        """Replaces the injected faults."""
        self.fault = msgspec.json.decode(await request.body(), type=Fault)
        return json_response(self.fault)

    async def list_hosts(self, request: Request) -> Response:
        """Returns the list of hosts."""
        return await self.apply_fault() or json_response(self.hosts)

    async def replace_hosts(self, request: Request) -> Response:
        """Replaces the list of hosts."""
        self.hosts = msgspec.json.decode(
            await request.body(), type=list[HostEntry]
        )
        return json_response(self.hosts)

    async def list_endpoints(self, request: Request) -> Response:
        """Returns the list of backend servers."""
        return await self.apply_fault() or json_response(self.endpoints)

    async def replace_endpoints(self, request: Request) -> Response:
        """Replaces the list of backend servers."""
        self.endpoints = msgspec.json.decode(
            await request.body(), type=list[EndpointEntry]
        )
        return json_response(self.endpoints)

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


def json_response(body: object) -> Response:
    """Returns a JSON response."""
    return Response(msgspec.json.encode(body), media_type='application/json')


def main(address: str, port: int) -> None:
    """Serves the stand-in until the process is terminated."""
    uvicorn.run(
        Platform().application(),
        host=address,
        port=port,
        log_level='warning',
    )


if __name__ == '__main__':
    fire.Fire(main)
