#!/usr/bin/env python3
"""Runs a deployment of real processes on loopback addresses and changes its configuration while it
is disturbed. Prints for each change when the gateways acted on it and which were late.

All gateways are asked several times a second. A change either adds a route, moves one to another
service, or gives one a home region, so every answer shows whether the gateway acts on the new
version. A gateway that was disturbed less than --contact_ms before a request is left out.
"""
import argparse
import asyncio
import collections
import dataclasses
import json
import multiprocessing
import os
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ZONES = {'este-a': 'este', 'centro-a': 'centro', 'norte-a': 'norte',
         'este-b': 'este', 'centro-b': 'centro', 'norte-b': 'norte'}
SERVICES = ('blue', 'green')
HOME_REGION = 'este'
HOST_NAME = 'fleet.example'
NETWORK = '127.40'  # the first two numbers of all addresses
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8144, 8140, 8146, 8147
FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 7660, 7675
METRICS_PORT, REPLICA_PORT = 9464, 8080
HEARTBEAT_S = 1.2
REPLICA_WORK_S = 0.01
REQUEST_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 1.5
DESCRIPTORS = 4096
MAX_ORDERS_IN_PROGRESS = 8
CHANGE_KINDS = ('add', 'move', 'home')


# ---- processes


@dataclasses.dataclass
class Daemon:
    name: str
    zone: str
    ip: str
    control: bool
    first_start: bool = True
    process: subprocess.Popen = None
    disturbed: list = dataclasses.field(default_factory=list)  # [begin, end], seconds

    def is_undisturbed(self, at, contact_s):
        return all(at < begin or at > end + contact_s for begin, end in self.disturbed)


class Fleet:
    """The daemons. Only processes that it started are signalled."""

    def __init__(self, binary, gateways, control, directory):
        self.binary = binary
        self.directory = pathlib.Path(directory)
        zones = list(ZONES)
        self.controls = [
            Daemon(f'core-{zones[i % len(zones)]}-{i // len(zones) + 1}', zones[i % len(zones)],
                   f'{NETWORK}.0.{i + 1}', True) for i in range(control)
        ]
        self.gateways = [
            Daemon(f'front-{zones[i % len(zones)]}-{i // len(zones) + 1}', zones[i % len(zones)],
                   f'{NETWORK}.{1 + i % len(zones)}.{1 + i // len(zones)}', False)
            for i in range(gateways)
        ]

    def daemons(self):
        return self.controls + self.gateways

    def write_settings(self, daemon, seeds):
        listen = {'control': CONTROL_PORT, 'directory': DIRECTORY_PORT} if daemon.control else {
            'front': FRONT_PORT, 'ready': READY_PORT}
        settings = {
            'node_name': daemon.name,
            'ip': daemon.ip,
            'zone': daemon.zone,
            'region': ZONES[daemon.zone],
            'zones': ZONES,
            'listen': {name: f'{daemon.ip}:{port}' for name, port in listen.items()},
            'internal_ports': [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            'seeds': [f'{control.ip}:{CONTROL_PORT}' for control in seeds],
            'bootstrap': daemon.first_start,
            'data_dir': str(self.directory / daemon.name) if daemon.control else None,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'bounds': {'grace_s': 8, 'ttl_max_s': 5},
        }
        path = self.directory / f'{daemon.name}.yaml'
        path.write_text(json.dumps(settings))  # JSON is YAML
        return path

    def start(self, daemon):
        settings = self.write_settings(daemon, self.controls[:3])
        if daemon.control:
            (self.directory / daemon.name).mkdir(exist_ok=True)
        log = open(self.directory / f'{daemon.name}.log', 'ab')
        daemon.process = subprocess.Popen(
            [self.binary, f'--metrics_port={METRICS_PORT}'], stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, env={'EBONYLIFT_NODE_FILE': str(settings), 'PATH': os.environ['PATH']},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))
        log.close()
        daemon.first_start = False

    def end(self):
        for daemon in self.daemons():
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons():
            if daemon.process is not None:
                daemon.process.wait()

    def own_ends(self):
        return [d.name for d in self.daemons() if d.process is not None and d.process.poll() is not None]


# ---- HTTP


