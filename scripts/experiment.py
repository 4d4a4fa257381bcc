#!/usr/bin/env python3
"""Compares two routing policies or two builds on two deployments that run at the same time.

Both deployments replay the same request traces and undergo the same faults. They differ only in
the routing policy or the build, and they share the machine, so other load affects both alike.
`ebonylift load` measures latencies from the intended send time; costs are computed from the records
of the backend servers. See docs/notes/routing.md.
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

# ---- parameters of the simulated engines

DECODE_US_PER_TOKEN = 20000  # decode step of a batch of 1; below the target of 33 ms between tokens
# A decode step takes this fraction longer for each further request in the batch.
SLOWDOWN_PER_REQUEST = 0.02
PREFILL_US_PER_TOKEN = 125  # per prompt token; equals kPrefillTokensPerSecond in src/core/routing.h
SLOTS_PER_ENGINE = 4  # requests that an engine runs at the same time
CACHE_TOKENS = 20000
FIRST_TOKEN_TARGET_S = 1.4

# ---- the trace

# kind: (fraction of the requests, model suffix, range of prompt tokens, range of output tokens,
# streamed). The model name with the suffix selects the route.
KINDS = {
    'interactive': (0.50, '', (64, 256), (8, 24), True),
    'check': (0.26, '-check', (32, 64), (4, 8), False),
    'chapter': (0.24, '-long', (512, 1536), (64, 128), True),
}
HOME_BOUND_SHARE = 0.24  # fraction of the requests that may run in their home region only
PREFIX_GROUPS = 12  # sets of requests with a common prompt prefix, in each region and run
MAX_PROCESSES = 100
LOAD_TIMEOUT_S = 120
JOBS_PER_RUN = 6  # batch jobs submitted to each deployment in each run
JOB_TIMEOUT_S = 60
# Routing ramps up the load of a new engine for 10 s after its first announcement (kSlowStart).
SLOW_START_WAIT_S = 12


class Experiment:
    """Parameters of one experiment."""

    def __init__(self, load_factor, fault=None, slow_engine_share=0, small_region_capacity=0,
                 load_lag_ms=300):
        self.load_factor = load_factor  # arrival rate as a multiple of the capacity
        # Fault in the first region during the middle third of the run, or None. 'region': its
        # engines refuse connections and stop announcing themselves. 'cold': its engines are killed
        # and then restarted, which empties their prefix caches.
        self.fault = fault
        # Fraction of the engines that run at half the speed.
        self.slow_engine_share = slow_engine_share
        # Capacity of the last region as a fraction of the others' capacity; 0: the same.
        self.small_region_capacity = small_region_capacity
        self.load_lag_ms = load_lag_ms  # age of the load that engines report


EXPERIMENTS = {
    'unloaded': Experiment(0.1),
    'capacity': Experiment(1.0),
    'overload': Experiment(2.0),
    'region_lost': Experiment(0.6, fault='region'),
    'small_region': Experiment(0.6, small_region_capacity=0.1),
    'uneven': Experiment(0.7, slow_engine_share=1 / 3),
    'lagging': Experiment(0.8, load_lag_ms=3000),
    'cold_return': Experiment(0.6, fault='cold'),
}


def engine_capacity(profile, experiment, name, engines):
    """Returns (factor by which an engine is slower than normal, number of its slots)."""
    number = int(name.rsplit('-', 1)[1])
    domain = name[:name.index('-engine-')]
    slots = SLOTS_PER_ENGINE
    if experiment.small_region_capacity and domain == list(profile.domains)[-1]:
        slots = max(1, round(SLOTS_PER_ENGINE * engines * experiment.small_region_capacity)
                    ) if number == 1 else 0
    slow = experiment.slow_engine_share and number <= round(engines * experiment.slow_engine_share)
    return (2.0 if slow else 1.0), slots


def slot_seconds(prompt, output):
    """Returns the expected slot time of a request in a full batch.

    Half of each prompt is a shared prefix, of which half is assumed to be cached, so 0.75 of the
    prompt is prefilled.
    """
    decode = output * DECODE_US_PER_TOKEN * (
        1 + SLOWDOWN_PER_REQUEST * (SLOTS_PER_ENGINE - 1)) / 1e6
    # A prefill step blocks the whole batch, so it takes time from every slot.
    return decode + 0.75 * prompt * PREFILL_US_PER_TOKEN / 1e6 * SLOTS_PER_ENGINE


# Returns the slot time of a request of this kind with mean prompt and output lengths.
def mean_slot_seconds(kind):
    _, _, prompt, output, _ = KINDS[kind]
    return slot_seconds(statistics.mean(prompt), statistics.mean(output))


def capacity_requests_per_s(profile, experiment, engines):
    """Returns the requests/s that all engines can serve with half of the prefixes cached."""
    mean = sum(KINDS[kind][0] * mean_slot_seconds(kind) for kind in KINDS)
    slots = 0
    for domain in profile.domains:
        for number in range(1, engines + 1):
            slow, count = engine_capacity(profile, experiment, f'{domain}-engine-{number}', engines)
            slots += count / slow
    return slots / mean


def make_trace(profile, experiment, engines, seed, duration_s, warmup=False):
    """Returns a trace of Poisson arrivals whose rate varies by region over the run.

    Each region's rate follows a sine with a peak of 1.6 times its mean; the regions' peaks are
    spread evenly over the run. `warmup` makes a trace of 0.3 times the capacity.
    """
    rng = random.Random(f'{profile.name} {seed}')
    regions = list(profile.domains.values())
    rate = capacity_requests_per_s(profile, experiment, engines) * (
        0.3 if warmup else experiment.load_factor)
    kinds = list(KINDS)
    items = []
    for index, region in enumerate(regions):
        at = 0.0
        while True:
            # Thinning: draws at the peak rate and keeps each draw with probability rate / peak.
            at += rng.expovariate(rate / len(regions) * 1.6)
            if at >= duration_s:
                break
            phase = 2 * math.pi * (at / duration_s - index / len(regions))
            if rng.random() > (1 + 0.6 * math.sin(phase)) / 1.6:
                continue
            kind = rng.choices(kinds, [KINDS[k][0] for k in kinds])[0]
            _, suffix, prompt, output, stream = KINDS[kind]
            home = rng.random() < HOME_BOUND_SHARE
            items.append({
                'at_ms': int(at * 1000), 'region': region, 'class': kind, 'stream': stream,
                'model': profile.model + suffix + (f'-home-{region}' if home else ''),
                'prompt_tokens': rng.randint(*prompt), 'output_tokens': rng.randint(*output),
                'prefix_group': f'{region}-{seed}-{rng.randrange(PREFIX_GROUPS)}'})
    items.sort(key=lambda item: item['at_ms'])
    return items


# ---- one deployment


class Processes(demo.Processes):
    """Starts the processes of demo.Deployment with additional flags."""

    def __init__(self, directory, build, extra_flags):
        super().__init__(directory)
        self.build = build
        # Function of (name, arguments); returns additional flags, or None to skip the process.
        self.extra_flags = extra_flags

    def start(self, name, binary, arguments):
        flags = self.extra_flags(name, arguments)
        if flags is None:
            return
        log = open(self.directory / f'{name}.log', 'ab')
        program = self.build / binary if binary == 'ebonylift' else demo.BUILD / binary
        self.by_name[name] = subprocess.Popen(
            [str(program), *arguments, *flags], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            start_new_session=True)
        log.close()


class Variant:
    """One of the two deployments, with its routing policy and build."""

    def __init__(self, label, policy, build, profile, experiment, engines, directory):
        self.label = label
        self.policy = policy
        self.experiment = experiment
        self.engines = engines
        directory.mkdir()
        self.processes = Processes(directory, build, self.extra_flags)
        self.deployment = demo.Deployment(profile, self.processes)
        self.profile = profile
        if experiment.small_region_capacity:
            # Engine 1 of the small region gets all its slots, so its other engines are not needed.
            for name in list(self.deployment.servers):
                if '-engine-' in name and not engine_capacity(
                        profile, experiment, name, engines)[1]:
                    del self.deployment.servers[name]

    def models(self):
        names = []
        for _, suffix, _, _, _ in KINDS.values():
            names.append(self.profile.model + suffix)
            names += [f'{self.profile.model}{suffix}-home-{r}' for r in self.regions()]
        return names

    def regions(self):
        return list(dict.fromkeys(self.profile.domains.values()))

    def extra_flags(self, name, arguments):
        if arguments[0] == 'serve':
            return [f'--routing_policy={self.policy}']
        if arguments[0] == 'service':
            return None  # the trace contains model requests only
        if arguments[0] != 'engine':
            return []
        slow, slots = engine_capacity(self.profile, self.experiment, name, self.engines)
        return [f'--models={",".join(self.models())}', f'--slots={slots}',
                f'--decode_us_per_token={int(DECODE_US_PER_TOKEN * slow)}',
                f'--slowdown_per_job={SLOWDOWN_PER_REQUEST}',
                f'--prefill_us_per_token={int(PREFILL_US_PER_TOKEN * slow)}',
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
            deployment.put_config(f'/deployment/regions/{region}', value)
        self.team = next(iter(self.profile.teams))
        all_regions = self.regions()
        deployment.put_config(f'/teams/{self.team}/residency', {'regions': all_regions})
        deployment.put_config(f'/teams/{self.team}/keys/demo',
                              {'sha256': demo.sha256(deployment.team_keys[self.team])})
        for kind, (_, suffix, _, _, _) in KINDS.items():
            for home in [None] + all_regions:
                name = self.profile.model + suffix + (f'-home-{home}' if home else '')
                # Chapters weight cost and staying in the home region higher (design page, 1.2).
                weights = (0.3, 2.0, 2.0) if kind == 'chapter' else (1.0, 0.5, 0.2)
                deployment.put_config(f'/teams/{self.team}/routes/{name}', {
                    'kind': 'model', 'model': name, 'regions': [home] if home else all_regions,
                    'home': home or all_regions[0], 'class': kind, 'idempotent': True,
                    'deadline_ms': 60000 if kind == 'chapter' else 10000,
                    'send_away': home is None, 'weight_latency': weights[0],
                    'weight_cost': weights[1], 'weight_remote': weights[2]})
        deployment.profile.teams[self.team] = all_regions
        deployment.wait_until_serving()

    # Starts `ebonylift load`, which replays the trace and writes its results to `prefix`.*.
    def start_load(self, trace, prefix):
        targets = ','.join(f'{h["region"]}={h["client"]}' for h in self.deployment.hosts.values())
        return subprocess.Popen(
            [str(demo.BUILD / 'ebonylift'), 'load', f'--targets={targets}', f'--trace={trace}',
             f'--team_key={self.deployment.team_keys[self.team]}', f'--model={self.profile.model}',
             f'--samples={prefix}.samples', f'--plot={prefix}.svg', '--json',
             '--call_timeout_ms=70000'],
            stdin=subprocess.DEVNULL, stdout=open(f'{prefix}.json', 'wb'),
            stderr=open(f'{prefix}.err', 'wb'))

    def submit_jobs(self, seed):
        """Submits the batch jobs; returns (address of the host, job id) of each accepted job."""
        jobs = []
        headers = {'authorization': 'Bearer ' + self.deployment.team_keys[self.team],
                   'content-type': 'application/json'}
        hosts = list(self.deployment.hosts.values())
        for number in range(JOBS_PER_RUN):
            body = {'model': self.profile.model + '-long', 'max_tokens': 48, 'user': 'job',
                    'messages': [{'role': 'user', 'content': f'job {seed} {number} ' + 'x' * 800}]}
            host = hosts[number % len(hosts)]
            reply = demo.call(host['http'], 'POST', '/v1/jobs', json.dumps(
                {'path': '/v1/chat/completions', 'body': body}), {
                    **headers, 'idempotency-key': f'{seed}-{number}'}, 10)
            if reply.complete and reply.status == 202:
                jobs.append((host['http'], reply.json().get('id')))
        return jobs

    # Returns the number of jobs that did not finish within JOB_TIMEOUT_S.
    def count_unfinished_jobs(self, jobs):
        headers = {'authorization': 'Bearer ' + self.deployment.team_keys[self.team]}
        deadline = time.monotonic() + JOB_TIMEOUT_S
        unfinished_jobs = list(jobs)
        while unfinished_jobs and time.monotonic() < deadline:
            unfinished_jobs = [(host, job) for host, job in unfinished_jobs if demo.call(
                host, 'GET', f'/v1/jobs/{job}', None, headers, 10).json().get('state')
                != 'finished']
            time.sleep(0.2 if unfinished_jobs else 0)
        return len(unfinished_jobs)

    # ---- faults in the first region, see Experiment.fault

    def first_region_engines(self):
        domain = next(iter(self.profile.domains))
        return [n for n, s in self.deployment.servers.items() if s['domain'] == domain]

    def disable_first_region(self):
        if self.experiment.fault == 'cold':
            for name in self.first_region_engines():
                self.processes.kill(name)
            return
        self.set_engine_faults({'refuse': True, 'silent': True})

    def restore_first_region(self):
        if self.experiment.fault == 'cold':
            for name in self.first_region_engines():
                self.deployment.start_server(name)
            return
        self.set_engine_faults({'clear': True})

    def set_engine_faults(self, faults):
        for name in self.first_region_engines():
            demo.call(self.deployment.servers[name]['control'], 'POST', '/standin/fault',
                      json.dumps(faults), {'content-type': 'application/json'}, 5)

    def completed_slot_seconds(self, items, since_ms, until_ms):
        """Returns the work that completed runs did between two wall-clock times, in slot seconds.

        A run counts with the expected slot time of its request, not with the time it took, so a
        slow run does not count as more work. A request received before the interval does not count;
        a run that ends after it counts with the fraction inside.
        """
        work = 0
        for entry in self.deployment.records():
            if entry['outcome'] != 'completed' or not entry['user'].startswith('request-'):
                continue
            if entry['received'] < since_ms or entry['finished'] < since_ms:
                continue
            item = items[int(entry['user'][8:])]
            inside = min(entry['finished'], until_ms) - entry['started']
            if inside > 0:
                share = inside / max(1, entry['finished'] - entry['started'])
                work += share * slot_seconds(item['prompt_tokens'], item['output_tokens'])
        return work

    def engine_usage(self, since_ms, until_ms):
        """Returns (busy s, slot s, tokens) of the runs that started between two wall-clock times.

        Busy time is the time in which an engine ran at least one request, summed over the engines;
        slot time is the sum of the durations of the runs.
        """
        spans = collections.defaultdict(list)
        tokens = 0
        for entry in self.deployment.records():
            if entry['started'] and entry['finished'] and entry['started'] >= since_ms \
                    and entry['started'] < until_ms:
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


# Returns the nearest-rank percentile, or None without values.
def percentile(values, share):
    values = sorted(values)
    if not values:
        return None
    return values[max(0, math.ceil(share * len(values)) - 1)]


def count_flow_reversals(samples, duration_s):
    """Counts how often the net flow of requests between two regions reverses, over all pairs.

    The net flow is taken per half second; half seconds without a net flow are skipped.
    """
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
        for step in range(int(duration_s * 2) + 1):
            flow = buckets[(pair, step)]
            if flow and last and flow * last < 0:
                changes += 1
            last = flow or last
    return changes


# Returns the measures of one deployment in one run by name.
def compute_measures(variant, prefix, items, since_ms, until_ms, duration_s, lost, accepted):
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
    row['direction_changes'] = count_flow_reversals(samples, duration_s)
    busy, slot, tokens = variant.engine_usage(since_ms, until_ms)
    row['busy_s'] = busy
    row['busy_ms_per_answer'] = 1000 * busy / max(1, len(answered))
    # Work completed while the trace was sent, as a fraction of the slot capacity.
    work = variant.completed_slot_seconds(items, since_ms, since_ms + duration_s * 1000)
    row['goodput_share'] = work / (effective_slots(variant) * duration_s)
    row['slot_s'] = slot
    row['tokens'] = tokens
    row['elapsed_s'] = (until_ms - since_ms) / 1000
    row['jobs_accepted'] = accepted
    row['jobs_lost'] = lost
    for reason, count in sorted(report['refused'].items()):
        row[f'refused {reason}'] = count
    for reason, count in sorted(report['broken_by'].items()):
        row[f'broken {reason}'] = count
    return row


# Returns the number of slots of all engines; a slot of a slow engine counts as a fraction.
def effective_slots(variant):
    total = 0
    for name, server in variant.deployment.servers.items():
        if server['kind'] == 'engine':
            slow, slots = engine_capacity(variant.profile, variant.experiment, name,
                                          variant.engines)
            total += slots / slow
    return total


# ---- the run


# Replays one trace on both deployments; returns the measures by label, None for seed 0.
def run_seed(variants, options, experiment, seed, directory):
    profile = variants[0].profile
    trace = directory / f'trace-{seed}.jsonl'
    items = make_trace(profile, experiment, options.engines, seed, options.seconds, seed == 0)
    trace.write_text(''.join(json.dumps(item) + '\n' for item in items))
    since_ms = int(time.time() * 1000)
    prefixes = [directory / f'{variant.label}-{seed}' for variant in variants]
    loads = [variant.start_load(trace, prefix) for variant, prefix in zip(variants, prefixes)]
    for load in loads:
        atexit.register(load.kill)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        jobs = list(pool.map(lambda variant: variant.submit_jobs(seed), variants))
        if experiment.fault and seed:
            time.sleep(max(0, since_ms / 1000 + options.seconds / 3 - time.time()))
            list(pool.map(Variant.disable_first_region, variants))
            time.sleep(max(0, since_ms / 1000 + options.seconds * 2 / 3 - time.time()))
            list(pool.map(Variant.restore_first_region, variants))
    end_times_ms = []
    for load in loads:
        load.wait(LOAD_TIMEOUT_S)
        end_times_ms.append(int(time.time() * 1000))
    if not seed:
        return None
    rows = {}
    for variant, prefix, accepted, end in zip(variants, prefixes, jobs, end_times_ms):
        lost = variant.count_unfinished_jobs(accepted)
        rows[variant.label] = compute_measures(variant, prefix, items, since_ms, end,
                                               options.seconds, lost, len(accepted))
    return rows


# Returns mean, standard deviation and values of one measure over the runs.
def summary_statistics(rows, name):
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
    parser.add_argument('--a', default='cost', help='routing policy of deployment A')
    parser.add_argument('--b', default='power_of_two', help='routing policy of deployment B')
    parser.add_argument('--build_a', default=str(demo.BUILD),
                        help='folder with the ebonylift of deployment A')
    parser.add_argument('--build_b', default=str(demo.BUILD),
                        help='folder with the ebonylift of deployment B')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=8,
                        help='duration of each trace, at most 60')
    parser.add_argument('--engines', type=int, default=3, help='engines per failure domain')
    parser.add_argument('--json', default='', help='write the result to this file')
    options = parser.parse_args()
    options.seconds = min(options.seconds, 60)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    experiment = EXPERIMENTS[options.name]
    directory = pathlib.Path(tempfile.mkdtemp(prefix='ebonylift-experiment-'))
    variants = []
    for label, policy, build in (('A', options.a, options.build_a),
                                 ('B', options.b, options.build_b)):
        base = demo.PROFILES[options.profile]
        profile = demo.Profile(base.name, base.model, base.service, base.domains, options.engines,
                               base.link_delays_us, dict(list(base.teams.items())[:1]), None, None)
        variants.append(Variant(label, policy, pathlib.Path(build), profile, experiment,
                                options.engines, directory / label))
    planned = sum(len(s.deployment.hosts) + len(s.deployment.servers) + 3 for s in variants)
    if planned > MAX_PROCESSES:
        sys.exit(f'experiment: {planned} processes exceed the limit of {MAX_PROCESSES}')
    load_before = os.getloadavg()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        list(pool.map(Variant.start, variants))
    rows = {'A': [], 'B': []}
    time.sleep(max(0, SLOW_START_WAIT_S - options.seconds))
    # Seed 0 is a warm-up at low load that covers the engines' slow start; it is not measured.
    for seed in range(options.seeds + 1):
        measured = run_seed(variants, options, experiment, seed, directory)
        for label, row in (measured or {}).items():
            rows[label].append(row)
    names = list(dict.fromkeys(
        name for variant_rows in rows.values() for row in variant_rows for name in row))
    result = {
        'experiment': options.name, 'profile': options.profile, 'command': ' '.join(sys.argv),
        'sides': {s.label: s.policy for s in variants}, 'seeds': list(range(1, options.seeds + 1)),
        'seconds': options.seconds, 'engines_per_domain': options.engines,
        'capacity_requests_per_s': capacity_requests_per_s(variants[0].profile, experiment,
                                                           options.engines),
        'load': experiment.load_factor, 'machine_load_before': load_before,
        'machine_load_after': os.getloadavg(), 'processes': planned, 'folder': str(directory),
        'measures': {name: {label: summary_statistics(variant_rows, name)
                            for label, variant_rows in rows.items()}
                     for name in names}}
    print({key: value for key, value in result.items() if key != 'measures'})
    print_table(result)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(result))
    for variant in variants:
        variant.processes.stop_all()
    return 0


if __name__ == '__main__':
    sys.exit(main())
