"""Tests of messages between hosts that cannot be used."""

import asyncio
import errno
from typing import Any

import msgspec
import pytest
import zmq

from teaselcove import messages
from teaselcove.errors import CodecError
from teaselcove.events import HostEntry, HostsListed, PeerMessageReceived
from teaselcove.ids import Incarnation
from teaselcove.ingress.peer_messages import LimitNews
from teaselcove.settings import HostSettings
from teaselcove.transport import Transport
from tests.support import make_settings

DEPTH = 5000
NESTED = b'\x91' * DEPTH
MESSAGES = 3


def settings() -> HostSettings:
    """Returns the settings of a host that takes any free port."""
    return msgspec.structs.replace(
        make_settings(), address='127.0.0.1', peer_port=0
    )


class FailingReceiver:
    """Fails at the first message and keeps the others."""

    def __init__(self) -> None:
        self.seen: list[Any] = []
        self.done = asyncio.Event()

    def receive(self, event: PeerMessageReceived) -> None:
        """Takes a message."""
        self.seen.append(event.message)
        if len(self.seen) == MESSAGES:
            self.done.set()
        if len(self.seen) == 1:
            raise KeyError('a host that is not known')


async def deliver(receiver: FailingReceiver, counters: list[int]) -> None:
    """Sends messages to a host that fails at the first one."""
    transport = Transport(settings(), Incarnation(1), receiver.receive)
    transport.bind()
    address = transport.inbound.getsockopt_string(zmq.LAST_ENDPOINT)
    entry = HostEntry(
        'host-1', Incarnation(0), 'a', '', address.removeprefix('tcp://')
    )
    transport.update_hosts(HostsListed((entry,)))
    work = asyncio.get_running_loop().create_task(transport.run())
    try:
        async with asyncio.timeout(10):
            while not receiver.done.is_set():
                transport.send('host-1', LimitNews({}))
                await asyncio.sleep(0.02)
                assert not work.done(), work.exception()
        counters.append(transport.counters.failed)
    finally:
        work.cancel()
        transport.close()


class TestReceiving:
    """Messages that fail to be decoded or applied."""

    @pytest.mark.parametrize(
        'decode', [messages.decode, messages.decode_envelope]
    )
    def test_nested(self, decode: Any) -> None:
        """Guards against RecursionError, which ends the receiving task."""
        with pytest.raises(CodecError):
            decode(NESTED)

    def test_nested_body(self) -> None:
        """Guards against nested values behind a known tag."""
        tag = msgspec.msgpack.encode('server-limits')
        with pytest.raises(CodecError):
            messages.decode(b''.join((b'\x92', tag, NESTED)))

    def test_failing_handler(self) -> None:
        """Guards against one message that keeps a host from all others."""
        receiver, counters = FailingReceiver(), []
        asyncio.run(deliver(receiver, counters))
        assert counters == [1]


async def send(body: Any, address: str) -> int:
    """Sends a message; returns how many were dropped."""
    transport = Transport(settings(), Incarnation(1), lambda event: None)
    entry = HostEntry('host-2', Incarnation(0), 'a', '', address)
    transport.update_hosts(HostsListed((entry,)))
    try:
        transport.send('host-2', body)
    finally:
        transport.close()
    return transport.counters.dropped


class TestSending:
    """Messages that cannot be sent."""

    def test_number_over_64_bits(self) -> None:
        """Guards against a number that ends the task that passes it on."""
        dropped = asyncio.run(send(LimitNews({'s1': 2**64}), '127.0.0.1:9'))
        assert dropped == 1

    def test_no_descriptor_left(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an end of the sending task for want of a socket."""
        monkeypatch.setattr(Transport, 'socket_for', refuse_socket)
        assert asyncio.run(send(LimitNews({}), '127.0.0.1:9')) == 1


def refuse_socket(*_: Any) -> None:
    """Fails as if all descriptors of the process were in use."""
    raise zmq.ZMQError(errno.EMFILE)