async def read_message(reader):
    """Reads a message with a Content-Length. Returns its first line, headers and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return head[0], headers, body


async def call(ip, port, method, path, body=b'', headers=(), timeout=CALL_TIMEOUT_S):
    """Returns (status, body); status 0 if there was no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}', 'Connection: close',
                     f'Content-Length: {len(body)}', *(f'{n}: {v}' for n, v in headers)]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            first, _, answer = await read_message(reader)
            return int(first.split(' ')[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b''


# ---- replicas


class Replica:
    def __init__(self, service, zone, ip, controls):
        self.service, self.zone, self.ip = service, zone, ip
        self.id = f'i-{service}-{zone}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.controls = controls

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, _ = await read_message(reader)
                target = first.split(' ')[1]
                body = f'{self.service} {ZONES[self.zone]}'.encode()
                lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(body)}',
                         f'Attempt-Id: {headers.get("attempt-id", "")}', 'Server-Seal: fleet',
                         f'Instance-Id: {self.id}', 'Keep-Alive: timeout=30']
                if target != '/health':
                    await asyncio.sleep(REPLICA_WORK_S)
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def send_heartbeats(self):
        while True:
            self.sequence += 1
            beat = {'service': self.service, 'address': f'{self.ip}:{REPLICA_PORT}', 'zone': self.zone,
                    'version': 'v1', 'slots': 32, 'state': 'ready', 'cold_remaining_ms': 0,
                    'born': self.born, 'sequence': self.sequence}
            own = [c for c in self.controls if c[1] == self.zone]
            for ip, _ in own + random.sample(self.controls, len(self.controls)):
                status, _ = await call(ip, CONTROL_PORT, 'POST', f'/Instances.Heartbeat/{self.id}',
                                       json.dumps(beat).encode(), timeout=1)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_S)


def run_replicas(controls):
    async def main():
        tasks = []
        for index, (service, zone) in enumerate((s, z) for s in SERVICES for z in ZONES):
            replica = Replica(service, zone, f'{NETWORK}.100.{index + 1}', controls)
            await asyncio.start_server(replica.serve, replica.ip, REPLICA_PORT)
            tasks.append(asyncio.create_task(replica.send_heartbeats()))
        await asyncio.gather(*tasks)
    asyncio.run(main())


def keep_busy():
    while True:
        pass


# ---- configuration


def route(name, service, homes=()):
    return {'name': f'r-{name}', 'host': HOST_NAME, 'path_prefix': f'/{name}/', 'route_type': 'safe',
            'timeout_ms': 2000, 'target_latency_ms': 800, 'priority': 0, 'service': service,
            'max_attempts': 2, 'session_affinity': False, 'resumable': False, 'gap_target_ms': 400,
            'home_regions': list(homes)}


class Operator:
    """Sends configurations, each to the control hosts in turn until one acknowledges it."""

    def __init__(self, fleet, rng, extra_routes):
        self.fleet, self.rng = fleet, rng
        self.version = 0
        self.routes = {f'extra-{i}': route(f'extra-{i}', SERVICES[i % 2]) for i in range(extra_routes)}
        self.routes['base'] = route('base', SERVICES[0])

    def document(self):
        services = [{'name': s, 'health_path': '/health', 'max_connections': 1300, 'protocol': 'h1',
                     'tls': False, 'cold_start_s': 0.0, 'cold_per_s': 0.0} for s in SERVICES]
        limits = {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000,
                  'idle_timeout_ms': 15000}
        self.version += self.rng.randint(1, 3)
        return json.dumps({'version': self.version, 'routes': list(self.routes.values()),
                           'services': services, 'limits': limits}).encode()

    async def send(self, document, timeout_s=30):
        """Returns (seconds until the acknowledgement, name of the host); None if there was none."""
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            for control in self.rng.sample(self.fleet.controls, len(self.fleet.controls)):
                status, answer = await call(control.ip, CONTROL_PORT, 'POST', '/Config.Replace', document,
                                            timeout=1 + len(document) / 1e6)
                if status == 200:
                    return time.monotonic() - started, control.name
                if status == 400:
                    raise SystemExit(f'fleet: the configuration was refused: {answer.decode()}')
            await asyncio.sleep(0.1)
        return None


