#!/usr/bin/env python3
"""Runs one experiment on two deployments at the same time and compares their measures.

Both deployments get the same traces and the same faults; they differ in the routing policy or the
build only, and see the same noise of the machine. Latencies are those of `ebonylift load`, from the
intended send time; cost comes from the records of the backend servers. See docs/notes/routing.md.
"""
import argparse
import atexit
import collections
import concurrent.futures
import json
import math
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time

import demo

# ---- assumptions about the engines; printed with every result

DECODE_US = 20000  # one decode step of a batch of one: below the target of 33 ms between tokens
SLOWDOWN = 0.02  # share by which each further job slows a step
PREFILL_US = 125  # per prompt token, as routing.h assumes
SLOTS = 4
CACHE_TOKENS = 20000
FIRST_TOKEN_TARGET_S = 1.4

# ---- the trace

# kind: (share, model suffix, prompt tokens, output tokens, streamed). The suffix names the route.
KINDS = {
    'interactive': (0.50, '', (64, 256), (8, 24), True),
    'check': (0.26, '-check', (32, 64), (4, 8), False),
    'chapter': (0.24, '-long', (512, 1536), (64, 128), True),
}
HOME_SHARE = 0.24  # of the requests are bound to a home region
PREFIX_GROUPS = 12  # in each region
MAX_PROCESSES = 100
LOAD_TIMEOUT_S = 120
JOBS = 6  # batch jobs submitted in each run
JOB_TIMEOUT_S = 60
SETTLE_S = 12  # slow start of the engines after their first announcement is 10 s


class Experiment:
    """Load as a multiple of the capacity, and what differs from the plain deployment."""

    def __init__(self, load, fault=None, slow_engines=0, small_region=0, load_lag_ms=300):
        self.load = load
        self.fault = fault  # None, 'region' or 'cold'
        self.slow_engines = slow_engines  # share of engines with half the speed
        self.small_region = small_region  # capacity of the last region, 0: as the others
        self.load_lag_ms = load_lag_ms


EXPERIMENTS = {
    'unloaded': Experiment(0.1),
    'capacity': Experiment(1.0),
    'overload': Experiment(2.0),
    'region_lost': Experiment(0.6, fault='region'),
    'small_region': Experiment(0.6, small_region=0.1),
    'uneven': Experiment(0.7, slow_engines=1 / 3),
    'lagging': Experiment(0.8, load_lag_ms=3000),
    'cold_return': Experiment(0.6, fault='cold'),
}


def engine_share(profile, experiment, name, engines):
    """Speed and slots of one engine."""
    number = int(name.rsplit('-', 1)[1])
    domain = name[:name.index('-engine-')]
    slots = SLOTS
    if experiment.small_region and domain == list(profile.domains)[-1]:
        slots = max(1, round(SLOTS * engines * experiment.small_region)) if number == 1 else 0
    slow = experiment.slow_engines and number <= round(engines * experiment.slow_engines)
    return (2.0 if slow else 1.0), slots


def slot_seconds(prompt, output):
    """Slot time of a request in a full batch, by the engine's parameters, when half of the shared
    half of its prompt is cached."""
    decode = output * DECODE_US * (1 + SLOWDOWN * (SLOTS - 1)) / 1e6
    # A prefill step holds up the whole batch, so it costs the time of all slots.
    return decode + 0.75 * prompt * PREFILL_US / 1e6 * SLOTS


def seconds_of(kind):
    _, _, prompt, output, _ = KINDS[kind]
    return slot_seconds(statistics.mean(prompt), statistics.mean(output))


def capacity(profile, experiment, engines):
    """Requests per second that the engines of all regions carry, half of the prefixes cached."""
    mean = sum(KINDS[kind][0] * seconds_of(kind) for kind in KINDS)
    slots = 0
    for domain in profile.domains:
        for number in range(1, engines + 1):
            slow, count = engine_share(profile, experiment, f'{domain}-engine-{number}', engines)
            slots += count / slow
    return slots / mean


