"""Control messages, bytes and processor time by the number of hosts.

Run as `python -m standins.control_cost`. It simulates an idle fleet in virtual
time, with the services of a real host, and then the same fleet with one
configuration change per second. The last line of the output is JSON.
"""

import sys
import time

import msgspec

from teaselcove.entities import Call, Entities, Organisation, Route, Service
from teaselcove.entities import Server as DeclaredServer
from teaselcove.fleet import Fleet
from teaselcove.records import STREAM, ApplyRecord
from teaselcove.settings import HostSettings

HOST_COUNTS = (6, 12, 44, 88)
ZONES = ('zone-a', 'zone-b', 'zone-c')
WARM_UP_S = 15
MEASURED_S = 20
SERVER_COUNT = 18
# Size of a message envelope: sender, recipient and incarnation.
ENVELOPE_BYTES = 32


class ControlCost(msgspec.Struct):
    """Cost of the control plane per host and second.

    Attributes:
        cpu_us: Processor time of the decision core in microseconds,
            excluding socket I/O.
    """

    hosts: int
    changes_per_s: float
    messages: float
    bytes_mean: float
    bytes_worst: float
    cpu_us: float


def initial_configuration() -> Entities:
    """Returns a small configuration."""
    servers = tuple(
        DeclaredServer(
            f's{number}', f'127.0.2.{number + 1}:80', ZONES[number % 3]
        )
        for number in range(SERVER_COUNT)
    )
    return Entities(
        organisations=(Organisation('village', 10, 20),),
        services=(Service('job', SERVER_COUNT // 2, servers),),
        routes=(Route('job', '/job', 'job', calls=(Call('GET', True),)),),
    )


def make_fleet(hosts: int) -> Fleet:
    """Returns a fleet whose hosts have read the initial configuration."""
    fleet = Fleet(seed=1)
    append_change(fleet, 0, initial_configuration())
    for number in range(hosts):
        fleet.add_host(
            HostSettings(
                f'host-{number}',
                ZONES[number % 3],
                f'127.0.1.{number + 1}',
                8000,
                9000,
                'http://127.0.0.1:1',
                'http://127.0.0.1:1',
            )
        )
    fleet.run_until(WARM_UP_S)
    return fleet


def append_change(fleet: Fleet, base: int, put: Entities) -> None:
    """Appends a configuration change to the log."""
    record = ApplyRecord(f'change-{base}', base, put)
    fleet.log.append(STREAM, msgspec.json.encode(record))


def measure(hosts: int, changes: int) -> ControlCost:
    """Measures a fleet under a number of configuration changes per second."""
    fleet = make_fleet(hosts)
    fleet.sent.clear()
    fleet.sent_bytes.clear()
    started_at = time.process_time()
    version = 1
    for second in range(MEASURED_S):
        for number in range(changes):
            rate = 10 + second + number
            put = Entities(organisations=(Organisation('village', rate, 20),))
            append_change(fleet, version, put)
            version += 1
        fleet.run_until(WARM_UP_S + second + 1)
    cpu = time.process_time() - started_at
    host_seconds = hosts * MEASURED_S
    total_bytes = {
        name: fleet.sent_bytes[name] + ENVELOPE_BYTES * fleet.sent[name]
        for name in fleet.hosts
    }
    return ControlCost(
        hosts,
        changes,
        round(fleet.sent.total() / host_seconds, 2),
        round(sum(total_bytes.values()) / host_seconds),
        round(max(total_bytes.values()) / MEASURED_S),
        round(cpu / host_seconds * 1_000_000),
    )


def main() -> int:
    """Prints a row for each rate of changes and number of hosts."""
    rows = [
        measure(hosts, changes) for changes in (0, 1) for hosts in HOST_COUNTS
    ]
    sys.stdout.write(
        'hosts  changes/s  messages/s  bytes/s mean  worst  core us/s\n'
    )
    for row in rows:
        sys.stdout.write(
            f'{row.hosts:5}  {row.changes_per_s:9}  {row.messages:10}'
            f'  {row.bytes_mean:12}  {row.bytes_worst:5}  {row.cpu_us:9}\n'
        )
    sys.stdout.write(msgspec.json.encode(rows).decode())
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
