"""A fleet in virtual time whose configuration is changed by operators."""

import itertools

import msgspec

from teaselcove import messages, parts
from teaselcove.commands.submission import Verdict, resolve_submission
from teaselcove.configuration import STREAM, Configuration
from teaselcove.entities import Entities, Key
from teaselcove.fleet import Fleet
from teaselcove.fold import RecordResult, State, entities_digest, fold
from teaselcove.plan import difference
from teaselcove.rebuild import Phase, Rebuild
from teaselcove.records import ApplyRecord, encode_record
from tests.support import ENTITIES, make_settings

# The services that distribute the configuration, and those they depend on.
SERVICES = [
    'configuration',
    'membership',
    'recovery',
    'relay',
    'requests',
    'snapshots',
    'transfers',
]
ORGANISATION = ENTITIES.organisations[0]


class Operators:
    """Applies changes and checks the hosts against a reference state.

    Attributes:
        reference: State after all records, including those that retention
            dropped.
        digests: Expected digest of each version.
        withdrawn: Virtual time at which an accepted change withdrew each key.
        won: Ids of the changes that won.
    """

    def __init__(self, hosts: int, seed: int = 1) -> None:
        self.fleet = Fleet(seed, SERVICES)
        self.reference = State()
        self.digests = {0: 0}
        self.withdrawn: dict[str, float] = {}
        self.won: set[str] = set()
        self.numbers = itertools.count(1)
        for number in range(1, hosts + 1):
            self.add_host(number)

    def add_host(self, number: int) -> None:
        """Starts a host with empty state."""
        settings = msgspec.structs.replace(
            make_settings(),
            host=f'host-{number}',
            zone='abc'[number % 3],
            address=f'127.0.1.{number}',
        )
        self.fleet.add_host(settings)

    def configuration(self, name: str) -> Configuration:
        """Returns the configuration service of a host."""
        kernel = self.fleet.hosts[name].kernel
        return kernel.service('configuration')

    def read(self) -> State:
        """Returns the configuration that an operator reads from the log."""
        rebuild = Rebuild()
        while not rebuild.is_finished:
            request = rebuild.request
            rebuild.handle_read(
                self.fleet.log.read(request.stream, request.offset)
            )
        assert rebuild.phase is Phase.DONE, rebuild.loss_reason
        return rebuild.state

    def append(self, payload: bytes) -> RecordResult | None:
        """Appends to the log and folds the record into the reference.

        Returns:
            The fate of the record, or None if the log is unavailable.
        """
        log = self.fleet.log
        offset = log.first[STREAM] + len(log.streams[STREAM])
        if not log.available:
            return None
        log.append(STREAM, payload)
        before = self.reference.tables.entities()
        fate = fold(self.reference, offset, payload)
        if fate is RecordResult.WON:
            after = self.reference.tables.entities()
            self.digests[self.reference.version] = self.reference.digest
            for key in set(before.keys) - set(after.keys):
                self.withdrawn[key.id] = self.fleet.now
        return fate

    def plan(self, state: State, rate: float, key_id: str = '') -> ApplyRecord:
        """Returns a change that sets a rate and replaces all keys by one."""
        key = Key(key_id or f'k{next(self.numbers)}', ORGANISATION.id, '', '')
        wanted = msgspec.structs.replace(
            ENTITIES,
            organisations=(msgspec.structs.replace(ORGANISATION, rate=rate),),
            keys=(key,),
        )
        change = difference(state.tables.entities(), wanted)
        number = next(self.numbers)
        return change.record(f'apply-{number}', state.version, 'me')

    def submit(self, record: ApplyRecord) -> Verdict | None:
        """Applies a change and checks the verdict that the operator gets."""
        expected = RecordResult.WON
        if record.apply_id in self.won:
            expected = RecordResult.REPEATED
        elif record.base != self.reference.version:
            expected = RecordResult.LOST
        fate = self.append(encode_record(record))
        if fate is None:
            return None
        assert fate is expected
        if fate is RecordResult.WON:
            self.won.add(record.apply_id)
        verdict = resolve_submission(self.read(), record, written=True).verdict
        in_force = fate in {RecordResult.WON, RecordResult.REPEATED}
        assert (verdict is Verdict.ACCEPTED) == in_force
        return verdict

    def truncate(self) -> None:
        """Simulates retention: drops records that a snapshot covers."""
        found = parts.Assembly()
        for payload in self.fleet.log.streams[parts.STREAM]:
            found.add(messages.decode(payload))
        newest = found.newest_complete()
        if newest is not None:
            self.fleet.log.truncate(STREAM, newest.next_offset)

    def check(self, limit: float) -> None:
        """Checks the configuration and the withdrawn keys of each host.

        Args:
            limit: Seconds after which a withdrawn key must be refused.
        """
        now = self.fleet.now
        for name, host in self.fleet.hosts.items():
            own = self.configuration(name)
            assert own.version in self.digests, name
            assert own.digest == self.digests[own.version], name
            entities: Entities = own.state.tables.entities()
            assert entities_digest(entities) == own.digest, name
            if host.paused_until > now or not own.may_serve(now):
                continue
            for key_id, since in self.withdrawn.items():
                assert now - since <= limit or own.key(key_id) is None, name