def make_trace(profile, experiment, engines, seed, length, warm=False):
    """Poisson arrivals; each region peaks at another third of the run with 1.6 times its mean."""
    rng = random.Random(f'{profile.name} {seed}')
    regions = list(profile.domains.values())
    rate = capacity(profile, experiment, engines) * (0.3 if warm else experiment.load)
    kinds = list(KINDS)
    items = []
    for index, region in enumerate(regions):
        at = 0.0
        while True:
            # Thinning: candidates at the peak rate, kept with the share of the rate at this time.
            at += rng.expovariate(rate / len(regions) * 1.6)
            if at >= length:
                break
            phase = 2 * math.pi * (at / length - index / len(regions))
            if rng.random() > (1 + 0.6 * math.sin(phase)) / 1.6:
                continue
            kind = rng.choices(kinds, [KINDS[k][0] for k in kinds])[0]
            _, suffix, prompt, output, stream = KINDS[kind]
            home = rng.random() < HOME_SHARE
            items.append({
                'at_ms': int(at * 1000), 'region': region, 'class': kind, 'stream': stream,
                'model': profile.model + suffix + (f'-home-{region}' if home else ''),
                'prompt_tokens': rng.randint(*prompt), 'output_tokens': rng.randint(*output),
                'prefix_group': f'{region}-{seed}-{rng.randrange(PREFIX_GROUPS)}'})
    items.sort(key=lambda item: item['at_ms'])
    return items


# ---- one deployment


class Processes(demo.Processes):
    """Adds the experiment's flags to the programs that the demo's deployment starts."""

    def __init__(self, directory, build, extra):
        super().__init__(directory)
        self.build = build
        self.extra = extra  # function of the name to flags; None: is not started

    def start(self, name, binary, arguments):
        flags = self.extra(name, arguments)
        if flags is None:
            return
        log = open(self.directory / f'{name}.log', 'ab')
        program = self.build / binary if binary == 'ebonylift' else demo.BUILD / binary
        self.by_name[name] = subprocess.Popen(
            [str(program), *arguments, *flags], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            start_new_session=True)
        log.close()


