"""An unreadable entry of another writer under `servers/`.

The writer writes it as often as an endpoint writes its own, for 25 s; then the
entry is removed.
"""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from common.clients import Client  # noqa: E402
from common.deployment import (  # noqa: E402
    Deployment,
    configuration,
    has_trouble,
    play,
)

HOSTS = 6
CLIENTS = 12
QUIET_S = 5
WRITTEN_S = 25
WATCHED_S = 30
HEARTBEAT_S = 1.5
# An unreadable entry of 4 KB: nested lists that are cut off.
ENTRY = b'{"service":"job","state":"ready","labels":' + b'[' * 4096
# The rule: processes end by themselves three times on a tenth of the machines,
# two at least.
ENDS = 3
MACHINES = max(2, -(-HOSTS // 10))


def work(case):
    """Plays the case; returns whether the rule held."""
    deployment = Deployment(case, hosts=HOSTS)
    requests = []
    try:
        deployment.start(configuration())
        clients = [
            Client(deployment, f'c{index}', 0.3, 2, requests)
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
        time.sleep(WATCHED_S)
        for client in clients:
            client.stop_event.set()
        for client in clients:
            client.join(5)
        return judge(deployment, requests, struck_at)
    finally:
        deployment.close()


def write_entries(deployment):
    """Writes the unreadable entry at each interval, then removes it."""
    end = time.monotonic() + WRITTEN_S
    while time.monotonic() < end:
        deployment.put('keyed.servers', 'other-writer', ENTRY)
        deployment.record.write('an unreadable entry servers/other-writer')
        time.sleep(HEARTBEAT_S)
    deployment.put('keyed.servers', 'other-writer', b'')
    deployment.record.write('servers/other-writer is removed')


def judge(deployment, requests, struck_at):
    """Returns whether the rule held, and reports what was seen."""
    runs = deployment.runs()
    before = Counter(
        request.outcome for request in requests if request.sent_at < struck_at
    )
    after = Counter(
        request.outcome for request in requests if request.sent_at >= struck_at
    )
    ended = {host.name: len(host.ends) for host in deployment.hosts}
    crashing = sum(count >= ENDS for count in ended.values())
    lines = (
        f'answers before: {dict(before)}',
        f'answers after: {dict(after)}',
        f'requests that ran: {len(runs)}',
        f'ends by themselves: {ended}',
        f'machines with {ENDS} ends or more: {crashing}, allowed'
        f' {MACHINES - 1}',
    )
    for line in lines:
        deployment.record.write(line)
        print(line)
    return crashing < MACHINES


play(CASE, work)
