"""Deployments modelled on the users' sites, run as processes on loopback."""

import pathlib
import time
from typing import TypeVar

import msgspec
import yaml
from result import Ok

from bench.processes import BenchProcess, stop_all
from bench.relay import RelayPlan, Route
from cumintack.cli.api import Api
from cumintack.coordination.querying import QueryResult
from cumintack.demo.sample_upstream import Behaviour, Ledger
from cumintack.demo.sample_worker import WorkerLedger
from cumintack.transport.http_client import HttpClient
from cumintack.transport.http_server import find_free_port

SERVICE = 'rounds-desk'
READY_TIMEOUT_S = 40.0
POLL_S = 0.1
MAX_ANSWER_BYTES = 67108864
FETCH_TIMEOUT_S = 10.0

FetchedLedger = TypeVar('FetchedLedger')


class DeploymentSpec(msgspec.Struct, frozen=True):
    """Size and parameters of a deployment.

    Attributes:
        name: Name of the user that the deployment is modelled on.
        data_centres: Data centres. The processes of each role are assigned to
            them round robin, so that the first ones have a control replica.
        workers: Number of workers, each with a guard and an upstream.
        slots: Slots of each upstream.
        cores: Cores of each worker.
        memory_gb: Memory of each worker.
        controls: Number of control replicas.
        entries: Number of entries.
        work_ms: Mean service time of an upstream.
        has_agents: Whether workers run the agent of the platform.
        spread: Share of the service time that varies at random.
        policy: Routing policy of the entries; baselines use another one.
        queue_per_slot: Requests that a guard queues for each slot.
        relay: Delays of the relay between guards and controls, entries and
            upstreams; the deployment adds the routes. None for no relay.
        statsd_port: Port that metrics are sent to, 0 for none.
    """

    name: str
    data_centres: tuple[str, ...]
    workers: int
    slots: int = 8
    cores: int = 32
    memory_gb: int = 125
    controls: int = 3
    entries: int = 3
    work_ms: float = 5.0
    has_agents: bool = False
    spread: float = 0.5
    policy: str = 'expected-time'
    queue_per_slot: float = 1.0
    relay: RelayPlan | None = None
    statsd_port: int = 0


GUILD = DeploymentSpec('guild', ('north-yard', 'south-yard', 'east-yard'), 11)
AUTHORITY = DeploymentSpec(
    'authority',
    ('toronto', 'buffalo', 'cleveland', 'detroit'),
    11,
    cores=64,
    memory_gb=250,
)


class ProcessEndpoints(msgspec.Struct, frozen=True):
    """Addresses of a process and, for a guard, of its upstream and agent.

    Attributes:
        name: Name of the process.
        link: Address for the links between daemons.
        http: Address for HTTP.
        upstream: Address of the upstream of a worker.
        agent: Address of the agent of a worker.
    """

    name: str
    link: str
    http: str
    upstream: str = ''
    agent: str = ''


def _allocate_address() -> str:
    return f'127.0.0.1:{find_free_port()}'


