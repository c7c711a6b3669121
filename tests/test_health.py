"""Tests of detection, ejection and readmission with several hosts."""

import pytest

from teaselcove.effects import CloseConnections
from teaselcove.events import AttemptFinished, AttemptResult
from tests.backends import Backends, Fault
from tests.support import make_kernel
from tests.test_requests import arrival

HOSTS = 12
SERVERS = 9
FLOOR = 6
WARM_UP_S = 8
RATE = 60


def make_backends(seed: int = 3, **policies: str) -> Backends:
    """Returns a fleet after `WARM_UP_S` seconds of calls."""
    backends = Backends(HOSTS, SERVERS, FLOOR, seed=seed, **policies)
    backends.run(WARM_UP_S, RATE)
    return backends


def ejected(backends: Backends) -> set[str]:
    """Returns the servers ejected by pooled evidence."""
    return {
        server
        for _, server, stage in backends.stages('pooled')
        if stage == 'out'
    }


class TestDetection:
    """Unhealthy servers are detected and get no new work."""

    @pytest.mark.parametrize(
        'fault', [fault for fault in Fault if fault is not Fault.COLD]
    )
    def test_faulty_server_is_ejected(self, fault: Fault) -> None:
        """Guards against a faulty server that keeps its share of work."""
        backends = make_backends()
        backends.faults['s4'] = fault
        backends.run(WARM_UP_S + 3, RATE)
        assert ejected(backends) == {'s4'}
        assert {
            host: backends.weights(host)['s4'] for host in backends.fleet.hosts
        } == dict.fromkeys(backends.fleet.hosts, 0)

    def test_stall_is_detected_in_time(self) -> None:
        """Guards against a stall that counts only when it times out."""
        backends = make_backends()
        backends.faults['s4'] = Fault.STALL
        backends.run(WARM_UP_S + 3, RATE)
        found = backends.stages('pooled')[0]
        assert found[0] - WARM_UP_S < 2
        assert max(backends.starts['s4']) - WARM_UP_S < 3

    def test_local_evidence(self) -> None:
        """Guards against hosts that need an aggregator to detect a stall."""
        backends = make_backends(evidence='local')
        backends.faults['s4'] = Fault.STALL
        backends.run(WARM_UP_S + 6, RATE)
        assert not backends.stages('pooled')
        assert 's4' in {entry[1] for entry in backends.stages('local')}
        tags = set(backends.fleet.sent_by_tag)
        assert not tags & {'observations.report', 'observations.verdict'}

    def test_readmitted_after_trials(self) -> None:
        """Guards against a recovered server that stays ejected forever."""
        backends = make_backends()
        backends.faults['s4'] = Fault.STALL
        backends.run(WARM_UP_S + 1.5, RATE)
        backends.faults.clear()
        backends.run(WARM_UP_S + 20, RATE)
        stages = [
            stage
            for _, server, stage in backends.stages('pooled')
            if server == 's4' and stage != 'suspect'
        ]
        assert stages == ['out', 'trial', 'ramp', 'in-use']
        assert backends.weights('h1')['s4'] == 1

    def test_no_trial_with_non_idempotent_calls(self) -> None:
        """Guards against a trial with a call that must not be retried."""
        backends = make_backends()
        backends.faults['s4'] = Fault.STALL
        backends.run(WARM_UP_S + 3, RATE)
        starts_before = len(backends.starts['s4'])
        backends.run(WARM_UP_S + 10, RATE, method='POST')
        assert len(backends.starts['s4']) == starts_before

    def test_longer_ejection_for_flapping(self) -> None:
        """Guards against ejecting a flapping server for the same time again."""
        backends = make_backends()
        for start in range(WARM_UP_S, 60, 4):
            backends.faults['s4'] = Fault.STALL
            backends.run(start + 2, RATE)
            backends.faults.clear()
            backends.run(start + 4, RATE)
        ejections = [
            at for at, _, stage in backends.stages('pooled') if stage == 'out'
        ]
        assert len(ejections) <= 5


class TestCommonCauses:
    """Faults that the server does not cause lead to no ejection."""

    @pytest.mark.parametrize('seed', [1, 2, 3, 4, 6, 8])
    def test_overload(self, seed: int) -> None:
        """Guards against ejecting servers when all are slow."""
        backends = make_backends(seed)
        backends.latency *= 10
        backends.run(WARM_UP_S + 8, RATE)
        assert not ejected(backends)

    def test_cold_third(self) -> None:
        """Guards against ejecting servers that start cold."""
        backends = make_backends()
        backends.faults.update(dict.fromkeys(('s0', 's3', 's6'), Fault.COLD))
        backends.run(WARM_UP_S + 5, RATE)
        assert not ejected(backends)

    def test_path_fault_of_one_host(self) -> None:
        """Guards against an ejection on all hosts for the path of one."""
        backends = make_backends()
        backends.path_faults.add(('h2', 's4'))
        backends.run(WARM_UP_S + 12, RATE)
        assert not ejected(backends)
        assert backends.weights('h2')['s4'] == 0
        assert backends.weights('h3')['s4'] == 1

    def test_lost_zone(self) -> None:
        """Guards against leaving a lost zone in use or ejecting another."""
        backends = make_backends()
        zone = dict.fromkeys(('s0', 's3', 's6'), Fault.REFUSES)
        backends.faults.update(zone)
        backends.run(WARM_UP_S + 5, RATE)
        assert ejected(backends) == set(zone)

    def test_pause_of_a_host(self) -> None:
        """Guards against a host that counts its own pause as a stall."""
        backends = make_backends()
        backends.fleet.pause('h2', 3)
        backends.run(WARM_UP_S + 6, RATE)
        assert not ejected(backends)
        assert not backends.stages('local')


class TestConnections:
    """Dead connections are replaced."""

    def test_new_connection(self) -> None:
        """Guards against reusing connections that no longer respond."""
        kernel = make_kernel(ejection='peer-comparison')
        dials = {}
        for number in range(20):
            now = 1 + number / 10
            for effect in kernel.handle(arrival(number), now):
                if type(effect).__name__ == 'Dial':
                    dials[number] = effect
            done = AttemptFinished(
                dials[number].attempt_id, AttemptResult.COMPLETE, 200
            )
            kernel.handle(done, now + 0.02)
        effects = kernel.handle(arrival(90), 3.1)
        stalled = next(
            effect for effect in effects if type(effect).__name__ == 'Dial'
        )
        closed = []
        for step in range(32, 50):
            for effect in kernel.handle(arrival(100 + step), step / 10):
                if isinstance(effect, CloseConnections):
                    closed.append(effect.server)
        assert closed[0] == stalled.server
        health = kernel.service('health')
        assert health.needs_new_connection(stalled.server, 5)


class TestConsecutiveFailures:
    """The baseline that counts consecutive failures on each host."""

    def test_ejects(self) -> None:
        """Guards against a baseline that ejects nothing."""
        backends = make_backends(ejection='consecutive-failures')
        backends.faults['s4'] = Fault.REFUSES
        backends.run(WARM_UP_S + 10, RATE)
        weights = [
            backends.weights(host)['s4'] for host in backends.fleet.hosts
        ]
        assert 0 in weights
