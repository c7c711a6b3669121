"""Scenarios of paths, zones, restarts and drains."""

from functools import partial

from teaselcove.deployments import ZONES
from teaselcove.experiment import FAULT_AT_S, SECOND_VICTIM, VICTIM, Experiment
from teaselcove.ids import HostId, Instant
from teaselcove.model_servers import BackendServer
from teaselcove.scenario_registry import scenario
from teaselcove.scenarios_servers import stall

COLD_FACTOR = 5
DRAIN_LIMIT_S = 8
LYING_LAG_S = 60


def cut(
    run: Experiment, hosts: frozenset[HostId], server: BackendServer, way: str
) -> None:
    """Cuts the paths between some hosts and a server one way."""
    run.mark(server, FAULT_AT_S, None, hosts)
    paths = {(host, server.declared.id) for host in hosts}
    run.set_at(FAULT_AT_S, run.model, way, paths)


def hosts_of_zone(run: Experiment, index: int) -> frozenset[HostId]:
    """Returns the hosts of an availability zone."""
    hosts = run.conditions.deployment.host_ids()
    return frozenset(hosts[index :: len(ZONES)])


@scenario('cut-host-to')
def cut_host_to(run: Experiment) -> None:
    """One host's packets to a server are lost."""
    host = run.conditions.deployment.host_ids()[0]
    cut(run, frozenset((host,)), run.servers[VICTIM], 'cut_to')


@scenario('cut-host-from')
def cut_host_from(run: Experiment) -> None:
    """A server's packets to one host are lost."""
    host = run.conditions.deployment.host_ids()[0]
    cut(run, frozenset((host,)), run.servers[VICTIM], 'cut_from')


@scenario('cut-zone-to')
def cut_zone_to(run: Experiment) -> None:
    """Packets of a zone's hosts to a server are lost."""
    cut(run, hosts_of_zone(run, 0), run.servers[VICTIM], 'cut_to')


@scenario('cut-zone-from')
def cut_zone_from(run: Experiment) -> None:
    """Packets of a server to a zone's hosts are lost."""
    cut(run, hosts_of_zone(run, 0), run.servers[VICTIM], 'cut_from')


@scenario('zone-lost')
def zone_lost(run: Experiment) -> None:
    """All servers and hosts of a zone vanish at once."""
    for server in run.servers:
        if server.declared.zone == ZONES[1]:
            run.fault(server, 'unreachable', True, FAULT_AT_S)
    run.at(FAULT_AT_S, partial(lose_hosts, run, hosts_of_zone(run, 1)))


def lose_hosts(run: Experiment, hosts: frozenset[HostId], now: Instant) -> None:
    """Ends hosts at once."""
    for host in sorted(hosts):
        run.fleet.crash(host)


@scenario('silent-connections')
def silent_connections(run: Experiment) -> None:
    """Open connections to a server go silent; new ones work."""
    name = run.servers[VICTIM].declared.id
    run.at(FAULT_AT_S, partial(run.model.silence, name))


@scenario('cold-start')
def cold_start(run: Experiment) -> None:
    """A third of the servers restart and are cold."""
    for server in run.servers[::3]:
        run.mark(server, FAULT_AT_S, FAULT_AT_S + 1, expected=False)
        restart = partial(run.model.restart, server, 1)
        run.at(FAULT_AT_S, partial(restart, cold_factor=COLD_FACTOR))


@scenario('drain')
def drain(run: Experiment) -> None:
    """Two servers leave under load."""
    for server in (run.servers[VICTIM], run.servers[SECOND_VICTIM]):
        run.mark(server, FAULT_AT_S, expected=False)
        run.at(FAULT_AT_S, partial(run.leave, server))
        run.set_at(FAULT_AT_S + DRAIN_LIMIT_S, server, 'up', False)


@scenario('rolling-restart', duration=30)
def rolling_restart(run: Experiment) -> None:
    """Servers crash and restart one after another, unrelated to requests."""
    for index, server in enumerate(run.servers):
        start = FAULT_AT_S + index
        run.mark(server, start, start + 1, expected=False)
        run.at(start, partial(run.model.restart, server, 1))


@scenario('lagging-health')
def lagging_health(run: Experiment) -> None:
    """Servers that leave are listed as live, and say nothing."""
    run.list_lag = LYING_LAG_S
    drain(run)
    for index in (VICTIM, SECOND_VICTIM):
        run.servers[index].announces = False


@scenario('lying-health')
def lying_health(run: Experiment) -> None:
    """The list says that healthy servers leave while another one stalls."""
    stall(run)
    for server in (run.servers[1], run.servers[2]):
        run.left_at[server.declared.id] = FAULT_AT_S
        run.mark(server, FAULT_AT_S, expected=False)
