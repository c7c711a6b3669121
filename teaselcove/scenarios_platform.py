"""Scenarios of network paths, availability zones, restarts and drains."""

from functools import partial

from teaselcove.deployments import ZONES
from teaselcove.experiment import (
    FAULT_AT_S,
    FAULTY_INDEX,
    SECOND_FAULTY_INDEX,
    Experiment,
)
from teaselcove.ids import HostId, Instant
from teaselcove.model_servers import BackendServer
from teaselcove.scenario_registry import scenario
from teaselcove.scenarios_servers import stall

# Factor of the service time right after a cold start.
COLD_FACTOR = 5
# Seconds from the start of a drain to the end of the server.
DRAIN_LIMIT_S = 8
# Seconds of lag of the server list; longer than the scenario by default.
STALE_LIST_LAG_S = 60


def cut(
    run: Experiment,
    hosts: frozenset[HostId],
    server: BackendServer,
    direction: str,
) -> None:
    """Cuts the paths between some hosts and a server in one direction.

    Args:
        run: The experiment.
        hosts: Hosts at one end of the paths.
        server: Server at the other end.
        direction: `cut_to` or `cut_from`, an attribute of the model.
    """
    run.record_fault(server, FAULT_AT_S, None, hosts)
    paths = {(host, server.declared.id) for host in hosts}
    run.set_at(FAULT_AT_S, run.model, direction, paths)


def hosts_of_zone(run: Experiment, index: int) -> frozenset[HostId]:
    """Returns the hosts of an availability zone."""
    hosts = run.conditions.deployment.host_ids()
    return frozenset(hosts[index :: len(ZONES)])


@scenario('cut-host-to')
def cut_host_to(run: Experiment) -> None:
    """One host's packets to a server are lost."""
    host = run.conditions.deployment.host_ids()[0]
    cut(run, frozenset((host,)), run.servers[FAULTY_INDEX], 'cut_to')


@scenario('cut-host-from')
def cut_host_from(run: Experiment) -> None:
    """A server's packets to one host are lost."""
    host = run.conditions.deployment.host_ids()[0]
    cut(run, frozenset((host,)), run.servers[FAULTY_INDEX], 'cut_from')


@scenario('cut-zone-to')
def cut_zone_to(run: Experiment) -> None:
    """Packets of a zone's hosts to a server are lost."""
    cut(run, hosts_of_zone(run, 0), run.servers[FAULTY_INDEX], 'cut_to')


@scenario('cut-zone-from')
def cut_zone_from(run: Experiment) -> None:
    """Packets of a server to a zone's hosts are lost."""
    cut(run, hosts_of_zone(run, 0), run.servers[FAULTY_INDEX], 'cut_from')


@scenario('zone-lost')
def zone_lost(run: Experiment) -> None:
    """All servers and hosts of a zone fail at once."""
    for server in run.servers:
        if server.declared.zone == ZONES[1]:
            run.inject_fault(server, 'unreachable', True, FAULT_AT_S)
    run.at(FAULT_AT_S, partial(crash_hosts, run, hosts_of_zone(run, 1)))


def crash_hosts(
    run: Experiment, hosts: frozenset[HostId], now: Instant
) -> None:
    """Crashes hosts at once."""
    for host in sorted(hosts):
        run.fleet.crash(host)


@scenario('silent-connections')
def silent_connections(run: Experiment) -> None:
    """Open connections to a server lose all packets; new ones work."""
    name = run.servers[FAULTY_INDEX].declared.id
    run.at(FAULT_AT_S, partial(run.model.silence, name))


@scenario('cold-start')
def cold_start(run: Experiment) -> None:
    """A third of the servers restart and are slow until warm."""
    for server in run.servers[::3]:
        run.record_fault(server, FAULT_AT_S, FAULT_AT_S + 1, expected=False)
        restart = partial(run.model.restart, server, 1)
        run.at(FAULT_AT_S, partial(restart, cold_factor=COLD_FACTOR))


@scenario('drain')
def drain(run: Experiment) -> None:
    """Two servers drain under load."""
    for server in (run.servers[FAULTY_INDEX], run.servers[SECOND_FAULTY_INDEX]):
        run.record_fault(server, FAULT_AT_S, expected=False)
        run.at(FAULT_AT_S, partial(run.start_draining, server))
        run.set_at(FAULT_AT_S + DRAIN_LIMIT_S, server, 'up', False)


@scenario('rolling-restart', duration=30)
def rolling_restart(run: Experiment) -> None:
    """Servers crash and restart one after another, unrelated to requests."""
    for index, server in enumerate(run.servers):
        start = FAULT_AT_S + index
        run.record_fault(server, start, start + 1, expected=False)
        run.at(start, partial(run.model.restart, server, 1))


@scenario('lagging-health')
def lagging_health(run: Experiment) -> None:
    """Draining servers are listed as live and don't announce it."""
    run.list_lag = STALE_LIST_LAG_S
    drain(run)
    for index in (FAULTY_INDEX, SECOND_FAULTY_INDEX):
        run.servers[index].announces_leaving = False


@scenario('lying-health')
def lying_health(run: Experiment) -> None:
    """The list shows healthy servers as draining while another stalls."""
    stall(run)
    for server in (run.servers[1], run.servers[2]):
        run.draining_since[server.declared.id] = FAULT_AT_S
        run.record_fault(server, FAULT_AT_S, expected=False)
