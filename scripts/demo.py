#!/usr/bin/env python3
"""Runs a day of work of one office against a deployment of real processes; see scripts/demo.

The last line is one JSON object. Its counts come from the records of the backend servers and from
what callers received, not from the gateway:
  requests            requests of the day
  answered            whole answers that equal the text the engine must give for this request
  refused_not_run     refusals that said not_run; each was sent again
  outcome_unknown     requests marked not to be repeated whose caller was told that they may have run
  lost                requests with neither an answer nor such a statement
  wrong               answers that are not the answer to the caller's own request
  duplicated          requests marked not to be repeated that started on more than one run
  outside_region      runs in a region that the team's residency rule does not allow
  not_run_but_ran     refusals that said not_run although a record shows that the request started
"""
import argparse
import atexit
import collections
import concurrent.futures
import hashlib
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get('EBONYLIFT_BUILD_DIR', 'build')
WORDS = ('trail river stone ridge marsh palm dune gate oak ford north south east west cache '
         'log').split()
PROBE_USER = 'demo-probe'
# A request is sent again until it is answered or this long after its first sending.
GIVE_UP_S = 90
START_TIMEOUT_S = 45
STOP_TIMEOUT_S = 30
WORKERS = 160


class Profile:
    """One office: its regions, sizes, delays, teams and what kinds of work it has."""

    def __init__(self, name, model, service, domains, engines, delays_us, teams, kill_host,
                 kill_server):
        self.name = name
        self.model = model
        self.service = service
        self.domains = domains  # failure domain to region
        self.engines = engines  # in each failure domain
        self.delays_us = delays_us  # same region, between regions, clients
        self.teams = teams  # name to regions of its residency rule
        self.kill_host = kill_host
        self.kill_server = kill_server


PROFILES = {
    'rocha': Profile(
        'rocha', 'summary', 'logbook',
        {'este-a': 'este', 'centro-a': 'centro', 'norte-a': 'norte'}, 6, (1000, 55000, 3000),
        {'registros': ['este', 'centro', 'norte'], 'escuelas': ['este']},
        'centro-a-2', 'este-a-engine-2'),
    'punjab': Profile(
        'punjab', 'rewrite', 'easy-read-packs',
        {'lhr-hall-a': 'lahore', 'khi-hall-b': 'karachi', 'psh-hall-c': 'peshawar'}, 3,
        (1500, 55000, 3000),
        {'sahulat': ['lahore', 'karachi', 'peshawar'], 'helpline': ['lahore']},
        'khi-hall-b-2', 'lhr-hall-a-engine-2'),
}

# Work that must not run twice; it carries an idempotency key.
NOT_REPEATABLE = {'check', 'find', 'pack', 'chapter'}
STREAMED = {'summary', 'clause'}
SERVICE_PATHS = {'find': 'finds', 'pack': 'packs'}
CLASSES = {'check': 'check', 'chapter': 'chapter'}


# ---- ports and processes


def ports():
    """Free ports below the range that the kernel uses for outgoing connections."""
    start = random.SystemRandom().randrange(10000, 31000)
    for port in itertools.chain(range(start, 32000), range(10000, start)):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        yield f'127.0.0.1:{port}'


class Processes:
    """Every process that the demo started; ends them unless they are kept."""

    def __init__(self, directory):
        self.directory = directory
        self.by_name = {}
        self.keep = False
        atexit.register(self.stop_all)

    def start(self, name, binary, arguments):
        log = open(self.directory / f'{name}.log', 'ab')
        self.by_name[name] = subprocess.Popen(
            [str(BUILD / binary), *arguments], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            start_new_session=True)
        log.close()

    def kill(self, name):
        self.by_name[name].kill()
        self.by_name[name].wait()

    def stop(self, names):
        """Sends SIGTERM to all and returns the names that did not exit with 0."""
        for name in names:
            self.by_name[name].terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        failed = []
        for name in names:
            try:
                code = self.by_name[name].wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                code = None
            if code != 0:
                failed.append(f'{name}:{code}')
        return failed

    def stop_all(self):
        if self.keep:
            return
        for process in self.by_name.values():
            if process.poll() is None:
                process.kill()
                process.wait()


# ---- HTTP


