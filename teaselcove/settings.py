"""Settings of a host, declared with types, defaults and limits."""

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
    """What is logged and how."""

    level: str = 'INFO'
    format: str = 'json'


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the registry entries in use.

    Attributes:
        evidence: `pooled` to share evidence between hosts, or `local`.
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
        peers: Peer addresses to try before the list is known.
        log_read_interval: Seconds between reads of the log.
        list_read_interval: Seconds between reads of the lists.
        isolation_limit: Seconds without log and majority after which
            requests with a key are refused.
        drain_limit: Seconds that a shutdown may take.
        max_request_bytes: Largest body of a request.
        max_answer_bytes: Largest body of an answer.
        peer_secret: Secret that hosts of one fleet share, or empty.
        log: What is logged.
        policies: Registry entries in use.
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


def field_steps(message: str) -> tuple[jsonc.FieldPath, str]:
    """Splits a msgspec message into the path of the field and the problem."""
    problem, _, place = message.partition(' - at `$')
    field_path: list[jsonc.PathPart] = [
        int(index) if index else name
        for name, index in re.findall(r'\.([^.\[\]`]+)|\[(\d+)\]', place)
    ]
    unknown = re.search('unknown field `([^`]+)`', problem)
    if unknown:
        field_path.append(unknown.group(1))
    return tuple(field_path), problem


def convert(document: jsonc.Document, struct: type[StructT]) -> StructT:
    """Returns the data of a file as a declared type.

    Raises:
        FieldError: If a field is unknown, missing or of a wrong type.
    """
    return convert_value(document, (), document.root, struct)


def convert_value(
    document: jsonc.Document,
    field_path: jsonc.FieldPath,
    value: Any,
    struct: type[StructT],
) -> StructT:
    """Returns a part of a file as a declared type.

    Raises:
        FieldError: If a field is unknown, missing or of a wrong type.
    """
    try:
        return msgspec.convert(value, struct)
    except msgspec.ValidationError as error:
        below, problem = field_steps(str(error))
        raise document.error((*field_path, *below), problem) from error


def load(path: Path) -> HostSettings:
    """Reads the settings of a host.

    Raises:
        FieldError: If the file is not valid.
    """
    return convert(jsonc.load(path), HostSettings)
