"""The current configuration: routes, organisations and their keys."""

from teaselcove.errors import Reason
from teaselcove.ids import (
    HostId,
    Instant,
    OrganisationId,
    ServiceId,
    Version,
)
from teaselcove.ingress.entities import (
    IngressConfiguration,
    IngressOrganisation,
    IngressRoute,
    WeightedService,
)
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Seconds before the revocation bound at which keys stop being accepted, so that
# a request admitted just before still reaches the backend server in time.
REVOKE_MARGIN_S = 0.5


class RouteTable:
    """Matches paths to the routes of one host name by longest prefix."""

    def __init__(self, routes: tuple[IngressRoute, ...]) -> None:
        self.by_prefix = {route.prefix: route for route in routes}

    def match(self, path: str) -> IngressRoute | None:
        """Returns the route with the longest prefix that matches a path."""
        end = path.rfind('/')
        while end >= 0:
            route = self.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


@ingress_services.register('catalog')
class Catalog:
    """Holds the newest configuration that this host has received.

    Attributes:
        version: Current version; it never decreases.
        confirmed_at: When the latest read that showed this version to be the
            newest was sent, by this host or another one.
        newest_heard: Newest version that another host has in force.
        heard_from: That host, or None.
        current_weights: State of the smooth weighted round robin by route and
            service; it keeps the shares exact over any run of requests.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.configuration: IngressConfiguration | None = None
        self.version = Version(0)
        self.confirmed_at: Instant | None = None
        self.newest_heard = Version(0)
        self.heard_from: HostId | None = None
        self.route_tables: dict[str, RouteTable] = {}
        self.organisations_by_key: dict[str, IngressOrganisation] = {}
        self.organisations: dict[OrganisationId, IngressOrganisation] = {}
        self.services: frozenset[ServiceId] = frozenset()
        self.current_weights: dict[tuple[str, ServiceId], float] = {}

    def adopt(self, configuration: IngressConfiguration) -> bool:
        """Replaces the configuration if the given one is newer.

        Returns:
            Whether the configuration was replaced.
        """
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.version = configuration.version
        self.route_tables = {
            host: RouteTable(routes)
            for host, routes in configuration.routes.items()
        }
        self.organisations = {
            organisation.id: organisation
            for organisation in configuration.organisations
        }
        self.organisations_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.services = frozenset(
            service.id for service in configuration.services
        )
        self.current_weights.clear()
        return True

    def confirm(self, asked_at: Instant) -> None:
        """Records that the current version was the newest in the store.

        A store that was restored from a copy may lack a version that was
        acknowledged, and with it a withdrawn key.

        Args:
            asked_at: When the read that showed it was sent.
        """
        if self.is_behind:
            return
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def record_version(self, version: Version, host: HostId) -> None:
        """Records the version that another host has in force."""
        if version > max(self.version, self.newest_heard):
            self.newest_heard = version
            self.heard_from = host

    @property
    def is_behind(self) -> bool:
        """Whether another host is known to have a newer version in force."""
        return self.newest_heard > self.version

    def age(self, now: Instant) -> float:
        """Returns the seconds since the version was last confirmed."""
        if self.confirmed_at is None:
            return float('inf')
        return now - self.confirmed_at

    def are_keys_current(self, now: Instant) -> bool:
        """Returns whether the keys are as recent as the bound requires."""
        limit = self.kernel.settings.bounds.revoke - REVOKE_MARGIN_S
        return self.age(now) < limit

    def route_for(self, host: str, path: str) -> IngressRoute | None:
        """Returns the route for a host name and path, or None."""
        host_name = host.lower()
        table = self.route_tables.get(host_name) or self.route_tables.get(
            host_name.partition(':')[0]
        )
        return table.match(path) if table else None

    def organisation_of(self, key: str | None) -> IngressOrganisation | None:
        """Returns the organisation that holds a key, or None."""
        return None if key is None else self.organisations_by_key.get(key)

    def choose_service(self, route: IngressRoute) -> ServiceId:
        """Returns the service for the next request of a route.

        Smooth weighted round robin: each service's current weight grows by its
        weight, and the service with the highest one is chosen and reduced by
        the sum of all weights.
        """
        if len(route.services) == 1:
            return route.services[0].service
        for target in route.services:
            self.add_weight(route, target)
        weighted = [item for item in route.services if item.weight > 0]
        chosen = max(
            weighted or route.services,
            key=lambda candidate: self.current_weight(route, candidate),
        )
        total = sum(item.weight for item in route.services)
        self.current_weights[route.id, chosen.service] -= total
        return chosen.service

    def add_weight(self, route: IngressRoute, target: WeightedService) -> None:
        """Adds the weight of a service to its current weight."""
        split = (route.id, target.service)
        current = self.current_weights.get(split)
        if current is None:
            # A random start keeps the hosts from choosing the same services in
            # the same order.
            current = self.kernel.random.random() * target.weight
        self.current_weights[split] = current + target.weight

    def current_weight(
        self, route: IngressRoute, target: WeightedService
    ) -> float:
        """Returns the current weight of a service in a route."""
        return self.current_weights[route.id, target.service]

    def key_rejection(self, key: str | None, now: Instant) -> Reason | None:
        """Returns the reason to refuse a request with this key, or None."""
        if not self.are_keys_current(now):
            return Reason.ISOLATED
        if key is None or key not in self.organisations_by_key:
            return Reason.BAD_KEY
        return None