class Reply:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.sent = False  # the connection was made, so the request may have arrived
        self.whole = False
        self.first_byte = None
        self.error = ''

    def json(self):
        try:
            value = json.loads(self.body)
            return value if isinstance(value, dict) else {}
        except ValueError:
            return {}


def call(address, method, path, body=None, headers=None, timeout=30):
    reply = Reply()
    started = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.connect()
        reply.sent = True
        connection.request(method, path, body, {**(headers or {}), 'connection': 'close'})
        response = connection.getresponse()
        reply.status = response.status
        reply.headers = {name.lower(): value for name, value in response.getheaders()}
        while True:
            data = response.read1(65536)
            if not data:
                break
            if reply.first_byte is None:
                reply.first_byte = time.monotonic() - started
            reply.body += data
        # read1 ends without an error when a message with Content-Length is cut short.
        length = reply.headers.get('content-length')
        reply.whole = length is None or int(length) == len(reply.body)
    except (OSError, http.client.HTTPException) as error:
        reply.error = f'{type(error).__name__}: {error}'
    finally:
        connection.close()
    return reply


def wait_for(condition, what, timeout=START_TIMEOUT_S):
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            sys.exit(f'demo: {what} did not happen within {timeout} s')
        time.sleep(0.05)


# ---- the deployment