class Side:
    """One of the two deployments."""

    def __init__(self, label, policy, build, profile, experiment, engines, directory):
        self.label = label
        self.policy = policy
        self.experiment = experiment
        self.engines = engines
        directory.mkdir()
        self.processes = Processes(directory, build, self.flags)
        self.deployment = demo.Deployment(profile, self.processes)
        self.profile = profile
        if experiment.small_region:
            for name in list(self.deployment.servers):
                if '-engine-' in name and not engine_share(profile, experiment, name, engines)[1]:
                    del self.deployment.servers[name]

    def models(self):
        names = []
        for _, suffix, _, _, _ in KINDS.values():
            names.append(self.profile.model + suffix)
            names += [f'{self.profile.model}{suffix}-home-{r}' for r in self.regions()]
        return names

    def regions(self):
        return list(dict.fromkeys(self.profile.domains.values()))

    def flags(self, name, arguments):
        if arguments[0] == 'serve':
            return [f'--routing_policy={self.policy}']
        if arguments[0] == 'service':
            return None  # no plain service takes part in the trace
        if arguments[0] != 'engine':
            return []
        slow, slots = engine_share(self.profile, self.experiment, name, self.engines)
        return [f'--models={",".join(self.models())}', f'--slots={slots}',
                f'--decode_us_per_token={int(DECODE_US * slow)}', f'--slowdown_per_job={SLOWDOWN}',
                f'--prefill_us_per_token={int(PREFILL_US * slow)}',
                f'--cache_tokens={CACHE_TOKENS}', f'--load_lag_ms={self.experiment.load_lag_ms}']

    def start(self):
        deployment = self.deployment
        for name in [n for n, s in deployment.servers.items() if s['kind'] == 'service']:
            del deployment.servers[name]
        deployment.start()
        regions = {}
        for name, host in deployment.hosts.items():
            value = regions.setdefault(host['region'], {'domains': [], 'record_hosts': []})
            if host['domain'] not in value['domains']:
                value['domains'].append(host['domain'])
            if host['disk']:
                value['record_hosts'].append(name)
        for region, value in regions.items():
            deployment.put(f'/deployment/regions/{region}', value)
        self.team = next(iter(self.profile.teams))
        everywhere = self.regions()
        deployment.put(f'/teams/{self.team}/residency', {'regions': everywhere})
        deployment.put(f'/teams/{self.team}/keys/demo',
                       {'sha256': demo.sha256(deployment.team_keys[self.team])})
        for kind, (_, suffix, _, _, _) in KINDS.items():
            for home in [None] + everywhere:
                name = self.profile.model + suffix + (f'-home-{home}' if home else '')
                # Chapters give cost and staying at home the higher weight (design page, 1.2).
                weights = (0.3, 2.0, 2.0) if kind == 'chapter' else (1.0, 0.5, 0.2)
                deployment.put(f'/teams/{self.team}/routes/{name}', {
                    'kind': 'model', 'model': name, 'regions': [home] if home else everywhere,
                    'home': home or everywhere[0], 'class': kind, 'idempotent': True,
                    'deadline_ms': 60000 if kind == 'chapter' else 10000,
                    'send_away': home is None, 'weight_latency': weights[0],
                    'weight_cost': weights[1], 'weight_remote': weights[2]})
        deployment.profile.teams[self.team] = everywhere
        deployment.wait_serving()

    def load(self, trace, prefix):
        targets = ','.join(f'{h["region"]}={h["client"]}' for h in self.deployment.hosts.values())
        return subprocess.Popen(
            [str(demo.BUILD / 'ebonylift'), 'load', f'--targets={targets}', f'--trace={trace}',
             f'--team_key={self.deployment.team_keys[self.team]}', f'--model={self.profile.model}',
             f'--samples={prefix}.samples', f'--plot={prefix}.svg', '--json',
             '--call_timeout_ms=70000'],
            stdin=subprocess.DEVNULL, stdout=open(f'{prefix}.json', 'wb'),
            stderr=open(f'{prefix}.err', 'wb'))

    def submit_jobs(self, seed):
        """Ids of accepted batch jobs with the host that accepted each."""
        jobs = []
        headers = {'authorization': 'Bearer ' + self.deployment.team_keys[self.team],
                   'content-type': 'application/json'}
        hosts = list(self.deployment.hosts.values())
        for number in range(JOBS):
            body = {'model': self.profile.model + '-long', 'max_tokens': 48, 'user': 'job',
                    'messages': [{'role': 'user', 'content': f'job {seed} {number} ' + 'x' * 800}]}
            host = hosts[number % len(hosts)]
            reply = demo.call(host['http'], 'POST', '/v1/jobs', json.dumps(
                {'path': '/v1/chat/completions', 'body': body}), {
                    **headers, 'idempotency-key': f'{seed}-{number}'}, 10)
            if reply.whole and reply.status == 202:
                jobs.append((host['http'], reply.json().get('id')))
        return jobs

    def lost_jobs(self, jobs):
        headers = {'authorization': 'Bearer ' + self.deployment.team_keys[self.team]}
        deadline = time.monotonic() + JOB_TIMEOUT_S
        open_jobs = list(jobs)
        while open_jobs and time.monotonic() < deadline:
            open_jobs = [(host, job) for host, job in open_jobs if demo.call(
                host, 'GET', f'/v1/jobs/{job}', None, headers, 10).json().get('state')
                != 'finished']
            time.sleep(0.2 if open_jobs else 0)
        return len(open_jobs)

    # ---- faults: the first region loses its engines for the middle third of the run

    def region_engines(self):
        domain = next(iter(self.profile.domains))
        return [n for n, s in self.deployment.servers.items() if s['domain'] == domain]

    def lose_region(self):
        if self.experiment.fault == 'cold':
            for name in self.region_engines():
                self.processes.kill(name)
            return
        self.set_engine_faults({'refuse': True, 'silent': True})

    def return_region(self):
        if self.experiment.fault == 'cold':
            for name in self.region_engines():
                self.deployment._start_server(name)
            return
        self.set_engine_faults({'clear': True})

    def set_engine_faults(self, faults):
        for name in self.region_engines():
            demo.call(self.deployment.servers[name]['control'], 'POST', '/standin/fault',
                      json.dumps(faults), {'content-type': 'application/json'}, 5)

    def goodput(self, items, since, until):
        """Slot seconds of completed runs that fall between the two times, each run counted by what
        its request needs and not by how long it took."""
        work = 0
        for entry in self.deployment.records():
            if entry['outcome'] != 'completed' or not entry['user'].startswith('request-'):
                continue
            if entry['received'] < since or entry['finished'] < since:
                continue
            item = items[int(entry['user'][8:])]
            inside = min(entry['finished'], until) - entry['started']
            if inside > 0:
                share = inside / max(1, entry['finished'] - entry['started'])
                work += share * slot_seconds(item['prompt_tokens'], item['output_tokens'])
        return work

    def busy_seconds(self, since, until):
        """Time in which each engine ran at least one request, and slot seconds, by its record."""
        spans = collections.defaultdict(list)
        tokens = 0
        for entry in self.deployment.records():
            if entry['started'] and entry['finished'] and entry['started'] >= since \
                    and entry['started'] < until:
                spans[entry['server']].append((entry['started'], entry['finished']))
                tokens += entry['tokens']
        busy = 0
        slot = 0
        for runs in spans.values():
            end = 0
            for start, finish in sorted(runs):
                slot += finish - start
                busy += max(0, finish - max(start, end))
                end = max(end, finish)
        return busy / 1000, slot / 1000, tokens


