"""Settings of a host with types, defaults and limits."""

import re
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from teaselcove import jsonc
from teaselcove.ids import HostId, ZoneName

StructT = TypeVar('StructT')

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log level and format."""

    level: str = 'INFO'
    format: str = 'json'


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the policies in use.

    Attributes:
        evidence: `pooled` to share health evidence between hosts, or
            `local`.
    """

    limiter: str = 'escrow'
    balancer: str = 'two-choices'
    ejection: str = 'peer-comparison'
    evidence: str = 'pooled'
    queue: str = 'weighted-fair'
    placement: str = 'owners'
    claims: str = 'majority'


class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one host.

    Attributes:
        host: Id of the host in the platform's list.
        zone: Availability zone of the host.
        address: IP address to listen on for callers and peers.
        port: Port for callers.
        peer_port: Port for other hosts.
        log_url: Base URL of the platform's log service.
        list_url: Base URL of the platform's lists.
        peers: Peer addresses to try before the list of hosts is read.
        log_read_interval: Seconds between reads of the log.
        list_read_interval: Seconds between reads of the lists.
        isolation_limit: Seconds during which the host reaches neither the
            log nor a majority of hosts, after which requests with a key are
            refused.
        drain_limit: Maximum duration of a shutdown in seconds.
        max_request_bytes: Size limit of a request body.
        max_answer_bytes: Size limit of a response body.
        peer_secret: Secret shared by the hosts of a fleet; empty for no
            encryption.
        log: Log level and format.
        policies: Names of the policies in use.
    """

    host: HostId
    zone: ZoneName
    address: str
    port: Port
    peer_port: Port
    log_url: str
    list_url: str
    peers: tuple[str, ...] = ()
    log_read_interval: Seconds = 0.5
    list_read_interval: Seconds = 1
    isolation_limit: Seconds = 5
    drain_limit: Seconds = 20
    max_request_bytes: Count = 1024 * 1024
    max_answer_bytes: Count = 8 * 1024 * 1024
    peer_secret: str = ''
    log: LogSettings = LogSettings()
    policies: PolicySettings = PolicySettings()


def parse_validation_error(message: str) -> tuple[jsonc.FieldPath, str]:
    """Splits a msgspec error message into the field's path and problem."""
    problem, _, location = message.partition(' - at `$')
    field_path: list[jsonc.PathPart] = [
        int(index) if index else name
        for name, index in re.findall(r'\.([^.\[\]`]+)|\[(\d+)\]', location)
    ]
    unknown = re.search('unknown field `([^`]+)`', problem)
    if unknown:
        field_path.append(unknown.group(1))
    return tuple(field_path), problem


def convert(document: jsonc.Document, struct: type[StructT]) -> StructT:
    """Converts the data of a file to a struct.

    Raises:
        FieldError: If a field is unknown, missing or of the wrong type.
    """
    return convert_value(document, (), document.root, struct)


def convert_value(
    document: jsonc.Document,
    field_path: jsonc.FieldPath,
    value: Any,
    struct: type[StructT],
) -> StructT:
    """Converts a part of a file to a struct.

    Raises:
        FieldError: If a field is unknown, missing or of the wrong type.
    """
    try:
        return msgspec.convert(value, struct)
    except msgspec.ValidationError as error:
        inner_path, problem = parse_validation_error(str(error))
        raise document.error((*field_path, *inner_path), problem) from error


def load(path: Path) -> HostSettings:
    """Loads the settings of a host.

    Raises:
        FieldError: If the file is not valid.
    """
    return convert(jsonc.load(path), HostSettings)