class Deployment:
    def __init__(self, profile, processes):
        self.profile = profile
        self.processes = processes
        self.directory = processes.directory
        self.free = ports()
        self.cluster_key = os.urandom(16).hex()
        self.platform_token = os.urandom(16).hex()
        self.operator_token = os.urandom(16).hex()
        self.team_keys = {team: f'key-{team}-{os.urandom(4).hex()}' for team in profile.teams}
        self.links = []
        self.hosts = {}
        self.servers = {}
        self.directory_address = next(self.free)
        self.proxy_address = next(self.free)
        self._plan()

    def _link(self, name, target, delay_us):
        listen = next(self.free)
        self.links.append({'name': name, 'listen': listen, 'target': target, 'delay_us': delay_us})
        return listen

    def _plan(self):
        same, between, clients = self.profile.delays_us
        for domain, region in self.profile.domains.items():
            for number in (1, 2):
                self.hosts[f'{domain}-{number}'] = {
                    'domain': domain, 'region': region, 'disk': number == 1,
                    'http': next(self.free), 'peer': next(self.free)}
        for name, host in self.hosts.items():
            host['client'] = self._link(f'client>{name}', host['http'], clients)
            host['announce'] = self._link(f'servers-{host["domain"]}>{name}', host['http'], same)
            for other, peer in self.hosts.items():
                if other == name:
                    continue
                delay = between if peer['region'] != host['region'] else same
                host[f'peer {other}'] = self._link(f'{other}>{name}/peer', host['peer'], delay)
                host[f'http {other}'] = self._link(f'{other}>{name}/http', host['http'], delay)
        for domain in self.profile.domains:
            for number in range(1, self.profile.engines + 1):
                self._plan_server(f'{domain}-engine-{number}', domain, 'engine')
            self._plan_server(f'{domain}-service-1', domain, 'service')

    def _plan_server(self, name, domain, kind):
        address = next(self.free)
        self.servers[name] = {
            'domain': domain, 'kind': kind, 'address': address, 'control': next(self.free),
            'advertise': self._link(f'{domain}>{name}', address, self.profile.delays_us[0]),
            'record': self.directory / f'{name}.record'}

    def start(self):
        links = self.directory / 'links.json'
        links.write_text(json.dumps({'links': self.links}))
        self.processes.start('proxy', 'ebonylift-standin',
                             ['proxy', f'--listen={self.proxy_address}', f'--links_file={links}'])
        self.processes.start('directory', 'ebonylift-standin',
                             ['directory', f'--listen={self.directory_address}'])
        wait_for(lambda: call(self.proxy_address, 'GET', '/proxy/links').status == 200,
                 'start of the proxy')
        for name in self.hosts:
            self._start_host(name)
        for name in self.servers:
            self._start_server(name)
        for name, host in self.hosts.items():
            wait_for(lambda: call(host['http'], 'GET', '/healthz').status == 200, f'start of {name}')

    def _start_host(self, name):
        host = self.hosts[name]
        peers = []
        for other, peer in self.hosts.items():
            if other != name:
                peers.append('@'.join([other, peer['domain'], peer['region'], peer[f'peer {name}'],
                                       peer[f'http {name}']] + ['disk'] * peer['disk']))
        arguments = [
            'serve', f'--host={name}', f'--region={host["region"]}', f'--domain={host["domain"]}',
            f'--http_address={host["http"]}', f'--advertise_address={host["client"]}',
            f'--peer_address={host["peer"]}', f'--peers={",".join(peers)}',
            '--voters=' + ','.join(n for n, h in self.hosts.items() if h['disk']),
            f'--cluster_key={self.cluster_key}', f'--platform_token={self.platform_token}',
            '--operator_token_sha256=' + sha256(self.operator_token),
            f'--directory_address={self.directory_address}']
        if host['disk']:
            data = self.directory / name
            data.mkdir(exist_ok=True)
            arguments.append(f'--data_dir={data}')
        self.processes.start(name, 'ebonylift', arguments)

    def _start_server(self, name):
        server = self.servers[name]
        hosts = [h['announce'] for h in self.hosts.values() if h['domain'] == server['domain']]
        arguments = [
            server['kind'], f'--id={name}', f'--domain={server["domain"]}',
            f'--region={self.profile.domains[server["domain"]]}', f'--listen={server["address"]}',
            f'--control={server["control"]}', f'--advertise={server["advertise"]}',
            f'--entry_hosts={",".join(hosts)}', f'--platform_token={self.platform_token}',
            f'--record_file={server["record"]}']
        if server['kind'] == 'engine':
            arguments += [f'--models={self.profile.model}', '--decode_us_per_token=6000']
        else:
            arguments += [f'--services={self.profile.service}', '--service_us=20000']
        self.processes.start(name, 'ebonylift-standin', arguments)

    def configure(self):
        regions = {}
        for name, host in self.hosts.items():
            region = regions.setdefault(host['region'], {'domains': [], 'record_hosts': []})
            if host['domain'] not in region['domains']:
                region['domains'].append(host['domain'])
            if host['disk']:
                region['record_hosts'].append(name)
        for region, value in regions.items():
            self.put(f'/deployment/regions/{region}', value)
        for team, allowed in self.profile.teams.items():
            self.put(f'/teams/{team}/residency', {'regions': allowed})
            self.put(f'/teams/{team}/keys/demo', {'sha256': sha256(self.team_keys[team])})
            self.put(f'/teams/{team}/routes/{self.profile.model}', {
                'kind': 'model', 'model': self.profile.model, 'regions': allowed,
                'home': allowed[0], 'class': 'interactive', 'idempotent': True,
                'deadline_ms': 30000, 'send_away': True})
            self.put(f'/teams/{team}/routes/{self.profile.service}', {
                'kind': 'service', 'service': self.profile.service, 'regions': allowed,
                'home': allowed[0], 'class': 'interactive', 'idempotent': False,
                'deadline_ms': 15000, 'send_away': True})

    def put(self, path, value):
        """Puts one value with the operator's command; repeats it until a leader accepts it."""
        servers = ','.join(host['http'] for host in self.hosts.values())
        command = [str(BUILD / 'ebonylift'), 'config', 'put', path, json.dumps(value),
                   f'--server={servers}', f'--token={self.operator_token}']
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            result = subprocess.run(command, capture_output=True, text=True, check=False)
            if result.returncode == 0:
                return
            if time.monotonic() > deadline:
                sys.exit(f'demo: {path} was not accepted: {result.stdout}{result.stderr}')
            time.sleep(0.2)

    def wait_serving(self):
        body = json.dumps({'model': self.profile.model, 'user': PROBE_USER, 'max_tokens': 1,
                           'messages': [{'role': 'user', 'content': 'probe'}]})
        for name, host in self.hosts.items():
            team = next(t for t, regions in self.profile.teams.items()
                        if host['region'] in regions)
            headers = {'authorization': 'Bearer ' + self.team_keys[team],
                       'content-type': 'application/json'}
            last = Reply()

            def answers():
                nonlocal last
                last = call(host['http'], 'POST', '/v1/chat/completions', body, headers, 10)
                return last.status == 200

            try:
                wait_for(answers, f'an answer through {name}')
            except SystemExit:
                print(last.status, last.body.decode(errors='replace'), last.error, file=sys.stderr)
                raise

    def kill(self, name):
        """SIGKILL. The links refuse connections as the kernel of the killed machine would."""
        for pattern in [f'*>{name}'] + [f'*>{name}/*'] * (name in self.hosts):
            reply = call(self.proxy_address, 'POST', '/proxy/set',
                         json.dumps({'links': pattern, 'refuse': True}))
            if reply.status != 200:
                sys.exit(f'demo: the proxy refused: {reply.body.decode(errors="replace")}')
        self.processes.kill(name)

    def records(self):
        """All runs by the backend servers' own account, newest state of each."""
        runs = {}
        for name, server in self.servers.items():
            if not server['record'].exists():
                continue
            for line in server['record'].read_text(errors='replace').splitlines():
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue  # the last line of a killed server may be cut off
                if entry['user'] != PROBE_USER:
                    runs[(name, entry['incarnation'], entry['seq'])] = entry
        return list(runs.values())


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


