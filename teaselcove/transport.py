"""Messages between hosts over pyzmq.

Each host binds one PULL socket and connects one PUSH socket to each peer.
If the settings contain a fleet secret, all links are encrypted with CURVE; a
process without the secret can neither read nor send messages.
"""

import hashlib
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import zmq
import zmq.asyncio
from zmq.utils import z85

from teaselcove import messages
from teaselcove.decoding import describe
from teaselcove.errors import CodecError
from teaselcove.events import HostsListed, PeerMessageReceived
from teaselcove.ids import HostId, Incarnation
from teaselcove.settings import HostSettings

log = logging.getLogger(__name__)

HIGH_WATER_MARK = 1000
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
RECONNECT_MAX_MS = 2000


class TransportCounters(msgspec.Struct):
    """Message and byte counts since the start.

    Attributes:
        failed: Received messages whose handler failed.
        sent_bytes_by_type: Bytes by type of message and recipient.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0
    malformed: int = 0
    failed: int = 0
    sent_bytes_by_type: Counter[tuple[str, HostId]] = msgspec.field(
        default_factory=Counter
    )


class CurveKeys:
    """CURVE key pair that all hosts derive from the fleet secret."""

    def __init__(self, secret: str) -> None:
        self.private = z85.encode(hashlib.sha256(secret.encode()).digest())
        self.public = zmq.curve_public(self.private)

    def protect_server(self, socket: zmq.Socket) -> None:
        """Configures a bound socket to accept only peers with the secret."""
        socket.curve_server = True
        socket.curve_secretkey = self.private

    def protect_client(self, socket: zmq.Socket) -> None:
        """Configures a connecting socket to authenticate with the secret."""
        socket.curve_serverkey = self.public
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.private


class Transport:
    """Sends and receives messages without a delivery guarantee.

    Attributes:
        addresses: Peer addresses by host, from the platform's list.
        receive: Callback for each received message.
    """

    def __init__(
        self,
        settings: HostSettings,
        incarnation: Incarnation,
        receive: Callable[[PeerMessageReceived], None],
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.receive = receive
        self.counters = TransportCounters()
        self.context = zmq.asyncio.Context()
        self.sync_context = zmq.Context(self.context)
        self.addresses: dict[HostId, str] = {}
        self.links: dict[HostId, zmq.Socket] = {}
        secret = settings.peer_secret
        self.curve = CurveKeys(secret) if secret else None
        self.inbound = self.context.socket(zmq.PULL)
        self.is_bound = False

    def bind(self) -> None:
        """Binds the socket for messages from other hosts, unless it is bound.

        Raises:
            zmq.ZMQError: If the address cannot be used.
        """
        if self.is_bound:
            return
        self.set_options(self.inbound)
        self.inbound.maxmsgsize = messages.MAX_MESSAGE_BYTES
        if self.curve:
            self.curve.protect_server(self.inbound)
        address = self.settings.address
        self.inbound.bind(f'tcp://{address}:{self.settings.peer_port}')
        self.is_bound = True

    def set_options(self, socket: zmq.Socket) -> None:
        """Sets the options common to all sockets.

        Heartbeats detect dead connections, which are then reopened.
        """
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK
        socket.rcvhwm = HIGH_WATER_MARK
        socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS

    async def run(self) -> None:
        """Receives messages until cancelled."""
        while True:
            payload = await self.inbound.recv()
            self.counters.received += 1
            self.counters.received_bytes += len(payload)
            try:
                event = self.decode(payload)
            except CodecError as error:
                self.counters.malformed += 1
                log.warning('dropped a malformed message: %s', error)
                continue
            if event is not None:
                self.deliver(event)

    def deliver(self, event: PeerMessageReceived) -> None:
        """Passes a message on; one that fails must not keep back others."""
        try:
            self.receive(event)
        except Exception as error:
            self.counters.failed += 1
            log.error(
                'message-failed',
                exc_info=error,
                extra={
                    'figures': {
                        'peer': event.sender,
                        'type': type(event.message).__name__,
                        'why': describe(error),
                    }
                },
            )

    def decode(self, payload: bytes) -> PeerMessageReceived | None:
        """Decodes a payload; returns None if it is for another host."""
        envelope = messages.decode_envelope(payload)
        if envelope.recipient != self.settings.host:
            return None
        return PeerMessageReceived(
            envelope.sender,
            envelope.incarnation,
            messages.decode(envelope.body),
        )

    def update_hosts(self, listed: HostsListed) -> None:
        """Updates peer addresses; closes links to removed or moved hosts."""
        self.addresses = {
            entry.host: entry.peer_address for entry in listed.hosts
        }
        for host in tuple(self.links):
            socket = self.links[host]
            if socket.last_address != self.addresses.get(host):
                self.links.pop(host).close()

    def socket_for(self, host: HostId) -> zmq.Socket | None:
        """Returns the socket for a host, or None if it is not listed."""
        socket = self.links.get(host)
        address = self.addresses.get(host)
        if socket is None and address is not None:
            socket = LinkSocket(self.sync_context, zmq.PUSH)
            self.set_options(socket)
            # Messages to a disconnected peer are dropped, not queued: they
            # would arrive late and in bulk when the peer reconnects.
            socket.immediate = True
            if self.curve:
                self.curve.protect_client(socket)
            socket.connect(f'tcp://{address}')
            socket.last_address = address
            self.links[host] = socket
        return socket

    def send(self, host: HostId, body: Any) -> None:
        """Sends a message; drops it if that is not possible.

        The link may be missing, down or full, or the message or the address of
        the host may hold what another process has written wrongly.
        """
        try:
            payload = self.encode(host, body)
        except Exception as error:
            self.drop(host, body, error)
            return
        try:
            socket = self.socket_for(host)
        except zmq.ZMQError as error:
            self.drop(host, body, error)
            return
        if socket is None:
            self.counters.dropped += 1
            return
        try:
            socket.send(payload, flags=zmq.NOBLOCK)
        except zmq.Again:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(payload)
        kind = type(body).__name__
        self.counters.sent_bytes_by_type[kind, host] += len(payload)

    def encode(self, host: HostId, body: Any) -> bytes:
        """Returns a message with its envelope."""
        return messages.encode_envelope(
            messages.Envelope(
                self.settings.host,
                self.incarnation,
                host,
                messages.encode(body),
            )
        )

    def drop(self, host: HostId, body: Any, error: Exception) -> None:
        """Counts and logs a message that cannot be sent."""
        self.counters.dropped += 1
        log.error(
            'message-unsendable',
            extra={
                'figures': {
                    'peer': host,
                    'type': type(body).__name__,
                    'why': describe(error),
                }
            },
        )

    def close(self) -> None:
        """Closes all sockets."""
        for socket in self.links.values():
            socket.close()
        self.inbound.close()
        self.context.term()


class LinkSocket(zmq.Socket):
    """A PUSH socket that stores the address it is connected to."""

    last_address = ''
