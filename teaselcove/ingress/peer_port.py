"""The port of a host for messages between hosts."""

import logging

from teaselcove.listening import first_free_port
from teaselcove.platform.boot import BootSettings
from teaselcove.settings import HostSettings

log = logging.getLogger('teaselcove.host')


def choose_peer_port(boot: BootSettings) -> int:
    """Returns a port for messages between hosts, if possible a free one."""
    port = first_free_port(boot.ip, boot.peer_ports)
    if port is not None:
        return port
    log.warning(
        'no-free-port',
        extra={
            'figures': {
                'first': boot.peer_ports[0],
                'last': boot.peer_ports[-1],
            }
        },
    )
    return boot.peer_ports[0]


def transport_settings(boot: BootSettings, peer_port: int) -> HostSettings:
    """Returns the settings of the transport between hosts."""
    return HostSettings(
        host=boot.host,
        zone=boot.zone,
        address=boot.ip,
        port=0,
        peer_port=peer_port,
        log_url='',
        list_url='',
    )