# ---- callers


def answer_text(model, text, output_tokens):
    """The same function as AnswerText in testing/answer.cc."""
    digest = sha256(f'{model}\n{text}\n{output_tokens}')
    words = [WORDS[(int(digest[i % 64], 16) + i) % 16] for i in range(1, output_tokens)]
    return ' '.join([digest[:16]] + words) + ' '


class EntryList:
    """The entry hosts of one team as the system gives them, own region first."""

    def __init__(self, deployment, team, region):
        self.deployment = deployment
        self.headers = {'authorization': 'Bearer ' + deployment.team_keys[team]}
        self.region = region
        self.lock = threading.Lock()
        self.addresses = []
        self.expires = 0

    def get(self):
        with self.lock:
            if time.monotonic() > self.expires:
                self._refresh()
            return list(self.addresses)

    def _refresh(self):
        """Asks a known host, else the client directory; keeps the old list when none answers."""
        for address in self.addresses:
            reply = call(address, 'GET', '/v1/entry-hosts', None, self.headers, 2)
            if reply.whole and reply.status == 200:
                self._take(reply.json())
                return
        reply = call(self.deployment.directory_address, 'GET', '/directory/entry-hosts', None, {}, 2)
        if reply.whole and reply.status == 200:
            self._take(reply.json())

    def _take(self, listed):
        hosts = listed.get('hosts', [])
        if not hosts:
            return
        hosts.sort(key=lambda host: host['region'] != self.region)
        self.addresses = [host['address'] for host in hosts]
        self.expires = time.monotonic() + listed.get('ttl_ms', 5000) / 1000


class Outcome:
    def __init__(self, item):
        self.item = item
        self.state = 'lost'  # answered, wrong, outcome_unknown, refused or lost
        self.sends = 0
        self.refused_not_run = collections.Counter()
        self.not_run_ids = []
        self.first_token = None
        self.total = None
        self.region = ''
        self.trail = []  # what the last sends gave, for lost requests


