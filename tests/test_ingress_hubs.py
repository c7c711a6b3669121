"""Tests of hubs and followers, with lost messages, cuts, freezes and deaths."""

from collections.abc import Iterator

import pytest

from teaselcove.ids import HostId, Instant
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.gossip import Gossip
from teaselcove.ingress.peer_messages import (
    ConfigurationNews,
    LimitNews,
    Role,
    ServerNews,
)
from teaselcove.platform.records import decode_configuration
from teaselcove.settings import HostSettings
from tests.hub_fleet import HubFleet, restarted
from tests.ingress_support import (
    ZONES,
    add_servers,
    configuration,
    entry,
    host_record,
    make_kernel,
)

SETTLED_S = 8
# Heartbeats per second that a host which is not a hub may send and receive.
MAX_IDLE_MESSAGES = 10
MAX_IDLE_BYTES = 1000
# Seconds within which callers are sent to hosts that live.
RECOVERY_S = 3
# Seconds between two reads of the store by the reader of a zone.
READ_INTERVAL_S = 0.9
# Age at which a host that gets a request would read the servers itself.
MAX_SERVERS_AGE_S = 1.8
HOSTS_IN_USE = 2


def idle_costs(hosts_per_zone: int) -> tuple[float, float]:
    """Returns messages and bytes a second of the costliest idle host."""
    fleet = HubFleet(hosts_per_zone, seed=1)
    fleet.run(SETTLED_S)
    fleet.reset_counters()
    fleet.run(SETTLED_S + 10)
    hubs = {host.record.host for zone in 'abc' for host in fleet.hubs(zone)}
    idle = [host for host in fleet.hosts if host not in hubs]
    messages = max(fleet.sent[host] + fleet.received[host] for host in idle)
    return messages / 10, max(fleet.sent_bytes[host] for host in idle) / 10


class TestCost:
    """Messages and bytes of the control between hosts."""

    @pytest.mark.parametrize('hosts_per_zone', [10, 40, 100])
    def test_idle_host(self, hosts_per_zone: int) -> None:
        """Guards against control whose cost grows with the fleet."""
        messages, sent_bytes = idle_costs(hosts_per_zone)
        assert messages <= MAX_IDLE_MESSAGES
        assert sent_bytes <= MAX_IDLE_BYTES

    def test_hosts_that_are_no_hubs(self) -> None:
        """Guards against two hosts that answer each other's answers."""
        fleet = HubFleet(10, seed=1)
        fleet.run(SETTLED_S)
        idle = [
            host for host in fleet.hosts.values() if not host.exchange.is_hub
        ]
        left, right = (
            next(host for host in idle if host.record.zone == zone)
            for zone in 'ab'
        )
        fleet.reset_counters()
        left.exchange.send_heartbeat(right.record.host, Instant(fleet.now))
        fleet.run(SETTLED_S + 2)
        assert fleet.sent[left.record.host] <= 2 * MAX_IDLE_MESSAGES

    @pytest.mark.parametrize('hosts_per_zone', [10, 40, 100])
    def test_number_of_hubs(self, hosts_per_zone: int) -> None:
        """Guards against a number of hubs that grows with the zone."""
        fleet = HubFleet(hosts_per_zone, seed=2)
        fleet.run(SETTLED_S)
        assert [len(fleet.hubs(zone)) for zone in 'abc'] == [4, 4, 4]