class Deployment:
    """The processes of one deployment."""

    __slots__ = (
        '_folder',
        '_relay_addresses',
        '_spec',
        'agents',
        'api',
        'controls',
        'entries',
        'guards',
        'processes',
        'upstreams',
        'workers',
    )

    def __init__(self, spec: DeploymentSpec, folder: pathlib.Path) -> None:
        """Allocate addresses; ``start`` starts the processes."""
        self._spec = spec
        self._folder = folder
        self.controls = self._allocate_endpoints('control', spec.controls)
        self.entries = self._allocate_endpoints('entry', spec.entries)
        self.workers = self._allocate_endpoints('worker', spec.workers)
        self._relay_addresses: dict[tuple[str, str], str] = {}
        self.processes: dict[str, BenchProcess] = {}
        self.guards: list[str] = [worker.name for worker in self.workers]
        self.upstreams = [f'upstream-{name}' for name in self.guards]
        self.agents = [f'agent-{name}' for name in self.guards]
        self.api = Api(tuple(entry.http for entry in self.entries), '')

    def _allocate_endpoints(
        self, role: str, count: int
    ) -> list[ProcessEndpoints]:
        return [
            ProcessEndpoints(
                f'{role}-{number}',
                _allocate_address(),
                _allocate_address(),
                _allocate_address(),
                _allocate_address(),
            )
            for number in range(count)
        ]

    def start(self) -> None:
        """Start all processes and wait until every upstream is available."""
        if self._spec.relay is not None:
            self._start_relay(self._spec.relay)
        for index, control in enumerate(self.controls):
            self.start_daemon(control, 'control', index)
        for index, entry in enumerate(self.entries):
            self.start_daemon(entry, 'entry', index)
        for index, worker in enumerate(self.workers):
            if self._spec.has_agents:
                self._start_agent(worker, index)
            self.start_daemon(worker, 'guard', index)
            self.start_upstream(worker)
        self._wait_ready()

    def _start_relay(self, plan: RelayPlan) -> None:
        routes: dict[str, Route] = {}
        for data_centre in self._spec.data_centres:
            for peers in (self.controls, self.entries):
                for index, peer in enumerate(peers):
                    is_same_data_centre = (
                        self._get_data_centre(index) == data_centre
                    )
                    delay_ms = plan.far_delay_ms
                    if is_same_data_centre:
                        delay_ms = plan.near_delay_ms
                    listen_address = _allocate_address()
                    self._relay_addresses[data_centre, peer.link] = (
                        listen_address
                    )
                    routes[listen_address] = Route(peer.link, delay_ms)
        for worker in self.workers:
            listen_address = _allocate_address()
            self._relay_addresses['', worker.upstream] = listen_address
            routes[listen_address] = Route(worker.upstream)
        path = self._folder / 'relay.json'
        path.write_bytes(
            msgspec.json.encode(msgspec.structs.replace(plan, routes=routes)),
        )
        self.processes['relay-0'] = BenchProcess(
            'relay-0',
            'bench.relay',
            [str(path)],
            self._folder,
        )

    def _get_data_centre(self, index: int) -> str:
        centre_names = self._spec.data_centres
        return centre_names[index % len(centre_names)]

    def start_daemon(
        self,
        endpoints: ProcessEndpoints,
        role: str,
        index: int,
        *,
        is_bootstrap: bool = True,
    ) -> None:
        """Start one daemon from a settings file."""
        path = self._folder / f'{endpoints.name}.yaml'
        settings = self._create_settings(endpoints, role, index)
        path.write_text(yaml.safe_dump(settings), encoding='utf-8')
        arguments = ['--settings', str(path)]
        if role == 'control' and is_bootstrap:
            arguments.append('--bootstrap')
        self.processes[endpoints.name] = BenchProcess(
            endpoints.name,
            'cumintack.daemon.main',
            arguments,
            self._folder,
        )

    def _create_settings(
        self,
        endpoints: ProcessEndpoints,
        role: str,
        index: int,
    ) -> dict[str, object]:
        centre_names = self._spec.data_centres
        settings: dict[str, object] = {
            'name': endpoints.name,
            'data_centre': centre_names[index % len(centre_names)],
            'link_address': endpoints.link,
            'control_replicas': self._list_peers(self.controls, role, index),
            'entries': self._list_peers(self.entries, role, index),
            'admin': {'is_loopback_open': True},
        }
        if self._spec.statsd_port:
            settings['statsd'] = {
                'host': '127.0.0.1',
                'port': self._spec.statsd_port,
            }
        match role:
            case 'control':
                folder = self._folder / f'data-{endpoints.name}'
                settings['control'] = {'data_folder': str(folder)}
            case 'entry':
                settings['entry'] = {
                    'http_address': endpoints.http,
                    'policy': self._spec.policy,
                }
            case _:
                settings['guard'] = {
                    'worker': endpoints.name,
                    'http_address': endpoints.http,
                    'queue_per_slot': self._spec.queue_per_slot,
                    'platform_address': (
                        endpoints.agent if self._spec.has_agents else ''
                    ),
                }
        return settings

    def start_upstream(self, worker: ProcessEndpoints) -> None:
        """Start the sample upstream of a worker."""
        name = f'upstream-{worker.name}'
        self.processes[name] = BenchProcess(
            name,
            'cumintack.demo.sample_upstream',
            [
                '--address',
                worker.upstream,
                '--guard',
                worker.http,
                '--service',
                SERVICE,
                '--slots',
                str(self._spec.slots),
                '--work-ms',
                str(self._spec.work_ms),
                '--spread',
                str(self._spec.spread),
                '--announced',
                self._relay_addresses.get(('', worker.upstream), ''),
                '--agent',
                worker.agent if self._spec.has_agents else '',
            ],
            self._folder,
        )

    def _start_agent(self, worker: ProcessEndpoints, index: int) -> None:
        centre_names = self._spec.data_centres
        name = f'agent-{worker.name}'
        self.processes[name] = BenchProcess(
            name,
            'cumintack.demo.sample_worker',
            [
                '--address',
                worker.agent,
                '--name',
                worker.name,
                '--data-centre',
                centre_names[index % len(centre_names)],
                '--rack',
                f'rack-{index // 3}',
                '--cores',
                str(self._spec.cores),
                '--memory-gb',
                str(self._spec.memory_gb),
            ],
            self._folder,
        )

    def _wait_ready(self) -> None:
        text = 'select worker from upstreams where is_open = true'
        for entry in self.entries:
            api = Api((entry.http,), '')
            self.wait_for(api, text, len(self.workers))
        if self._spec.has_agents:
            self.wait_for(
                self.api,
                'select worker from workers',
                len(self.workers),
            )

    def wait_for(self, api: Api, text: str, count: int) -> None:
        """Poll a query until it returns at least ``count`` rows."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            result = api.execute(text)
            if isinstance(result, Ok) and isinstance(
                result.ok_value, QueryResult
            ):
                if len(result.ok_value.rows) >= count:
                    return
            time.sleep(POLL_S)
        raise TimeoutError(
            f'fewer than {count} rows after {READY_TIMEOUT_S} s: {text}'
        )

    def query(self, text: str) -> QueryResult:
        """Run a query, or raise if it fails."""
        result = self.api.execute(text)
        if isinstance(result, Ok) and isinstance(result.ok_value, QueryResult):
            return result.ok_value
        raise RuntimeError(f'{text}: {result}')

    def command(self, text: str) -> str:
        """Run a command, or raise if it fails.

        Returns the first name in the answer, or an empty text.
        """
        result = self.api.execute(text)
        if isinstance(result, Ok) and not isinstance(
            result.ok_value, QueryResult
        ):
            return next(iter(result.ok_value.names), '')
        raise RuntimeError(f'{text}: {result}')

    def set_behaviour(
        self, worker: ProcessEndpoints, behaviour: Behaviour
    ) -> None:
        """Change the behaviour of a worker's upstream."""
        self._post(worker.upstream, '/behaviour', behaviour)

    def _post(self, address: str, path: str, body: msgspec.Struct) -> None:
        client = HttpClient(address, 1, MAX_ANSWER_BYTES)
        client.send('POST', path, {}, msgspec.json.encode(body), 5.0)
        client.close()

    def fetch_ledgers(self) -> list[Ledger]:
        """Fetch the execution ledgers of all upstreams that answer."""
        addresses = [worker.upstream for worker in self.workers]
        return _fetch_from_all(addresses, '/ledger', Ledger)

    def fetch_worker_ledgers(self) -> list[WorkerLedger]:
        """Fetch the task ledgers of all workers that answer."""
        addresses = [worker.agent for worker in self.workers]
        return _fetch_from_all(addresses, '/v1/ledger', WorkerLedger)

    def get_leader(self) -> str:
        """Return the name of the leader among the control replicas."""
        rows = self.query('select replica from replicas where is_leader = true')
        return str(rows.rows[0][0])

    def stop(self) -> None:
        """Stop all processes gracefully."""
        stop_all(list(self.processes.values()))

    def _list_peers(
        self,
        peers: list[ProcessEndpoints],
        role: str,
        index: int,
    ) -> list[dict[str, str]]:
        relay_addresses = self._relay_addresses if role == 'guard' else {}
        data_centre = self._get_data_centre(index)
        return [
            {
                'name': peer.name,
                'address': relay_addresses.get(
                    (data_centre, peer.link),
                    peer.link,
                ),
            }
            for peer in peers
        ]


def _fetch_from_all(
    addresses: list[str],
    path: str,
    ledger_type: type[FetchedLedger],
) -> list[FetchedLedger]:
    ledgers = []
    for address in addresses:
        client = HttpClient(address, 1, MAX_ANSWER_BYTES)
        response = client.send('GET', path, {}, b'', FETCH_TIMEOUT_S)
        client.close()
        if isinstance(response, Ok):
            ledgers.append(
                msgspec.json.decode(response.ok_value.body, type=ledger_type)
            )
    return ledgers