class Caller:
    """Sends one item of the day until it is answered or its outcome is stated."""

    def __init__(self, day, item):
        self.day = day
        self.item = item
        self.outcome = Outcome(item)
        self.text = day.text(item)
        profile = day.deployment.profile
        kind = item['kind']
        self.headers = {'content-type': 'application/json',
                        'authorization': 'Bearer ' + day.deployment.team_keys[item['team']]}
        if kind in NOT_REPEATABLE:
            self.headers['idempotency-key'] = f'{day.run_id}-{item["id"]}'
            self.headers['x-ebonylift-idempotent'] = 'false'
        if kind in CLASSES:
            self.headers['x-ebonylift-class'] = CLASSES[kind]
        if kind in SERVICE_PATHS:
            self.path = f'/svc/{profile.service}/{SERVICE_PATHS[kind]}'
            self.body = json.dumps({'id': item['id'], 'text': self.text}, ensure_ascii=False)
            self.expected = sha256(self.body)
            return
        self.path = '/v1/chat/completions'
        self.body = json.dumps(
            {'model': profile.model, 'user': item['id'], 'max_tokens': item['output_tokens'],
             'stream': kind in STREAMED, 'messages': [{'role': 'user', 'content': self.text}]},
            ensure_ascii=False)
        self.expected = answer_text(profile.model, self.text, item['output_tokens'])

    def run(self):
        started = time.monotonic()
        deadline = started + GIVE_UP_S
        host = 0
        while self.outcome.state == 'lost' and time.monotonic() < deadline:
            addresses = self.day.entry_list(self.item).get()
            if not addresses:
                time.sleep(0.2)
                continue
            sent_at = time.monotonic() - started
            reply = self.send(addresses[host % len(addresses)])
            pause, next_host = self.judge(reply, sent_at)
            host += next_host
            if self.outcome.state == 'lost':
                time.sleep(pause)
        self.outcome.total = time.monotonic() - started
        return self.outcome

    def send(self, address):
        self.outcome.sends += 1
        return call(address, 'POST', self.path, self.body.encode(), self.headers, 60)

    def judge(self, reply, sent_at):
        """Decides on one reply: sets the outcome, or returns (pause, whether to change hosts)."""
        self.outcome.trail = self.outcome.trail[-5:] + [
            f'{reply.status} {reply.error} {reply.body[-200:]!r}' if not 200 <= reply.status < 300
            else f'{reply.status} whole={reply.whole}']
        if reply.whole and 200 <= reply.status < 300:
            if self.accept(reply):
                if reply.first_byte is not None:
                    self.outcome.first_token = sent_at + reply.first_byte
                self.outcome.region = reply.headers.get('x-ebonylift-region', '')
                return 0, False
            return 0.1, False  # a stream that ended with an error event
        if not reply.status:
            return 0.1, True
        error = reply.json().get('error', {})
        run = error.get('run', '')
        if run == 'not_run':
            self.outcome.refused_not_run[error.get('code', '')] += 1
            self.outcome.not_run_ids.append(error.get('request_id', ''))
        elif error.get('code') == 'outcome_unknown':
            self.outcome.state = 'outcome_unknown'
            return 0, False
        pause = min(2.0, error.get('retry_after_ms', 500) / 1000)
        return max(pause, 0.1), run == 'not_run'

    def accept(self, reply):
        """True when the reply decides the outcome."""
        got = self.answer_of(reply)
        if got is None:
            return False
        self.outcome.state = 'answered' if got == self.expected else 'wrong'
        return True

    def answer_of(self, reply):
        if self.item['kind'] in SERVICE_PATHS:
            return reply.json().get('body_sha256')
        if self.item['kind'] not in STREAMED:
            choices = reply.json().get('choices') or [{}]
            return choices[0].get('message', {}).get('content')
        text = ''
        for event in reply.body.decode(errors='replace').split('\n\n'):
            if event == 'data: [DONE]':
                return text
            if not event.startswith('data: '):
                continue
            try:
                chunk = json.loads(event[6:])
            except ValueError:
                return None
            for choice in chunk.get('choices', []):
                text += choice.get('delta', {}).get('content') or ''
        return None  # no [DONE]: the answer is not complete


class JobCaller(Caller):
    """Submits a chapter as a batch job and fetches its result."""

    def run(self):
        started = time.monotonic()
        deadline = started + GIVE_UP_S
        job = None
        host = 0
        while self.outcome.state == 'lost' and time.monotonic() < deadline:
            addresses = self.day.entry_list(self.item).get()
            if not addresses:
                time.sleep(0.2)
                continue
            address = addresses[host % len(addresses)]
            if job is None:
                job, pause, next_host = self.submit(address)
            else:
                pause, next_host = self.fetch(address, job)
            host += next_host
            if self.outcome.state == 'lost':
                time.sleep(pause)
        self.outcome.total = time.monotonic() - started
        return self.outcome

    def submit(self, address):
        self.outcome.sends += 1
        body = json.dumps({'path': self.path, 'body': json.loads(self.body)}, ensure_ascii=False)
        reply = call(address, 'POST', '/v1/jobs', body.encode(), self.headers, 30)
        if reply.whole and reply.status == 202:
            return reply.json().get('id'), 0.2, False
        pause, next_host = self.judge(reply, 0)
        return None, pause, next_host

    def fetch(self, address, job):
        headers = {'authorization': self.headers['authorization']}
        reply = call(address, 'GET', f'/v1/jobs/{job}', None, headers, 10)
        state = reply.json().get('state') if reply.whole else None
        self.outcome.trail = self.outcome.trail[-5:] + [f'{reply.status} {state} {reply.error}']
        if state in ('failed', 'cancelled', 'outcome_unknown'):
            self.outcome.state = 'outcome_unknown' if state == 'outcome_unknown' else 'refused'
            return 0, False
        if state != 'finished':
            return 0.3, reply.status != 200
        result = call(address, 'GET', f'/v1/jobs/{job}/result', None, headers, 10)
        if result.whole and result.status == 200:
            self.accept(result)
            self.outcome.region = result.headers.get('x-ebonylift-region', '')
        return 0.3, result.status != 200