class TestAgreement:
    """All hosts of a zone send callers to the same live hosts."""

    def agreed(self, fleet: HubFleet, zone: str = 'a') -> tuple[str, ...]:
        """Returns the hosts in use that all hosts of a zone name."""
        answers = fleet.named_in_use(zone)
        assert len(answers) == 1
        return answers.pop()

    def check_alive(self, fleet: HubFleet, zone: str = 'a') -> None:
        """Checks that the hosts named in a zone live and are in use."""
        named = self.agreed(fleet, zone)
        assert len(named) == HOSTS_IN_USE
        live = {host.record.host for host in fleet.live(zone)}
        assert set(named) <= live
        assert {host for host in live if fleet.is_in_use(host)} == set(named)

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_start(self, seed: int) -> None:
        """Guards against hosts that disagree after a common start."""
        fleet = HubFleet(20, seed)
        fleet.run(3)
        for zone in 'abc':
            self.check_alive(fleet, zone)

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_all_hubs_die(self, seed: int) -> None:
        """Guards against a zone that depends on particular hosts."""
        fleet = HubFleet(20, seed)
        fleet.run(SETTLED_S)
        for hub in fleet.hubs('a'):
            hub.alive = False
        fleet.run(SETTLED_S + RECOVERY_S)
        self.check_alive(fleet)

    @pytest.mark.parametrize('seed', [1, 2, 3, 4, 5, 6])
    def test_most_hosts_die(self, seed: int) -> None:
        """Guards against the loss of 55 in 100 hosts, hubs among them."""
        fleet = HubFleet(20, seed)
        fleet.run(SETTLED_S)
        hosts = list(fleet.hosts.values())
        dead = fleet.random.sample(hosts, round(0.55 * len(hosts)))
        dead.extend(fleet.hubs('a'))
        for host in dead:
            host.alive = False
        fleet.run(SETTLED_S + RECOVERY_S + 1)
        for zone in 'abc':
            self.check_alive(fleet, zone)

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_frozen_hubs(self, seed: int) -> None:
        """Guards against callers sent to frozen hosts, and a split after."""
        fleet = HubFleet(20, seed)
        fleet.run(SETTLED_S)
        frozen = fleet.hubs('a')[:3]
        for hub in frozen:
            hub.frozen_until = SETTLED_S + 6
        fleet.run(SETTLED_S + RECOVERY_S)
        self.check_alive(fleet)
        fleet.run(SETTLED_S + 6 + RECOVERY_S)
        self.check_alive(fleet)

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_hub_whose_heartbeats_are_lost(self, seed: int) -> None:
        """Guards against a host cut off one way that counts itself in use."""
        fleet = HubFleet(20, seed)
        fleet.run(SETTLED_S)
        victim = fleet.named_in_use('a').pop()[0]
        fleet.cut = {(victim, host) for host in fleet.hosts}
        fleet.run(SETTLED_S + RECOVERY_S)
        others = fleet.named_in_use('a')
        assert not fleet.is_in_use(victim)
        assert all(victim not in answer for answer in others)

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_lost_messages(self, seed: int) -> None:
        """Guards against hosts in use that change with each lost message."""
        fleet = HubFleet(20, seed)
        fleet.run(SETTLED_S)
        before = self.agreed(fleet)
        fleet.loss = 0.05
        answers = set()
        for step in range(1, 61):
            fleet.run(SETTLED_S + step / 2)
            answers |= fleet.named_in_use('a')
        assert answers == {before}

    def test_restarted_hub(self) -> None:
        """Guards against a restarted host that takes its place back."""
        fleet = HubFleet(20, seed=1)
        fleet.run(SETTLED_S)
        victim = fleet.hubs('a')[0]
        victim.alive = False
        fleet.run(SETTLED_S + 0.5)
        fleet.start(restarted(victim.record, 60_000), SETTLED_S + 0.5)
        fleet.run(SETTLED_S + 0.5 + RECOVERY_S)
        self.check_alive(fleet)
        assert victim.record.host not in self.agreed(fleet)

    def test_other_zones_learn_the_hosts_in_use(self) -> None:
        """Guards against zones that lose each other when all hubs die."""
        fleet = HubFleet(20, seed=1)
        fleet.run(SETTLED_S)
        for zone in 'abc':
            for hub in fleet.hubs(zone):
                hub.alive = False
        fleet.run(SETTLED_S + 2 * RECOVERY_S + 5)
        in_use = {
            host for host in fleet.hosts if self.lives_in_use(fleet, host)
        }
        for name in in_use:
            hubs = fleet.hosts[name].kernel.service('hubs')
            heard = {item.host for item in hubs.other_hosts_in_use(fleet.now)}
            assert heard == in_use - {name}
        assert len(in_use) == 3 * HOSTS_IN_USE

    def lives_in_use(self, fleet: HubFleet, host: str) -> bool:
        """Returns whether a host runs and considers itself in use."""
        return fleet.hosts[host].alive and fleet.is_in_use(host)


class TestConfirmation:
    """Hubs pass on how recent the configuration and the servers are."""

    def read_for_zones(self, fleet: HubFleet) -> None:
        """Simulates a read of the store by the first hub of each zone."""
        now = Instant(fleet.now)
        for zone in ZONES:
            reader = fleet.hosts[fleet.named_in_use(zone).pop()[0]]
            reader.kernel.service('catalog').confirm(now)
            reader.kernel.service('discovery').confirm(now)
            reader.exchange.send_heartbeats(now)

    @pytest.mark.parametrize('loss', [0, 0.05])
    def test_age_at_followers(self, loss: float) -> None:
        """Guards against state that looks newer than the read behind it.

        Without losses it is recent enough to serve a request at any host.
        """
        fleet = HubFleet(20, seed=1)
        fleet.run(SETTLED_S)
        fleet.loss = loss
        ages: list[float] = []
        for step in range(20):
            self.read_for_zones(fleet)
            read_at = fleet.now
            fleet.run(SETTLED_S + (step + 1) * READ_INTERVAL_S)
            for host in fleet.hosts.values():
                confirmed_at = host.kernel.service('discovery').confirmed_at
                assert confirmed_at is None or confirmed_at <= read_at
                if step > 3:
                    ages.append(fleet.now - confirmed_at)
        ages.sort()
        assert ages[int(0.9 * len(ages))] < MAX_SERVERS_AGE_S
        assert loss or ages[-1] < MAX_SERVERS_AGE_S + READ_INTERVAL_S


