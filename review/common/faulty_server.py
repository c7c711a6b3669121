"""A sound server whose answers can turn into bytes without end.

Registers itself in the store like the project's stand-in and answers like it.
Once the file `FLAG` exists, it answers each request with a chunked body that
does not end until the caller closes. A path that contains `large` gets an
answer of 15 MB; one with `long` takes a second. `GET /runs` lists the requests
that it took with the times of arrival, `PUT /leave` lets it report `draining`.

Run as `python -m review.common.faulty_server ADDRESS PORT ID ZONE STORE FLAG`.
"""

import http.client
import json
import socketserver
import sys
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from pathlib import Path

HEARTBEAT_S = 1.5
WORK_S = 0.25
LONG_WORK_S = 1
SLOTS = 3
LARGE_BYTES = 15 * 1024 * 1024
# Two bytes in each chunk; sent 8,192 chunks at a time.
CHUNKS = b'2\r\nxx\r\n' * 8192


class Server(socketserver.ThreadingTCPServer):
    """Listens for requests."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128


class Handler(BaseHTTPRequestHandler):
    """Answers one connection."""

    protocol_version = 'HTTP/1.1'
    name = ''
    flag = Path()
    slots = threading.Semaphore(SLOTS)
    runs = []
    entry = None

    def log_message(self, *arguments):
        """Writes no log."""

    def do_GET(self):
        """Answers a read, or lists the runs."""
        if self.path != '/runs':
            self.answer()
            return
        self.answer_operator(self.runs)

    def do_PUT(self):
        """Reports that the server leaves; answers with the time of the ack."""
        self.entry.state = 'draining'
        self.answer_operator(self.entry.write())

    def answer_operator(self, found):
        """Answers whoever plays the case."""
        body = json.dumps(found).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        """Answers a booking."""
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        self.answer()

    def answer(self):
        """Works on a request and answers it."""
        attempt = self.headers.get('Attempt-Id', '')
        if self.headers.get('Expect-Instance', self.name) != self.name:
            self.send_response(421)
            self.send_header('Attempt-Id', attempt)
            self.send_header('Content-Length', '0')
            self.end_headers()
            return
        tenant = self.headers.get('Tenant', '')
        self.runs.append((attempt, tenant, time.monotonic()))
        with self.slots:
            time.sleep(LONG_WORK_S if 'long' in self.path else WORK_S)
        if self.flag.exists():
            self.answer_without_end(attempt)
            return
        body = json.dumps({'server': self.name, 'call': attempt}).encode()
        if 'large' in self.path:
            body = body.ljust(LARGE_BYTES, b'.')
        self.send_response(200)
        self.send_header('Attempt-Id', attempt)
        self.send_header('Response-Signature', f'signed-by-{self.name}')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_without_end(self, attempt):
        """Sends chunks until the caller closes the connection."""
        self.send_response(200)
        self.send_header('Attempt-Id', attempt)
        self.send_header('Response-Signature', f'signed-by-{self.name}')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        self.close_connection = True
        with suppress(OSError):
            while True:
                self.wfile.write(CHUNKS)


class Entry:
    """Writes the entry of the server to the store."""

    def __init__(self, name, zone, address, store):
        self.name = name
        self.zone = zone
        self.address = address
        self.store = store
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.lock = threading.Lock()

    def write(self):
        """Writes the entry once; returns when the store has answered."""
        with self.lock:
            self.sequence += 1
            entry = {
                'service': 'job',
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'maxConcurrency': SLOTS,
                'state': self.state,
                'warmupLeftMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
            ip, port = self.store.split(':')
            connection = http.client.HTTPConnection(ip, int(port), timeout=1)
            connection.request(
                'PUT',
                f'/record?topic=keyed.servers&key={self.name}',
                json.dumps(entry).encode(),
            )
            connection.getresponse().read()
            connection.close()
            return time.monotonic()

    def run(self):
        """Writes the entry at each interval."""
        while True:
            with suppress(OSError, http.client.HTTPException):
                self.write()
            time.sleep(HEARTBEAT_S)


def main(ip, port, name, zone, store, flag):
    """Serves until the process is ended."""
    Handler.name = name
    Handler.flag = Path(flag)
    with Server((ip, int(port)), Handler) as server:
        Handler.entry = Entry(name, zone, f'{ip}:{port}', store)
        threading.Thread(target=Handler.entry.run, daemon=True).start()
        server.serve_forever()


if __name__ == '__main__':
    main(*sys.argv[1:])
