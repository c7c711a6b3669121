"""A server whose answers can turn into bytes without end.

Registers itself in the store like the project's stand-in and answers like it.
Once the file `FLAG` exists, it answers each request with a chunked body that
does not end until the caller closes.

Run as `python faulty_server.py ADDRESS PORT ID ZONE STORE FLAG`.
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


class Handler(BaseHTTPRequestHandler):
    """Answers one connection."""

    protocol_version = 'HTTP/1.1'
    name = ''
    flag = Path()
    slots = threading.Semaphore(SLOTS)

    def log_message(self, *arguments):
        """Writes no log."""

    def do_GET(self):
        """Answers a read."""
        self.answer()

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


def register(name, zone, address, store):
    """Writes the entry of the server to the store at each interval."""
    ip, port = store.split(':')
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        entry = {
            'service': 'job',
            'address': address,
            'zone': zone,
            'version': 'v1',
            'maxConcurrency': SLOTS,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': sequence,
            'born': born,
        }
        with suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(ip, int(port), timeout=1)
            connection.request(
                'PUT',
                f'/record?topic=keyed.servers&key={name}',
                json.dumps(entry).encode(),
            )
            connection.getresponse().read()
            connection.close()
        time.sleep(HEARTBEAT_S)


def main(ip, port, name, zone, store, flag):
    """Serves until the process is ended."""
    Handler.name = name
    Handler.flag = Path(flag)
    with Server((ip, int(port)), Handler) as server:
        threading.Thread(
            target=register,
            args=(name, zone, f'{ip}:{port}', store),
            daemon=True,
        ).start()
        server.serve_forever()


if __name__ == '__main__':
    main(*sys.argv[1:])