class TestPassingOn:
    """Changes in the store reach the hosts that are no hubs."""

    @pytest.fixture(autouse=True)
    def close_transports(self) -> Iterator[None]:
        """Closes the sockets, without which the process would not end."""
        self.opened: list[Gossip] = []
        yield
        for gossip in self.opened:
            gossip.transport.close()

    def gossip(self, records: dict[HostRecord, Role]) -> Gossip:
        """Returns the messages of a host that hears the given others."""
        kernel = make_kernel()
        members = kernel.service('members')
        own = host_record('host-1')
        for record, role in records.items():
            members.record_heartbeat(record, False, False, (own,), Instant(3))
            members.peers[record.host].role = role
            members.peers[record.host].relies = role is Role.FOLLOWER
        settings = HostSettings(
            host='host-1',
            zone='a',
            address='127.0.0.1',
            port=0,
            peer_port=0,
            log_url='',
            list_url='',
        )
        gossip = Gossip(kernel, own, settings)
        self.opened.append(gossip)
        self.sent: list[HostId] = []
        gossip.transport.send = self.record
        return gossip

    def record(self, host: HostId, body: object) -> None:
        """Records the recipient of a message."""
        self.sent.append(host)

    def test_bytes_by_type_and_zone(self) -> None:
        """Guards against control traffic whose cause cannot be told."""
        other = host_record('host-9', zone='b')
        gossip = self.gossip({host_record('host-2'): Role.HUB, other: Role.HUB})
        by_type = gossip.transport.counters.sent_bytes_by_type
        by_type['Report', 'host-2'] = 5
        by_type['Report', 'host-9'] = 7
        assert gossip.sent_bytes() == {
            'peer_sent_bytes{type="Report",zone="own"}': 5,
            'peer_sent_bytes{type="Report",zone="other"}': 7,
        }

    @pytest.mark.parametrize(
        'news',
        [
            ConfigurationNews(decode_configuration(configuration())),
            ServerNews('s1', 1, entry('s1')),
            LimitNews({'s0': 2.5}),
        ],
    )
    def test_only_once(
        self, news: ConfigurationNews | ServerNews | LimitNews
    ) -> None:
        """Guards against followers that miss a change, and against loops."""
        hubs = {
            host_record(f'host-{index}', started_ms=-60_000): Role.HUB
            for index in (2, 3, 4)
        }
        followers = {
            host_record(f'follower-{index}', started_ms=60_000): Role.FOLLOWER
            for index in (1, 2)
        }
        gossip = self.gossip(hubs | followers)
        add_servers(gossip.kernel, 1)
        handle = gossip.handlers[type(news)]
        handle('host-2', news, Instant(3.1))
        assert sorted(self.sent) == ['follower-1', 'follower-2']
        handle('host-3', news, Instant(3.2))
        assert len(self.sent) == 2

    def test_limit_from_another_zone(self) -> None:
        """Guards against hosts that learn of a limit from the server only."""
        hub = host_record('host-2', started_ms=-60_000)
        follower = host_record('follower-1', started_ms=60_000)
        other = host_record('host-9', zone='b')
        gossip = self.gossip(
            {hub: Role.HUB, follower: Role.FOLLOWER, other: Role.HUB}
        )
        add_servers(gossip.kernel, 1)
        news = LimitNews({'s0': 2.5})
        gossip.handle_limit_news('host-9', news, Instant(3.1))
        assert sorted(self.sent) == ['follower-1', 'host-2']

    def test_limit_named_to_this_host(self) -> None:
        """Guards against limits that only the host knows that was told."""
        hub = host_record('host-2', started_ms=-60_000)
        other = host_record('host-9', zone='b')
        gossip = self.gossip({hub: Role.HUB, other: Role.HUB})
        add_servers(gossip.kernel, 1)
        gossip.members.peers['host-9'].is_in_use = True
        limits = gossip.kernel.service('server-limits')
        limits.record_answer('s0', 2.5, True, Instant(3.1))
        gossip.send_limits(Instant(3.2))
        gossip.send_limits(Instant(3.3))
        assert sorted(self.sent) == ['host-2', 'host-9']