# ---- the requests that show which version a gateway acts on


@dataclasses.dataclass
class Sample:
    sent: float
    status: int
    body: str  # of a success: service and region; of a refusal: its code


class Prober:
    def __init__(self, fleet, interval_s):
        self.fleet, self.interval_s = fleet, interval_s
        self.path = '/base/x'
        self.samples = collections.defaultdict(list)  # by the name of the gateway
        self.attempts = 0

    def watch(self, path):
        self.path = path
        self.samples.clear()

    async def ask(self, gateway):
        self.attempts += 1
        sent, path = time.monotonic(), self.path
        headers = (('Attempt-Id', f'{os.getpid():08x}{self.attempts:08x}'), ('Deadline-Ms', 1900))
        status, body = await call(gateway.ip, FRONT_PORT, 'GET', path, headers=headers,
                                  timeout=REQUEST_TIMEOUT_S)
        text = body.decode('utf-8', 'replace')
        if status >= 400:
            try:
                text = json.loads(text)['error']['code']
            except (ValueError, KeyError, TypeError):
                pass
        if path == self.path:
            self.samples[gateway.name].append(Sample(sent, status, text))

    async def run(self, gateway, offset_s):
        await asyncio.sleep(offset_s)
        while True:
            next_at = time.monotonic() + self.interval_s
            await self.ask(gateway)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))


# ---- changes and what the answers to them show


@dataclasses.dataclass
class Change:
    kind: str
    name: str
    service: str

    @property
    def path(self):
        return f'/{self.name}/x'

    def apply(self, routes):
        routes[self.name] = route(self.name, self.service, [HOME_REGION] if self.kind == 'home' else [])

    def version_of(self, sample):
        """Returns 'old', 'new' or 'unknown'."""
        if self.kind == 'add':
            if sample.status == 404:
                return 'old'
            return 'new' if sample.status else 'unknown'
        if sample.status != 200:
            return 'unknown'
        service, region = sample.body.split(' ')
        if self.kind == 'move':
            return 'new' if service == self.service else 'old'
        return 'new' if region == HOME_REGION else 'old'

    def shows_version(self, gateway):
        """Whether the answers of the gateway tell the versions apart."""
        return self.kind != 'home' or ZONES[gateway.zone] != HOME_REGION


def make_changes(count, kinds, rng):
    name, service = 'base', SERVICES[0]
    for number in range(count):
        kind = kinds[number % len(kinds)]
        if kind == 'add':
            name, service = f'added-{number}', rng.choice(SERVICES)
        elif kind == 'move':
            service = SERVICES[1 - SERVICES.index(service)]
        yield Change(kind, name, service)


# ---- troubles


@dataclasses.dataclass
class Trouble:
    kind: str  # freeze, kill or term
    on: str  # gateways, control or leader
    share: float
    at_s: float  # from the acknowledgement of the change; negative: before it is sent
    for_s: float

    @staticmethod
    def parse(text):
        fields = text.split(':')
        try:
            kind, on = fields[0], fields[1]
            share, at_s, for_s = (float(field) for field in fields[2:])
            if kind not in ('freeze', 'kill', 'term') or on not in ('gateways', 'control', 'leader'):
                raise ValueError
            if not 0 < share <= 1 or for_s < 0:
                raise ValueError
        except (ValueError, IndexError):
            raise argparse.ArgumentTypeError(
                f'"{text}" is not KIND:ON:SHARE:AT_S:FOR_S with a KIND of freeze, kill, term and an ON '
                'of gateways, control, leader')
        return Trouble(kind, on, share, at_s, for_s)


def drawn_troubles(rng):
    """One to three troubles that overlap a change."""
    troubles = []
    for _ in range(rng.randint(1, 3)):
        troubles.append(Trouble(rng.choice(('freeze', 'kill', 'term')),
                                rng.choice(('gateways', 'gateways', 'control', 'leader')),
                                rng.choice((0.05, 0.1, 0.2, 0.33)), rng.uniform(-1.0, 1.0),
                                rng.choice((0.5, 1.5, 2.5, 6.0))))
    return troubles


