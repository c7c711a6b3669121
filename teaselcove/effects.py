"""Effects that the decision core emits for the daemon or a test."""

from typing import Any

import msgspec

from teaselcove.errors import Refusal
from teaselcove.events import StoredAnswer
from teaselcove.ids import (
    AppendId,
    AttemptId,
    BackendServerId,
    HostId,
    Offset,
    OrganisationId,
    RequestId,
    StreamName,
)


class Dial(msgspec.Struct, frozen=True):
    """Send a request to a backend server.

    Attributes:
        address: IP address and port.
        timeout: Seconds until the attempt is given up.
        new_connection: Whether to open a new connection.
        echo_request_id: Whether the answer must repeat the request id.
    """

    attempt_id: AttemptId
    request_id: RequestId
    server: BackendServerId
    address: str
    organisation: OrganisationId
    timeout: float
    new_connection: bool = False
    echo_request_id: bool = False


class CancelAttempt(msgspec.Struct, frozen=True):
    """Close the connection of an attempt and drop its answer."""

    attempt_id: AttemptId


class Answer(msgspec.Struct, frozen=True):
    """Send the answer of an attempt, or a stored one, to the caller."""

    request_id: RequestId
    attempt_id: AttemptId | None
    recalled: StoredAnswer | None = None


class Refuse(msgspec.Struct, frozen=True):
    """Refuse a request."""

    request_id: RequestId
    refusal: Refusal


class Send(msgspec.Struct, frozen=True):
    """Send a message, which may be lost, delayed or duplicated."""

    host: HostId
    message: Any


class Append(msgspec.Struct, frozen=True):
    """Append a record to a stream of the log."""

    append_id: AppendId
    stream: StreamName
    payload: bytes


class ReadLog(msgspec.Struct, frozen=True):
    """Read a stream of the log from an offset."""

    stream: StreamName
    offset: Offset


class ReadHosts(msgspec.Struct, frozen=True):
    """Read the platform's list of hosts."""


class ReadEndpoints(msgspec.Struct, frozen=True):
    """Read the platform's list of backend servers."""


class LogDecision(msgspec.Struct, frozen=True):
    """Log a decision with the fields it was based on."""

    kind: str
    figures: dict[str, Any]


class CloseConnections(msgspec.Struct, frozen=True):
    """Close the idle connections to a backend server."""

    server: BackendServerId


class Exit(msgspec.Struct, frozen=True):
    """End the process with exit code 0."""


Effect = (
    Dial
    | CancelAttempt
    | Answer
    | Refuse
    | Send
    | Append
    | ReadLog
    | ReadHosts
    | ReadEndpoints
    | LogDecision
    | CloseConnections
    | Exit
)
