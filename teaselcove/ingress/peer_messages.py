"""Messages that the hosts on the platform exchange."""

import msgspec

from teaselcove.ids import BackendServerId, HostId, Instant, Version
from teaselcove.ingress.entities import (
    HostRecord,
    IngressConfiguration,
    ServerEntry,
)
from teaselcove.ingress.findings import Evidence
from teaselcove.messages import message


@message('ingress-heartbeat')
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A host says that it is alive and what it knows of its zone.

    Attributes:
        hears: Hosts of the sender's availability zone that it hears; empty
            for hosts of other zones.
        sent_at: Present time on the sender's clock.
        version: Version of the configuration in force at the sender.
        keys_as_of: Time on the recipient's clock at which that version was
            the newest, if the sender has read the store since; or None.
        servers: Digest of the backend servers that the sender knows.
        servers_as_of: The same as `keys_as_of` for these servers.
        can_read: Whether the store has not refused the sender lately.
        followed_as_of: The same as `keys_as_of` for a sender that waits for
            new configurations, whether or not the version is the newest.
    """

    record: HostRecord
    leaving: bool
    in_use: bool
    hears: tuple[HostId, ...]
    sent_at: Instant
    version: Version
    keys_as_of: Instant | None
    servers: int
    servers_as_of: Instant | None
    can_read: bool
    followed_as_of: Instant | None


@message('configuration-news')
class ConfigurationNews(msgspec.Struct, frozen=True, array_like=True):
    """A configuration that the reader of a zone has found."""

    configuration: IngressConfiguration


@message('server-news')
class ServerNews(msgspec.Struct, frozen=True, array_like=True):
    """A backend server whose entry has changed.

    Attributes:
        offset: Offset of the entry in the store.
        entry: The entry, or None if it is gone.
    """

    server: BackendServerId
    offset: int
    entry: ServerEntry | None


@message('ingress-report')
class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a host in use has learned of the backend servers.

    Attributes:
        in_flight: Attempts of the sender by server.
    """

    evidence: tuple[Evidence, ...]
    in_flight: dict[BackendServerId, int]
