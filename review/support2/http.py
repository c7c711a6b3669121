"""HTTP/1.1 messages over asyncio streams, for stand-ins and callers."""

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The words of the first line.
        headers: Headers with lower-case names.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the first line and the headers."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first.split(' ', 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Reads a body that has a length or comes in chunks."""
    if 'chunked' in message.headers.get('transfer-encoding', ''):
        parts = []
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    length = int(message.headers.get('content-length', 0))
    return await reader.readexactly(length)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a whole request or response."""
    message = await read_head(reader)
    message.body = await read_body(reader, message)
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encodes a message with its length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def response(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encodes a response."""
    return encode(f'HTTP/1.1 {status} Answer', headers, body)
