"""Deployments that experiments simulate."""

import msgspec

from teaselcove import keys
from teaselcove.entities import (
    Call,
    Entities,
    Key,
    Organisation,
    Route,
    Server,
    Service,
)
from teaselcove.ids import HostId, OrganisationId, ServiceId, ZoneName
from teaselcove.registry import Registry
from teaselcove.settings import HostSettings, PolicySettings

ZONES = (ZoneName('zone-a'), ZoneName('zone-b'), ZoneName('zone-c'))
PATH = '/work'
SLOTS_PER_SERVER = 3
# Shares of all calls that eight organisations of different size send.
LOAD_SHARES = (0.3, 0.22, 0.16, 0.12, 0.08, 0.06, 0.04, 0.02)
# Ratio of an organisation's declared rate to its usual call rate.
RATE_MARGIN = 1.25
# Seconds of calls at the declared rate that a burst holds.
BURST_S = 0.5
MIN_BURST = 8
MIN_RATE = 1
ROUTE_TIMEOUT_MS = 2000
FLOOR_SHARE = 0.6


class Deployment(msgspec.Struct, frozen=True):
    """Size and timing of a service's hosts and backend servers.

    Attributes:
        zone_delay: One-way delay between availability zones in seconds.
        service_time: Mean seconds in which a warm server runs a call.
        spread: Standard deviation of the log of the service time.
    """

    name: str
    hosts: int
    servers: int
    zone_delay: float
    service_time: float = 0.05
    spread: float = 0.4

    @property
    def capacity(self) -> float:
        """Calls per second that all servers can run together."""
        return self.servers * SLOTS_PER_SERVER / self.service_time

    @property
    def floor(self) -> int:
        """Number of servers that ejection must leave in use."""
        return int(self.servers * FLOOR_SHARE)

    def host_ids(self) -> list[HostId]:
        """Returns the ids of all hosts."""
        return [HostId(f'host-{index:02}') for index in range(self.hosts)]

    def settings(self, index: int, policies: PolicySettings) -> HostSettings:
        """Returns the settings of one host."""
        return HostSettings(
            self.host_ids()[index],
            ZONES[index % len(ZONES)],
            f'127.0.1.{index + 1}',
            8000,
            9000,
            'http://127.0.0.1:1',
            'http://127.0.0.1:2',
            policies=policies,
        )

    def service(self) -> Service:
        """Returns the declared service."""
        servers = tuple(
            Server(
                f'server-{index:02}',
                f'127.0.2.{index + 1}:80',
                ZONES[index % len(ZONES)],
                SLOTS_PER_SERVER,
            )
            for index in range(self.servers)
        )
        return Service(ServiceId('work'), self.floor, servers, True)

    def organisations(self, load: float) -> tuple[Organisation, ...]:
        """Returns the organisations, with rates that fit a load.

        Args:
            load: Calls per second of all organisations together.
        """
        declared = []
        for index, share in enumerate(LOAD_SHARES):
            rate = max(MIN_RATE, share * load * RATE_MARGIN)
            burst = max(MIN_BURST, int(rate * BURST_S))
            name = OrganisationId(f'organisation-{index}')
            declared.append(
                Organisation(name, rate, burst, weight=share * len(LOAD_SHARES))
            )
        return tuple(declared)

    def entities(
        self,
        organisations: tuple[Organisation, ...],
        issued: dict[OrganisationId, tuple[Key, str]],
    ) -> Entities:
        """Returns the configuration of the deployment."""
        route = Route(
            'work',
            PATH,
            ServiceId('work'),
            timeout_ms=ROUTE_TIMEOUT_MS,
            calls=(Call('GET', idempotent=True),),
        )
        return Entities(
            organisations,
            tuple(key for key, _ in issued.values()),
            (self.service(),),
            (route,),
        )


def issue_keys(
    organisations: tuple[Organisation, ...],
) -> dict[OrganisationId, tuple[Key, str]]:
    """Issues a key for each organisation; returns it with its text."""
    return {item.id: keys.issue(item.id) for item in organisations}


deployments: Registry[Deployment] = Registry('deployment')
deployments.register('brunnwerk')(Deployment('brunnwerk', 44, 18, 0.001))
deployments.register('zhuyin')(Deployment('zhuyin', 40, 20, 0.0005, 0.02))
deployments.register('zhuyin-glossary')(
    Deployment('zhuyin-glossary', 40, 10, 0.0005, 0.02)
)
