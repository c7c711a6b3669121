"""Messages that the hosts on the platform exchange."""

from enum import Enum

import msgspec

from teaselcove.ids import BackendServerId, Era, Instant, Version
from teaselcove.ingress.entities import (
    HostRecord,
    IngressConfiguration,
    Position,
    ServerEntry,
)
from teaselcove.ingress.findings import Evidence
from teaselcove.messages import message


class Role(Enum):
    """What the sender of a heartbeat is to its recipient.

    A hub sends heartbeats regularly to hubs and followers, and answers others.
    """

    HUB = 0
    FOLLOWER = 1
    OTHER = 2


@message('ingress-heartbeat')
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Reports that the sender is alive, and the state that it has read.

    Attributes:
        hears: Best ranked hosts of the sender's availability zone that it
            receives heartbeats from, and itself; None if the recipient has
            them.
        hears_digest: Checksum of these hosts.
        wants_hears: Whether the sender lacks the recipient's list of these.
        role: What the sender is to the recipient.
        relies: Whether it expects the recipient to pass on changes.
        sent_at: Time of sending on the sender's clock.
        version: Version of the sender's configuration.
        keys_as_of: Time on the recipient's clock at which that version was
            the newest, if the sender has read the store since; or None.
        servers: Digest of the backend servers that the sender knows.
        servers_as_of: The same as `keys_as_of` for these servers.
        can_read: Whether the sender has not found the store unreachable
            recently.
        followed_as_of: The same as `keys_as_of` for the contact with the store
            of the host that long polls for new configurations and passes them
            on, whether or not the version is the newest.
        era: Latest era of the store that the sender has heard of, or None.
    """

    record: HostRecord
    leaving: bool
    in_use: bool
    hears: tuple[HostRecord, ...] | None
    hears_digest: int
    wants_hears: bool
    role: Role
    relies: bool
    sent_at: Instant
    version: Version
    keys_as_of: Instant | None
    servers: int
    servers_as_of: Instant | None
    can_read: bool
    followed_as_of: Instant | None
    era: Era | None = None


@message('configuration-news')
class ConfigurationNews(msgspec.Struct, frozen=True, array_like=True):
    """Passes on a new configuration from the reader of a zone."""

    configuration: IngressConfiguration


@message('configuration-wanted')
class ConfigurationWanted(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a configuration that the store does not have.

    Attributes:
        version: The version that the recipient has in force.
    """

    version: Version


@message('server-news')
class ServerNews(msgspec.Struct, frozen=True, array_like=True):
    """Passes on a changed entry of a backend server.

    Attributes:
        offset: Offset of the entry in the store.
        entry: The entry, or None if it was removed.
        era: Era of the store in which the entry was read.
    """

    server: BackendServerId
    offset: int
    entry: ServerEntry | None
    era: Era = Era(0)

    @property
    def position(self) -> Position:
        """Place of the entry in the store."""
        return Position(self.era, self.offset)


@message('ingress-report')
class Report(msgspec.Struct, frozen=True, array_like=True):
    """Reports how a host in use has experienced the backend servers.

    Attributes:
        in_flight: The sender's attempts in flight by server.
    """

    evidence: tuple[Evidence, ...]
    in_flight: dict[BackendServerId, int]


@message('server-limits')
class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """Passes on limits that backend servers have named or ended.

    Attributes:
        limits: Requests per second by server; None if the limit has ended.
    """

    limits: dict[BackendServerId, float | None]
