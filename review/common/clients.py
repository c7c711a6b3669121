"""Clients as the pages describe them: kept connections, found by /resolve."""

import http.client
import json
import random
import threading
import time
from contextlib import suppress
from urllib.parse import urlencode

from common.deployment import KEY, REGION, ZONES, http_call

HOST_HEADER = 'ficu95.example'
RESOLVE_TIMEOUT_S = 1


class Request:
    """One client attempt and its outcome.

    Attributes:
        outcome: A status, `closed` if the connection ended without a complete
            answer, `timeout` at the time limit, or `unsent` if no connection
            was established.
        kept: Whether the connection had carried another request before.
    """

    def __init__(self, attempt, safe, host, kept):
        self.attempt = attempt
        self.safe = safe
        self.host = host
        self.kept = kept
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.outcome = None
        self.signed = False


class Client(threading.Thread):
    """Sends requests over a kept connection, one at a time."""

    def __init__(self, deployment, name, pause_s, deadline_s, requests):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.client_name = name
        self.pause_s = pause_s
        self.deadline_s = deadline_s
        self.requests = requests
        self.random = random.Random(name)
        self.zone = self.random.choice(ZONES)
        self.addresses = []
        self.fresh_until = 0.0
        self.failed = set()
        self.connection = None
        self.address = None
        self.used = 0
        self.stop_event = threading.Event()

    def run(self):
        """Sends requests until it is stopped."""
        count = 0
        while not self.stop_event.wait(
            self.random.uniform(0.5, 1.5) * self.pause_s
        ):
            count += 1
            self.send(f'{self.client_name}-{count}')
        self.drop()

    def resolve(self):
        """Asks up to three hosts which addresses to use."""
        now = time.monotonic()
        if self.addresses and now < self.fresh_until:
            return
        hosts = sorted(
            self.deployment.hosts, key=lambda item: item.zone != self.zone
        )
        query = urlencode(
            {'name': HOST_HEADER, 'region': REGION, 'zone': self.zone}
        )
        for host in hosts[:3]:
            with suppress(OSError, http.client.HTTPException, ValueError):
                status, _, body = http_call(
                    host.listen['directoryAddr'],
                    'GET',
                    f'/resolve?{query}',
                    timeout=RESOLVE_TIMEOUT_S,
                )
                answer = json.loads(body)
                if status == 200 and answer['addresses']:
                    self.addresses = answer['addresses']
                    self.fresh_until = now + min(5, answer['ttlS'])
                    self.failed.clear()
                    return

    def drop(self):
        """Closes the connection."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def connect(self):
        """Returns whether there is a connection, opening one if needed."""
        self.resolve()
        if self.connection is not None and self.address in self.addresses:
            return True
        self.drop()
        choice = [item for item in self.addresses if item not in self.failed]
        choice = choice or self.addresses
        if not choice:
            return False
        self.address = self.random.choice(choice)
        ip, port = self.address.split(':')
        connection = http.client.HTTPConnection(ip, int(port), timeout=1)
        try:
            connection.connect()
        except OSError:
            self.failed.add(self.address)
            return False
        connection.sock.settimeout(self.deadline_s)
        self.connection = connection
        self.used = 0
        return True

    def send(self, attempt):
        """Sends one request and records how it ended."""
        safe = self.random.random() < 0.5
        if not self.connect():
            request = Request(attempt, safe, self.address, False)
            request.outcome = 'unsent'
            self.finish(request)
            return
        request = Request(attempt, safe, self.address, self.used > 0)
        headers = {
            'Host': HOST_HEADER,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(int(self.deadline_s * 1000)),
            'Authorization': f'Bearer {KEY}',
        }
        method, path = ('GET', '/read/') if safe else ('POST', '/write/')
        body = None if safe else b'x' * 200
        try:
            self.connection.request(method, path + attempt, body, headers)
            response = self.connection.getresponse()
            response.read()
        except TimeoutError:
            request.outcome = 'timeout'
            self.drop()
        except (OSError, http.client.HTTPException):
            request.outcome = 'closed'
            self.failed.add(self.address)
            self.drop()
        else:
            request.outcome = str(response.status)
            request.signed = response.getheader('Response-Signature') is not None
            self.used += 1
            if response.will_close:
                self.drop()
        self.finish(request)

    def finish(self, request):
        """Keeps and records a request."""
        request.ended_at = time.monotonic()
        self.requests.append(request)
        took = request.ended_at - request.sent_at
        self.deployment.record.write(
            f'sent {request.attempt} {"safe" if request.safe else "unsafe"}'
            f' to {request.host} kept={request.kept}'
            f' answered {request.outcome} after {took:.3f} s'
        )
