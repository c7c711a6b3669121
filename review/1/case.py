"""An unreadable entry of another writer under `servers/`.

The writer writes it as often as an endpoint writes its own, for 25 s; then the
entry is removed. Just after the first time, two servers report that they leave.
"""

import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from common.clients import Client  # noqa: E402
from common.deployment import (  # noqa: E402
    BOUNDS,
    ZONES,
    Deployment,
    configuration,
    has_trouble,
    http_call,
    play,
)

HOSTS = 6
SERVERS = 12
LEAVING = ('server-0', 'server-1')
LEAVE_AFTER_S = 0.02
CLIENTS = 24
DEADLINE_S = 2
QUIET_S = 5
WRITTEN_S = 25
WATCHED_S = 30
HEARTBEAT_S = 1.5
# An unreadable entry of 4 KB: nested lists that are cut off.
ENTRY = b'{"service":"job","state":"ready","labels":' + b'[' * 4096

def work(case):
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(case, hosts=HOSTS, servers=0)
    requests = []
    try:
        addresses = start_servers(deployment)
        deployment.start(configuration(timeout_ms=DEADLINE_S * 1000))
        deployment.servers.update(addresses)
        clients = [
            Client(deployment, f'c{index}', 0.4, DEADLINE_S, requests)
            for index in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        time.sleep(QUIET_S)
        struck_at = time.monotonic()
        if has_trouble():
            threading.Thread(
                target=write_entries, args=(deployment,), daemon=True
            ).start()
        time.sleep(LEAVE_AFTER_S)
        acked = {
            name: leave(deployment, name, addresses[name]) for name in LEAVING
        }
        time.sleep(WATCHED_S)
        for client in clients:
            client.stop_event.set()
        for client in clients:
            client.join(DEADLINE_S + 1)
        return judge(deployment, requests, struck_at, acked)
    finally:
        deployment.close()


def start_servers(deployment):
    """Starts sound servers; returns their addresses by name."""
    addresses = {}
    for index in range(SERVERS):
        name = f'server-{index}'
        addresses[name] = deployment.address(100 + index)
        ip, port = addresses[name].split(':')
        deployment.stand_in(
            name,
            'review.common.faulty_server',
            ip,
            port,
            name,
            ZONES[index % 3],
            deployment.store,
            str(deployment.directory / 'never'),
        )
    return addresses


def leave(deployment, name, address):
    """Lets a server leave; returns when the store has acknowledged it."""
    acked_at = json.loads(http_call(address, 'PUT', '/leave')[2])
    deployment.record.write(f'{name} is draining, acknowledged')
    return acked_at


def write_entries(deployment):
    """Writes the unreadable entry at each interval, then removes it."""
    end = time.monotonic() + WRITTEN_S
    while time.monotonic() < end:
        deployment.put('keyed.servers', 'other-writer', ENTRY)
        deployment.record.write('an unreadable entry servers/other-writer')
        time.sleep(HEARTBEAT_S)
    deployment.put('keyed.servers', 'other-writer', b'')
    deployment.record.write('servers/other-writer is removed')


def judge(deployment, requests, struck_at, acked):
    """Returns whether the rule held, and reports what was seen."""
    runs = deployment.runs()
    before = Counter(
        request.outcome for request in requests if request.sent_at < struck_at
    )
    after = Counter(
        request.outcome for request in requests if request.sent_at >= struck_at
    )
    bound = BOUNDS['drainMs'] / 1000
    late = []
    for name, acked_at in acked.items():
        body = http_call(deployment.servers[name], 'GET', '/runs')[2]
        late += [
            (attempt, name, arrived_at - acked_at)
            for attempt, _, arrived_at in json.loads(body)
            if arrived_at > acked_at + bound
            and was_running(sent_by(deployment, requests, attempt), arrived_at)
        ]
    for attempt, name, seconds in late:
        deployment.record.write(
            f'late {attempt} reached {name} {seconds:.2f} s after the ack'
        )
    ended = {host.name: len(host.ends) for host in deployment.hosts}
    lines = (
        f'answers before: {dict(before)}',
        f'answers after: {dict(after)}',
        f'requests that ran: {len(runs)}',
        f'ends by themselves: {ended}',
        f'requests that reached a leaving server more than {bound} s after'
        f' the ack: {len(late)}, allowed 0',
    )
    for line in lines:
        deployment.record.write(line)
        print(line)
    return not late


def sent_by(deployment, requests, attempt):
    """Returns the host that took a request from its client."""
    hosts = {host.listen['frontendAddr']: host for host in deployment.hosts}
    found = next(item for item in requests if item.attempt == attempt)
    return hosts[found.host]


def was_running(host, moment):
    """Returns whether a host ran for `stableWindowMs` before a time.

    Its ends by itself count as running; they are left out all the same, so
    that no host counts that has just been started.
    """
    start = moment - BOUNDS['stableWindowMs'] / 1000
    return not any(start < end < moment for end in host.ends)


play(CASE, work)