class Disturber:
    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng

    def targets(self, trouble):
        if trouble.on == 'leader':
            leader = find_leader(self.fleet)
            return [leader] if leader else []
        group = self.fleet.gateways if trouble.on == 'gateways' else self.fleet.controls
        count = max(1, round(trouble.share * len(group)))
        if trouble.on == 'control':  # a majority stays
            count = min(count, (len(group) - 1) // 2)
        return self.rng.sample(group, count)

    async def run(self, trouble):
        targets = [t for t in self.targets(trouble) if t.process.poll() is None]
        begin = time.monotonic()
        for target in targets:
            target.disturbed.append([begin, begin + trouble.for_s + 60])
        sent = {'freeze': signal.SIGSTOP, 'kill': signal.SIGKILL, 'term': signal.SIGTERM}[trouble.kind]
        for target in targets:
            target.process.send_signal(sent)
        await asyncio.sleep(trouble.for_s)
        for target in targets:
            if trouble.kind == 'freeze':
                target.process.send_signal(signal.SIGCONT)
            else:
                while target.process.poll() is None:
                    await asyncio.sleep(0.05)
                self.fleet.start(target)
            target.disturbed[-1][1] = time.monotonic()


def find_leader(fleet):
    """The control host that was elected last, by the logs."""
    newest, leader = 0, None
    for control in fleet.controls:
        for event in read_events(fleet, control, {'leader_elected'}):
            if event['time'] > newest:
                newest, leader = event['time'], control
    return leader


def read_events(fleet, daemon, names):
    events = []
    with open(fleet.directory / f'{daemon.name}.log', 'rb') as log:
        for line in log:
            if not any(name.encode() in line for name in names):
                continue
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get('name') in names:
                events.append(event)
    return events


# ---- the report


CONFIG_EVENTS = {'config_revision_heard', 'config_pull_started', 'config_pull_failed', 'config_caught_up',
                 'config_view_published', 'peer_connected', 'host_suspected'}


def judge(fleet, change, samples, acked, acked_wall_ms, bound_s, contact_s):
    """Returns the lines of the report on one change, and the number of late gateways."""
    last_old, silent, refused = {}, [], collections.Counter()
    for gateway in fleet.gateways:
        if not change.shows_version(gateway):
            continue
        own = [s for s in samples[gateway.name]
               if s.sent >= acked and gateway.is_undisturbed(s.sent, contact_s)]
        old = [s.sent - acked for s in own if change.version_of(s) == 'old']
        last_old[gateway.name] = max(old, default=0.0)
        served = [s for s in own if s.status == 200]
        if own and not served:
            silent.append(gateway.name)
        refused.update(f'{s.status} {s.body[:40]}' for s in own if s.status not in (200, 404))
    late = {name: at for name, at in last_old.items() if at > bound_s}
    ranked = sorted(last_old.items(), key=lambda item: -item[1])
    times = sorted(last_old.values())
    lines = [f'  old version last seen, ms after the acknowledgement: median '
             f'{1000 * times[len(times) // 2]:.0f}, worst '
             + ', '.join(f'{name} {1000 * at:.0f}' for name, at in ranked[:3])]
    lines.append(f'  gateways: {len(times)} judged, {len(late)} later than {1000 * bound_s:.0f} ms, '
                 f'{len(silent)} served nothing; refusals: {dict(refused.most_common(4))}')
    for name, at in ranked[:3]:
        if at < min(1.0, bound_s):
            continue
        gateway = next(g for g in fleet.gateways if g.name == name)
        events = [e for e in read_events(fleet, gateway, CONFIG_EVENTS)
                  if -2000 <= e['time'] - acked_wall_ms <= 12000]
        lines.append(f'  log of {name}:')
        for event in events[:40]:
            fields = {k: v for k, v in event.items() if k not in ('event', 'name', 'time', 'hlc', 'daemon')}
            lines.append(f'    {event["time"] - acked_wall_ms:+6d} ms {event["name"]} {fields}')
    return lines, len(late)


def log_lags(fleet, since_ms, contact_s):
    """Returns [ms, gateway, revision] of each revision that was applied since then and each gateway
    that was not disturbed: the time from the first control host that applied it until the gateway
    published a view of it or of a later one."""
    applied = {}
    for control in fleet.controls:
        for event in read_events(fleet, control, {'config_applied'}):
            revision = int(event['revision'])
            if event['time'] >= since_ms:
                applied[revision] = min(event['time'], applied.get(revision, event['time']))
    lags = []
    clock_offset_s = time.time() - time.monotonic()
    for gateway in fleet.gateways:
        views = [(int(e['revision']), e['time'])
                 for e in read_events(fleet, gateway, {'config_view_published'}) if e['time'] >= since_ms]
        for revision, at in applied.items():
            later = [time_ms for seen, time_ms in views if seen >= revision]
            if later and gateway.is_undisturbed(min(later) / 1000 - clock_offset_s, contact_s):
                lags.append((min(later) - at, gateway.name, revision))
    return sorted(lags, reverse=True)


async def wait_until_ready(fleet, timeout_s):
    deadline = time.monotonic() + timeout_s
    waiting = list(fleet.gateways)
    while waiting and time.monotonic() < deadline:
        answers = await asyncio.gather(*(call(g.ip, READY_PORT, 'GET', '/ready') for g in waiting))
        waiting = [g for g, (status, _) in zip(waiting, answers) if status != 200]
        await asyncio.sleep(0.2)
    if waiting:
        raise SystemExit(f'fleet: not ready after {timeout_s} s: {[g.name for g in waiting][:5]}')


async def run(options, fleet, rng):
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    operator = Operator(fleet, rng, options.extra_routes)
    disturber = Disturber(fleet, rng)
    prober = Prober(fleet, options.probe_interval)
    for daemon in fleet.daemons():
        fleet.start(daemon)
    await asyncio.sleep(2)
    if await operator.send(operator.document()) is None:
        raise SystemExit('fleet: the first configuration was not acknowledged')
    await wait_until_ready(fleet, options.ready_s)
    print(f'ready: {len(fleet.gateways)} gateways, {len(fleet.controls)} control hosts, load '
          f'{os.getloadavg()[0]:.0f}', flush=True)
    tasks = [asyncio.create_task(prober.run(g, rng.random() * options.probe_interval))
             for g in fleet.gateways]
    await asyncio.sleep(options.settle)
    late = 0
    kinds = options.kinds.split(',')
    for number, change in enumerate(make_changes(options.changes, kinds, rng), 1):
        prober.watch(change.path)
        troubles = drawn_troubles(rng) if options.draw else options.trouble
        running = [asyncio.create_task(disturber.run(t)) for t in troubles if t.at_s < 0]
        await asyncio.sleep(max([-t.at_s for t in troubles if t.at_s < 0], default=0))
        ordered = await send_burst(operator, options)
        change.apply(operator.routes)
        ordered.append(asyncio.create_task(operator.send(operator.document())))
        acknowledged = await ordered[-1]
        if acknowledged is None:
            print(f'change {number} ({change.kind}): not acknowledged', flush=True)
            continue
        acked, acked_wall_ms = time.monotonic(), int(time.time() * 1000)
        for trouble in troubles:
            if trouble.at_s >= 0:
                running.append(asyncio.create_task(delayed(trouble.at_s, disturber, trouble)))
        await asyncio.sleep(options.bound_ms / 1000 + options.settle)
        await asyncio.gather(*running, *ordered)
        samples = {g.name: prober.samples[g.name] for g in fleet.gateways}
        lines, count = judge(fleet, change, samples, acked, acked_wall_ms, options.bound_ms / 1000,
                             options.contact_ms / 1000)
        late += count
        print(f'change {number} ({change.kind} {change.name}): acknowledged by {acknowledged[1]} after '
              f'{1000 * acknowledged[0]:.0f} ms; troubles: '
              f'{[dataclasses.astuple(t) for t in troubles]}; load {os.getloadavg()[0]:.0f}', flush=True)
        print('\n'.join(lines), flush=True)
        lags = log_lags(fleet, acked_wall_ms - 20000, options.contact_ms / 1000)
        if lags:
            print(f'  by the logs, ms from applied to in force, of {len(lags)}: median '
                  f'{lags[len(lags) // 2][0]}, worst {lags[:4]}', flush=True)
        if ends := fleet.own_ends():
            print(f'  ended by themselves: {ends}', flush=True)
        await asyncio.sleep(options.pause)
    for task in tasks:
        task.cancel()
    print(f'{late} late gateways in {options.changes} changes', flush=True)
    return late


async def send_burst(operator, options):
    """Sends all changes of a burst but the last one. Returns the orders in progress."""
    ordered = []
    for number in range(options.burst - 1):
        operator.routes[f'burst-{number % 8}'] = route(f'burst-{number % 8}', SERVICES[number % 2])
        ordered = [order for order in ordered if not order.done()]
        if len(ordered) < MAX_ORDERS_IN_PROGRESS - 1:
            ordered.append(asyncio.create_task(operator.send(operator.document())))
        await asyncio.sleep(options.burst_gap)
    return ordered


async def delayed(delay_s, disturber, trouble):
    await asyncio.sleep(delay_s)
    await disturber.run(trouble)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--binary', default='target/ebonylift-platform')
    parser.add_argument('--gateways', type=int, default=30)
    parser.add_argument('--control', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--changes', type=int, default=6)
    parser.add_argument('--kinds', default=','.join(CHANGE_KINDS), help='the changes, in turn')
    parser.add_argument('--extra_routes', type=int, default=0, help='size of the configuration')
    parser.add_argument('--burst', type=int, default=1, help='changes sent one after the other')
    parser.add_argument('--burst_gap', type=float, default=0.2, help='seconds between them')
    parser.add_argument('--trouble', type=Trouble.parse, action='append', default=[],
                        metavar='KIND:ON:SHARE:AT_S:FOR_S',
                        help='beside each change, from its acknowledgement; e.g. freeze:gateways:0.1:0.03:2.5')
    parser.add_argument('--draw', action='store_true', help='draws the troubles from the seed')
    parser.add_argument('--busy', type=int, default=0, help='processes that only use processor time')
    parser.add_argument('--probe_interval', type=float, default=0.25, help='seconds, for each gateway')
    parser.add_argument('--settle', type=float, default=3.0, help='seconds after the bound of a change')
    parser.add_argument('--pause', type=float, default=1.0, help='seconds between changes')
    parser.add_argument('--bound_ms', type=float, default=4000)
    parser.add_argument('--contact_ms', type=float, default=6000)
    parser.add_argument('--ready_s', type=float, default=60)
    parser.add_argument('--keep', metavar='DIR', help='keeps settings, logs and disks in this directory')
    options = parser.parse_args()
    if not os.access(options.binary, os.X_OK):
        parser.error(f'--binary: {options.binary} is not a program; build deploy/system.toml first')
    if not 1 <= options.gateways <= 6 * 250 or not 3 <= options.control <= 250:
        parser.error('--gateways must be 1 to 1500 and --control 3 to 250')
    unknown = set(options.kinds.split(',')) - set(CHANGE_KINDS)
    if unknown:
        parser.error(f'--kinds: {sorted(unknown)} unknown; known are {CHANGE_KINDS}')
    if options.kinds.split(',')[0] != 'add':
        parser.error('--kinds: the first change must be add')
    return options


def main():
    options = parse_options()
    directory = options.keep or tempfile.mkdtemp(prefix='fleet-')
    pathlib.Path(directory).mkdir(parents=True, exist_ok=True)
    fleet = Fleet(os.path.abspath(options.binary), options.gateways, options.control, directory)
    controls = [(c.ip, c.zone) for c in fleet.controls]
    helpers = [multiprocessing.Process(target=run_replicas, args=(controls,), daemon=True)]
    helpers += [multiprocessing.Process(target=keep_busy, daemon=True) for _ in range(options.busy)]
    try:
        for helper in helpers:
            helper.start()
        late = asyncio.run(run(options, fleet, random.Random(options.seed)))
    except asyncio.CancelledError:
        sys.exit('fleet: interrupted')
    finally:
        fleet.end()
        for helper in helpers:
            helper.kill()
        if not options.keep:
            shutil.rmtree(directory, ignore_errors=True)
    sys.exit(1 if late else 0)


if __name__ == '__main__':
    main()
