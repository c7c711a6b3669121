"""Validation of the fields of declared entities."""

import ipaddress
import re
from collections.abc import Callable, Iterator
from typing import Any

from teaselcove.entities import Key, Organisation, Route, Server, Service
from teaselcove.jsonc import FieldPath

# Ids appear in headers, logs and key texts. `_` separates the parts of a key
# text, so ids must not contain it.
ID_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9.-]{0,63}')
HEX_PATTERN = re.compile('([0-9a-f]{2})+')
METHOD_PATTERN = re.compile(r'[A-Z]{1,16}|\*')
PREFIX_PATTERN = re.compile(r'/[!-~]{0,1023}')
PORT_PATTERN = re.compile('[0-9]{1,5}')
CALL_PATH_PATTERN = re.compile(r'[!-~]{0,1023}')

# A lower rate would admit less than one request in a quarter of an hour.
MIN_RATE = 0.001
MAX_RATE = 1_000_000
MAX_BURST = 1_000_000
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000
MAX_SLOTS = 10_000
MAX_TIMEOUT_MS = 600_000
MAX_PORT = 65535
MAX_NAME_CHARACTERS = 200
MIN_SALT_DIGITS = 16
HASH_DIGITS = 64

Problem = tuple[FieldPath, str]


def check_id(name: str, field_path: FieldPath = ('id',)) -> Iterator[Problem]:
    """Yields a problem if an id is malformed."""
    if not ID_PATTERN.fullmatch(name):
        yield (
            field_path,
            f'{name!r} is not 1 to 64 letters, digits, dots and hyphens',
        )


def check_range(
    field: str, value: float, minimum: float, maximum: float
) -> Iterator[Problem]:
    """Yields a problem if a number is out of range."""
    if not minimum <= value <= maximum:
        yield (field,), f'{value} is not from {minimum} to {maximum}'


def check_organisation(entity: Organisation) -> Iterator[Problem]:
    """Yields the problems of an organisation."""
    yield from check_id(entity.id)
    yield from check_range('rate', entity.rate, MIN_RATE, MAX_RATE)
    yield from check_range('burst', entity.burst, 1, MAX_BURST)
    yield from check_range('weight', entity.weight, MIN_WEIGHT, MAX_WEIGHT)
    if len(entity.name) > MAX_NAME_CHARACTERS:
        yield ('name',), f'longer than {MAX_NAME_CHARACTERS} characters'


def check_hex(field: str, text: str, minimum: int) -> Iterator[Problem]:
    """Yields a problem if a text is too short or not hexadecimal."""
    if len(text) < minimum or not HEX_PATTERN.fullmatch(text):
        yield (
            (field,),
            f'not {minimum} or more lower-case hexadecimal digits, in pairs',
        )


def check_key(entity: Key) -> Iterator[Problem]:
    """Yields the problems of a key."""
    yield from check_id(entity.id)
    yield from check_hex('salt', entity.salt, MIN_SALT_DIGITS)
    yield from check_hex('hash', entity.hash, HASH_DIGITS)
    if len(entity.salt) > HASH_DIGITS or len(entity.hash) > HASH_DIGITS:
        yield (), f'salt or hash longer than {HASH_DIGITS} digits'


def is_address(text: str) -> bool:
    """Returns whether a text is an IP address and port."""
    address, _, port = text.rpartition(':')
    if address.startswith('[') and address.endswith(']'):
        address = address[1:-1]
    elif ':' in address:
        return False
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return bool(PORT_PATTERN.fullmatch(port)) and int(port) <= MAX_PORT


def check_server(entity: Server) -> Iterator[Problem]:
    """Yields the problems of a backend server."""
    yield from check_id(entity.id)
    yield from check_id(entity.zone, ('zone',))
    yield from check_range('slots', entity.slots, 1, MAX_SLOTS)
    if not is_address(entity.address):
        yield ('address',), f'{entity.address!r} is not an IP address and port'


def check_service(entity: Service) -> Iterator[Problem]:
    """Yields the problems of a service and its backend servers."""
    yield from check_id(entity.id)
    count = len(entity.servers)
    if not 0 <= entity.floor <= count:
        yield ('floor',), f'{entity.floor} is not from 0 to the {count} servers'
    for index, server in enumerate(entity.servers):
        for field_path, problem in check_server(server):
            yield ('servers', index, *field_path), problem


def check_route(entity: Route) -> Iterator[Problem]:
    """Yields the problems of a route and its calls."""
    yield from check_id(entity.id)
    yield from check_range('timeout_ms', entity.timeout_ms, 1, MAX_TIMEOUT_MS)
    if not PREFIX_PATTERN.fullmatch(entity.prefix):
        yield ('prefix',), f'{entity.prefix!r} is not a path that starts with /'
    for index, call in enumerate(entity.calls):
        if not METHOD_PATTERN.fullmatch(call.method):
            problem = f'{call.method!r} is not a method in capitals or *'
            yield ('calls', index, 'method'), problem
        if not CALL_PATH_PATTERN.fullmatch(call.path):
            yield ('calls', index, 'path'), f'{call.path!r} is not a path'


CHECKS: dict[str, Callable[[Any], Iterator[Problem]]] = {
    'organisations': check_organisation,
    'keys': check_key,
    'services': check_service,
    'routes': check_route,
}