# ---- measures


def percentile(values, share):
    values = sorted(values)
    if not values:
        return None
    return values[max(0, math.ceil(share * len(values)) - 1)]


def direction_changes(samples, length):
    """Reversals of the flow between two regions: half seconds in which the net number of requests
    sent between a pair has the other sign than in the last half second with a net flow."""
    buckets = collections.Counter()
    for sample in samples:
        away = sample['serving_region']
        if sample['outcome'] == 'answered' and away and away != sample['region']:
            pair = tuple(sorted((sample['region'], away)))
            sign = 1 if pair[0] == sample['region'] else -1
            buckets[(pair, int(sample['at_ms'] // 500))] += sign
    changes = 0
    for pair in {key[0] for key in buckets}:
        last = 0
        for step in range(int(length * 2) + 1):
            flow = buckets[(pair, step)]
            if flow and last and flow * last < 0:
                changes += 1
            last = flow or last
    return changes


def measure(side, prefix, items, since, until, length, lost, accepted):
    samples = [json.loads(line) for line in open(f'{prefix}.samples', encoding='utf-8')]
    report = json.loads(pathlib.Path(f'{prefix}.json').read_text().splitlines()[-1])
    answered = [s for s in samples if s['outcome'] == 'answered']
    row = {'requests': report['requests'], 'answered': len(answered),
           'broken': report['broken'], 'not_sent': report['not_sent'],
           'tool_late_p99_ms': report['late']['p99_ms']}
    for kind in KINDS:
        of_kind = [s for s in answered if s['class'] == kind]
        first = [s['first_token_ms'] for s in of_kind if s['first_token_ms'] is not None]
        for share in (50, 95, 99):
            if KINDS[kind][4]:
                row[f'{kind}_first_p{share}_ms'] = percentile(first, share / 100)
            row[f'{kind}_total_p{share}_ms'] = percentile([s['total_ms'] for s in of_kind],
                                                          share / 100)
        if KINDS[kind][4]:
            row[f'{kind}_first_in_target_share'] = (
                sum(f <= FIRST_TOKEN_TARGET_S * 1000 for f in first) / max(1, len(first)))
        row[f'{kind}_refused_share'] = 1 - len(of_kind) / max(
            1, sum(s['class'] == kind for s in samples))
    for share in (50, 95, 99):
        row[f'between_p{share}_ms'] = report['between_tokens'][f'p{share}_ms']
    row['remote_share'] = sum(s['serving_region'] != s['region'] for s in answered) / max(
        1, len(answered))
    row['direction_changes'] = direction_changes(samples, length)
    busy, slot, tokens = side.busy_seconds(since, until)
    row['busy_s'] = busy
    row['busy_ms_per_answer'] = 1000 * busy / max(1, len(answered))
    # Completed work while the trace was sent, relative to the slots' capacity.
    work = side.goodput(items, since, since + length * 1000)
    row['goodput_share'] = work / (capacity_slots(side) * length)
    row['slot_s'] = slot
    row['tokens'] = tokens
    row['elapsed_s'] = (until - since) / 1000
    row['jobs_accepted'] = accepted
    row['jobs_lost'] = lost
    for reason, count in sorted(report['refused'].items()):
        row[f'refused {reason}'] = count
    for reason, count in sorted(report['broken_by'].items()):
        row[f'broken {reason}'] = count
    return row


def capacity_slots(side):
    total = 0
    for name, server in side.deployment.servers.items():
        if server['kind'] == 'engine':
            slow, slots = engine_share(side.profile, side.experiment, name, side.engines)
            total += slots / slow
    return total


# ---- the run


def run_seed(sides, options, experiment, seed, directory):
    profile = sides[0].profile
    trace = directory / f'trace-{seed}.jsonl'
    items = make_trace(profile, experiment, options.engines, seed, options.seconds, seed == 0)
    trace.write_text(''.join(json.dumps(item) + '\n' for item in items))
    since = int(time.time() * 1000)
    prefixes = [directory / f'{side.label}-{seed}' for side in sides]
    loads = [side.load(trace, prefix) for side, prefix in zip(sides, prefixes)]
    for load in loads:
        atexit.register(load.kill)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        jobs = list(pool.map(lambda side: side.submit_jobs(seed), sides))
        if experiment.fault and seed:
            time.sleep(max(0, since / 1000 + options.seconds / 3 - time.time()))
            list(pool.map(Side.lose_region, sides))
            time.sleep(max(0, since / 1000 + options.seconds * 2 / 3 - time.time()))
            list(pool.map(Side.return_region, sides))
    ends = []
    for load in loads:
        load.wait(LOAD_TIMEOUT_S)
        ends.append(int(time.time() * 1000))
    if not seed:
        return None
    rows = {}
    for side, prefix, accepted, end in zip(sides, prefixes, jobs, ends):
        lost = side.lost_jobs(accepted)
        rows[side.label] = measure(side, prefix, items, since, end, options.seconds, lost,
                                   len(accepted))
    return rows


def spread(rows, name):
    values = [row.get(name, 0) for row in rows]
    if any(value is None for value in values):
        return None
    return {'mean': statistics.mean(values),
            'sd': statistics.stdev(values) if len(values) > 1 else 0, 'values': values}


def print_table(result):
    labels = list(result['sides'])
    print(f'{"measure":<34}' + ''.join(f'{result["sides"][label]:>26}' for label in labels)
          + f'{"B/A":>8}')
    for name in result['measures']:
        cells = [result['measures'][name][label] for label in labels]
        text = ''.join(f'{cell["mean"]:>15.3f} +-{cell["sd"]:>8.3f}' if cell else f'{"none":>26}'
                       for cell in cells)
        ratio = ''
        if all(cells) and cells[0]['mean']:
            ratio = f'{cells[1]["mean"] / cells[0]["mean"]:.2f}'
        print(f'{name:<34}{text}{ratio:>8}')


def main():
    parser = argparse.ArgumentParser(prog='scripts/experiment', description=__doc__.split('\n')[0])
    parser.add_argument('name', choices=EXPERIMENTS)
    parser.add_argument('--profile', choices=sorted(demo.PROFILES), default='rocha')
    parser.add_argument('--a', default='cost', help='policy of deployment A')
    parser.add_argument('--b', default='power_of_two', help='policy of deployment B')
    parser.add_argument('--build_a', default=str(demo.BUILD), help='folder with A\'s ebonylift')
    parser.add_argument('--build_b', default=str(demo.BUILD), help='folder with B\'s ebonylift')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=8, help='length of each trace, at most 60')
    parser.add_argument('--engines', type=int, default=3, help='in each failure domain')
    parser.add_argument('--json', default='', help='write the result to this file')
    options = parser.parse_args()
    options.seconds = min(options.seconds, 60)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    experiment = EXPERIMENTS[options.name]
    directory = pathlib.Path(tempfile.mkdtemp(prefix='ebonylift-experiment-'))
    sides = []
    for label, policy, build in (('A', options.a, options.build_a),
                                 ('B', options.b, options.build_b)):
        base = demo.PROFILES[options.profile]
        profile = demo.Profile(base.name, base.model, base.service, base.domains, options.engines,
                               base.delays_us, dict(list(base.teams.items())[:1]), None, None)
        sides.append(Side(label, policy, pathlib.Path(build), profile, experiment, options.engines,
                          directory / label))
    planned = sum(len(s.deployment.hosts) + len(s.deployment.servers) + 3 for s in sides)
    if planned > MAX_PROCESSES:
        sys.exit(f'experiment: {planned} processes are more than {MAX_PROCESSES}')
    load_before = os.getloadavg()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        list(pool.map(Side.start, sides))
    rows = {'A': [], 'B': []}
    time.sleep(max(0, SETTLE_S - options.seconds))
    # Seed 0 ends the slow start of the engines and is not counted.
    for seed in range(options.seeds + 1):
        measured = run_seed(sides, options, experiment, seed, directory)
        for label, row in (measured or {}).items():
            rows[label].append(row)
    names = list(dict.fromkeys(name for side in rows.values() for row in side for name in row))
    result = {
        'experiment': options.name, 'profile': options.profile, 'command': ' '.join(sys.argv),
        'sides': {s.label: s.policy for s in sides}, 'seeds': list(range(1, options.seeds + 1)),
        'seconds': options.seconds, 'engines_per_domain': options.engines,
        'capacity_requests_per_s': capacity(sides[0].profile, experiment, options.engines),
        'load': experiment.load, 'machine_load_before': load_before,
        'machine_load_after': os.getloadavg(), 'processes': planned, 'folder': str(directory),
        'measures': {name: {label: spread(side, name) for label, side in rows.items()}
                     for name in names}}
    print({key: value for key, value in result.items() if key != 'measures'})
    print_table(result)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(result))
    for side in sides:
        side.processes.stop_all()
    return 0


if __name__ == '__main__':
    sys.exit(main())