class Day:
    """The bundled day of work, compressed to `length` seconds."""

    def __init__(self, deployment, length):
        self.deployment = deployment
        self.length = length
        self.run_id = os.urandom(4).hex()
        self.subjects = {}
        self.items = []
        path = ROOT / 'scripts' / 'demo_data' / f'{deployment.profile.name}.jsonl'
        for line in path.read_text(encoding='utf-8').splitlines():
            entry = json.loads(line)
            if 'subject' in entry and 'kind' not in entry:
                self.subjects[entry['subject']] = entry['text']
            else:
                self.items.append(entry)
        self.entry_lists = {(item['team'], item['region']): EntryList(deployment, item['team'],
                                                                      item['region'])
                            for item in self.items}

    def text(self, item):
        subject = self.subjects.get(item.get('subject', ''), '')
        return f'{subject}\n{item["text"]}' if subject else item['text']

    def entry_list(self, item):
        return self.entry_lists[(item['team'], item['region'])]

    def run(self, faults):
        """Sends all items at their times; `faults` are (share of the day, function), in order."""
        started = time.monotonic()
        pending = []
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            for item in self.items:
                while faults and faults[0][0] <= item['at']:
                    faults.pop(0)[1]()
                time.sleep(max(0, started + item['at'] * self.length - time.monotonic()))
                caller = JobCaller if item['kind'] == 'chapter' else Caller
                pending.append(pool.submit(caller(self, item).run))
            outcomes = [future.result() for future in pending]
        return outcomes, time.monotonic() - started


# ---- report


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] * 1000 if values else 0


def runs_by_item(day, records):
    """Records of each item: by the caller's tag, or by the body of a service call."""
    bodies = {}
    for item in day.items:
        if item['kind'] in SERVICE_PATHS:
            bodies[Caller(day, item).expected] = item['id']
    runs = collections.defaultdict(list)
    for entry in records:
        name = entry['user'] or bodies.get(entry['body_sha256'])
        if name and entry['started']:
            runs[name].append(entry)
    return runs


def summarise(day, outcomes, records):
    runs = runs_by_item(day, records)
    teams = day.deployment.profile.teams
    started_ids = {entry['request_id'] for entry in records if entry['started']}
    states = collections.Counter(outcome.state for outcome in outcomes)
    result = {
        'requests': len(outcomes),
        'answered': states['answered'],
        'refused_not_run': sum(sum(o.refused_not_run.values()) for o in outcomes),
        'outcome_unknown': states['outcome_unknown'],
        'refused': states['refused'],
        'lost': states['lost'],
        'wrong': states['wrong'],
        'duplicated': 0, 'repeated_idempotent': 0, 'outside_region': 0,
        'not_run_but_ran': sum(1 for o in outcomes for i in o.not_run_ids if i in started_ids),
        'answered_without_run': 0, 'sent_to_other_region': 0, 'runs': 0,
    }
    for outcome in outcomes:
        item = outcome.item
        item_runs = runs[item['id']]
        result['runs'] += len(item_runs)
        kind = 'duplicated' if item['kind'] in NOT_REPEATABLE else 'repeated_idempotent'
        result[kind] += len(item_runs) > 1
        result['outside_region'] += sum(r['region'] not in teams[item['team']] for r in item_runs)
        result['sent_to_other_region'] += sum(r['region'] != item['region'] for r in item_runs)
        completed = any(r['outcome'] == 'completed' for r in item_runs)
        result['answered_without_run'] += outcome.state == 'answered' and not completed
    return result


