"""Messages with which hosts pass on configurations and ask for them."""

import logging
from collections.abc import Callable
from typing import Any

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.peer_messages import (
    ConfigurationNews,
    ConfigurationWanted,
)
from teaselcove.kernel import Kernel

log = logging.getLogger('teaselcove.members')


class ConfigurationExchange:
    """Applies and requests configurations of other hosts.

    Attributes:
        send: Sends a message to a host.
        pass_on: Sends a change to the hosts that rely on this one for it.
    """

    def __init__(
        self,
        kernel: Kernel,
        send: Callable[[HostId, Any], None],
        pass_on: Callable[[ConfigurationNews, Instant], None],
    ) -> None:
        self.kernel = kernel
        self.send = send
        self.pass_on = pass_on

    def handle_news(
        self, sender: HostId, news: ConfigurationNews, now: Instant
    ) -> None:
        """Applies a configuration that another host has in force."""
        catalog = self.kernel.service('catalog')
        before = catalog.version
        if catalog.adopt(news.configuration):
            log.info(
                'configuration',
                extra={
                    'figures': {
                        'version': catalog.version,
                        'before': before,
                        'peer': sender,
                    }
                },
            )
            self.pass_on(news, now)

    def handle_wanted(
        self, sender: HostId, wanted: ConfigurationWanted, now: Instant
    ) -> None:
        """Sends the configuration in force to a host that has an older one."""
        catalog = self.kernel.service('catalog')
        if catalog.version >= wanted.version:
            self.send(sender, ConfigurationNews(catalog.configuration))

    def request(self) -> None:
        """Asks the host with the newest version in force for it."""
        catalog = self.kernel.service('catalog')
        log.warning(
            'configuration-wanted',
            extra={
                'figures': {
                    'version': catalog.newest_heard,
                    'own': catalog.version,
                    'peer': catalog.heard_from,
                }
            },
        )
        wanted = ConfigurationWanted(catalog.newest_heard)
        self.send(catalog.heard_from, wanted)
