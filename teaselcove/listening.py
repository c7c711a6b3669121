"""Listening sockets."""

import socket
from collections.abc import Iterable
from contextlib import closing, suppress


def listening_socket(host: str, port: int) -> socket.socket:
    """Returns a bound socket for an event loop to listen on.

    The protocol is named because asyncio sets TCP_NODELAY only then; without
    TCP_NODELAY a response sent in two writes is delayed by 40 ms.

    Raises:
        OSError: If the address cannot be used.
    """
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener


def first_free_port(host: str, ports: Iterable[int]) -> int | None:
    """Returns the first port that can be listened on, or None."""
    for port in ports:
        with suppress(OSError), closing(listening_socket(host, port)):
            return port
    return None