def print_table(outcomes):
    header = ('kind', 'requests', 'answered', 'unknown', 'lost', 'refused', 'sends', 'first p50',
              'first p95', 'total p50', 'total p95')
    print('\n' + ''.join(f'{name:>10}' for name in header) + '   (times in ms)')
    kinds = sorted({outcome.item['kind'] for outcome in outcomes})
    for kind in kinds + ['all']:
        rows = [o for o in outcomes if kind in ('all', o.item['kind'])]
        first = [o.first_token for o in rows if o.first_token is not None]
        total = [o.total for o in rows if o.state == 'answered']
        cells = [kind, len(rows), sum(o.state == 'answered' for o in rows),
                 sum(o.state == 'outcome_unknown' for o in rows),
                 sum(o.state in ('lost', 'wrong', 'refused') for o in rows),
                 sum(sum(o.refused_not_run.values()) for o in rows), sum(o.sends for o in rows),
                 percentile(first, 0.5), percentile(first, 0.95), percentile(total, 0.5),
                 percentile(total, 0.95)]
        print(''.join(f'{c:>10.0f}' if isinstance(c, float) else f'{c:>10}' for c in cells))
    codes = collections.Counter()
    shares = collections.Counter()
    for outcome in outcomes:
        codes.update(outcome.refused_not_run)
        shares[f'{outcome.item["region"]} > {outcome.region or "?"}'] += 1
    print('\nrefusals that said not_run:', dict(codes) or 'none')
    print('caller region > serving region:')
    for pair, count in sorted(shares.items()):
        print(f'  {pair:<24}{count:>6}{100 * count / len(outcomes):>7.1f}%')
    for outcome in [o for o in outcomes if o.state in ('lost', 'wrong', 'refused')][:10]:
        print(f'{outcome.state}: {outcome.item["id"]}: {outcome.trail}')


def print_addresses(deployment):
    print('\nThe deployment keeps running.')
    for name, host in deployment.hosts.items():
        print(f'  entry host {name:<14} callers http://{host["client"]}  operators '
              f'http://{host["http"]}')
    print(f'  proxy control http://{deployment.proxy_address}/proxy/links')
    print(f'  client directory http://{deployment.directory_address}/directory/entry-hosts')
    for team, key in deployment.team_keys.items():
        print(f'  key of team {team}: {key}')
    print(f'  operator token: {deployment.operator_token}')
    print(f'  logs and records: {deployment.directory}')
    pids = ' '.join(str(p.pid) for p in deployment.processes.by_name.values() if p.poll() is None)
    print(f'  stop it with: kill {pids}\n')


def main():
    parser = argparse.ArgumentParser(prog='scripts/demo', description=__doc__.splitlines()[0])
    parser.add_argument('--profile', choices=sorted(PROFILES), default='rocha')
    parser.add_argument('--seconds', type=float, default=60, help='length of the day')
    parser.add_argument('--keep', action='store_true', help='leave the deployment running')
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    directory = pathlib.Path(tempfile.mkdtemp(prefix='ebonylift-demo-'))
    processes = Processes(directory)
    deployment = Deployment(PROFILES[options.profile], processes)
    print(f'demo: logs and records in {directory}')
    started = time.monotonic()
    deployment.start()
    deployment.configure()
    deployment.wait_serving()
    print(f'demo: {len(deployment.hosts)} entry hosts and {len(deployment.servers)} backend servers '
          f'serve after {time.monotonic() - started:.1f} s')

    def kill(name):
        print(f'demo: killing {name}')
        deployment.kill(name)

    profile = deployment.profile
    day = Day(deployment, options.seconds)
    wait_for(lambda: all(entry_list.get() for entry_list in day.entry_lists.values()),
             'publication of the entry list')
    outcomes, elapsed = day.run([(0.4, lambda: kill(profile.kill_host)),
                                 (0.6, lambda: kill(profile.kill_server))])
    failed = []
    if options.keep:
        processes.keep = True
    else:
        killed = (profile.kill_host, profile.kill_server)
        failed = processes.stop([name for name in deployment.hosts if name not in killed])
        failed += processes.stop([name for name in deployment.servers if name not in killed])
    result = summarise(day, outcomes, deployment.records())
    result.update({'profile': profile.name, 'seconds': round(elapsed, 1), 'unclean_exits': failed})
    print_table(outcomes)
    if options.keep:
        print_addresses(deployment)
    print(json.dumps(result), flush=True)
    bad = ('lost', 'wrong', 'duplicated', 'outside_region', 'not_run_but_ran', 'refused',
           'answered_without_run')
    return 1 if any(result[name] for name in bad) or failed else 0


if __name__ == '__main__':
    sys.exit(main())
