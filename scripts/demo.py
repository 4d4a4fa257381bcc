#!/usr/bin/env python3
"""Replays one office's day of requests against a local deployment and checks every outcome.

The deployment consists of gateway daemons (entry hosts) and simulated backend servers, each a
process on loopback. Their connections to each other and those of the clients go through a proxy
that adds network delay. One entry host and one backend server are killed on the way. scripts/demo
builds the programs and starts this script.

The last line of output is one JSON object. Its counts come from the records that the backend
servers write and from the responses that clients received, never from the gateway:
  requests              requests in the workload
  answered              complete answers that equal the text expected for the request
  refused_not_run       refusals with run "not_run" (the request did not start); each is retried
  outcome_unknown       non-idempotent requests whose client was told that the request may have run
  refused               batch jobs that ended as failed or cancelled
  lost                  requests without a final outcome at the retry deadline
  wrong                 complete answers that differ from the expected text
  duplicated            requests marked non-idempotent that started more than once
  repeated_idempotent   other requests that started more than once, which is allowed
  outside_region        runs in a region that the team's residency rule does not allow
  not_run_but_ran       refusals with run "not_run" although a record shows that the request started
  answered_without_run  answered requests for which no record shows a completed run
  sent_to_other_region  runs outside the client's own region
  runs                  runs that the backend servers started
  unclean_exits         processes that did not exit with 0 on SIGTERM, as name:code
The exit status is 1 if anything was lost, wrong, duplicated, outside_region, not_run_but_ran,
refused or answered_without_run, or if unclean_exits is not empty.
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
# Must equal the word list in testing/answer.cc.
ANSWER_WORDS = ('trail river stone ridge marsh palm dune gate oak ford north south east west cache '
         'log').split()
# The `user` of the requests that test whether a host serves; their runs are not counted.
PROBE_USER = 'demo-probe'
# A request is retried until its outcome is known or until this long after its first attempt.
RETRY_DEADLINE_S = 90
START_TIMEOUT_S = 45
STOP_TIMEOUT_S = 30
CLIENT_THREADS = 160


class Profile:
    """Topology, network delays and teams of one office's deployment."""

    def __init__(self, name, model, service, domains, engines_per_domain, link_delays_us, teams,
                 kill_host, kill_server):
        self.name = name
        self.model = model
        self.service = service
        self.domains = domains  # maps each failure domain to its region
        self.engines_per_domain = engines_per_domain
        # One-way delays of links within a region, between regions, and from clients to entry hosts.
        self.link_delays_us = link_delays_us
        self.teams = teams  # maps each team to the regions its residency rule allows
        # The entry host and the backend server to kill during the run.
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

# Kinds of request that must not run twice; they carry an idempotency key.
NON_IDEMPOTENT_KINDS = {'check', 'find', 'pack', 'chapter'}
STREAMED_KINDS = {'summary', 'clause'}
# Kinds that call the service instead of the model, with the last segment of their URL path.
SERVICE_PATHS = {'find': 'finds', 'pack': 'packs'}
# Kinds that override the route's class with the header x-ebonylift-class.
CLASS_BY_KIND = {'check': 'check', 'chapter': 'chapter'}


# ---- addresses and processes


def free_addresses():
    """Yields unused loopback addresses.

    The ports lie below the ephemeral range, so that no outgoing connection takes one before the
    process that is given the address binds it.
    """
    start = random.SystemRandom().randrange(10000, 31000)
    for port in itertools.chain(range(start, 32000), range(10000, start)):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        yield f'127.0.0.1:{port}'


class Processes:
    """The started processes by name. Kills them when the script exits, unless `keep` is set."""

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
        """Sends SIGTERM to the named processes.

        Returns `name:code` for each that did not exit with 0, where the code is None if the process
        was still running after STOP_TIMEOUT_S.
        """
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


# Result of one HTTP request; `status` is 0 if no response header arrived.
class Reply:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.connected = False  # the connection was established, so the request may have arrived
        self.complete = False  # the body arrived up to its declared length
        self.first_byte = None  # seconds from the start of the call to the first body byte
        self.error = ''  # transport error

    # Returns the body as a dict; empty if it is not a JSON object.
    def json(self):
        try:
            value = json.loads(self.body)
            return value if isinstance(value, dict) else {}
        except ValueError:
            return {}


# Sends one HTTP request on a new connection; transport errors are reported in the Reply.
def call(address, method, path, body=None, headers=None, timeout=30):
    reply = Reply()
    started = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.connect()
        reply.connected = True
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
        # read1 reports no error if the connection closes before Content-Length bytes arrived.
        length = reply.headers.get('content-length')
        reply.complete = length is None or int(length) == len(reply.body)
    except (OSError, http.client.HTTPException) as error:
        reply.error = f'{type(error).__name__}: {error}'
    finally:
        connection.close()
    return reply


# Polls `condition` until it is true; exits the script after `timeout` seconds.
def wait_for(condition, what, timeout=START_TIMEOUT_S):
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            sys.exit(f'demo: timed out after {timeout} s waiting for {what}')
        time.sleep(0.05)


# ---- the deployment


# Daemons and simulated backend servers on loopback, connected through a delaying proxy.
#
# Each link is a listening address of the proxy that forwards to one target with a fixed delay.
# The processes know each other by the addresses of links; only the client directory is accessed
# directly.
class Deployment:
    def __init__(self, profile, processes):
        self.profile = profile
        self.processes = processes
        self.directory = processes.directory
        self.free_addresses = free_addresses()
        self.cluster_key = os.urandom(16).hex()
        self.platform_token = os.urandom(16).hex()
        self.operator_token = os.urandom(16).hex()
        self.team_keys = {team: f'key-{team}-{os.urandom(4).hex()}' for team in profile.teams}
        self.links = []
        self.hosts = {}
        self.servers = {}
        self.directory_address = next(self.free_addresses)
        self.proxy_address = next(self.free_addresses)
        self._assign_addresses()

    # Adds a proxy link to `target` and returns the address on which it listens.
    def _add_link(self, name, target, delay_us):
        listen = next(self.free_addresses)
        self.links.append({'name': name, 'listen': listen, 'target': target, 'delay_us': delay_us})
        return listen

    # Assigns addresses and links to two hosts per failure domain and to all backend servers.
    #
    # The first host of each domain has a disk, so it votes and stores records. In a host's entry,
    # `http` and `peer` are its own addresses, `client` and `announce` the links that clients and
    # backend servers use, and `peer X` and `http X` the links that host X uses.
    def _assign_addresses(self):
        intra_region_us, inter_region_us, clients_us = self.profile.link_delays_us
        for domain, region in self.profile.domains.items():
            for number in (1, 2):
                self.hosts[f'{domain}-{number}'] = {
                    'domain': domain, 'region': region, 'disk': number == 1,
                    'http': next(self.free_addresses), 'peer': next(self.free_addresses)}
        for name, host in self.hosts.items():
            host['client'] = self._add_link(f'client>{name}', host['http'], clients_us)
            host['announce'] = self._add_link(f'servers-{host["domain"]}>{name}', host['http'],
                                              intra_region_us)
            for other, peer in self.hosts.items():
                if other == name:
                    continue
                delay_us = inter_region_us if peer['region'] != host['region'] else intra_region_us
                host[f'peer {other}'] = self._add_link(f'{other}>{name}/peer', host['peer'],
                                                      delay_us)
                host[f'http {other}'] = self._add_link(f'{other}>{name}/http', host['http'],
                                                      delay_us)
        for domain in self.profile.domains:
            for number in range(1, self.profile.engines_per_domain + 1):
                self._assign_server_addresses(f'{domain}-engine-{number}', domain, 'engine')
            self._assign_server_addresses(f'{domain}-service-1', domain, 'service')

    def _assign_server_addresses(self, name, domain, kind):
        address = next(self.free_addresses)
        self.servers[name] = {
            'domain': domain, 'kind': kind, 'address': address,
            'control': next(self.free_addresses),
            'advertise': self._add_link(f'{domain}>{name}', address,
                                        self.profile.link_delays_us[0]),
            'record': self.directory / f'{name}.record'}

    # Starts all processes and waits until every daemon is healthy.
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
            self.start_host(name)
        for name in self.servers:
            self.start_server(name)
        for name, host in self.hosts.items():
            wait_for(lambda: call(host['http'], 'GET', '/healthz').status == 200, f'start of {name}')

    def start_host(self, name):
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

    def start_server(self, name):
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

    # Stores the regions and, for each team, its residency rule, key and routes.
    def configure(self):
        regions = {}
        for name, host in self.hosts.items():
            region = regions.setdefault(host['region'], {'domains': [], 'record_hosts': []})
            if host['domain'] not in region['domains']:
                region['domains'].append(host['domain'])
            if host['disk']:
                region['record_hosts'].append(name)
        for region, value in regions.items():
            self.put_config(f'/deployment/regions/{region}', value)
        for team, allowed in self.profile.teams.items():
            self.put_config(f'/teams/{team}/residency', {'regions': allowed})
            self.put_config(f'/teams/{team}/keys/demo', {'sha256': sha256(self.team_keys[team])})
            self.put_config(f'/teams/{team}/routes/{self.profile.model}', {
                'kind': 'model', 'model': self.profile.model, 'regions': allowed,
                'home': allowed[0], 'class': 'interactive', 'idempotent': True,
                'deadline_ms': 30000, 'send_away': True})
            self.put_config(f'/teams/{team}/routes/{self.profile.service}', {
                'kind': 'service', 'service': self.profile.service, 'regions': allowed,
                'home': allowed[0], 'class': 'interactive', 'idempotent': False,
                'deadline_ms': 15000, 'send_away': True})

    def put_config(self, path, value):
        """Stores a value with `ebonylift config put`; retries until a leader accepts it."""
        servers = ','.join(host['http'] for host in self.hosts.values())
        command = [str(BUILD / 'ebonylift'), 'config', 'put', path, json.dumps(value),
                   f'--server={servers}', f'--token={self.operator_token}']
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            result = subprocess.run(command, capture_output=True, text=True, check=False)
            if result.returncode == 0:
                return
            if time.monotonic() > deadline:
                sys.exit(f'demo: config put {path} failed: {result.stdout}{result.stderr}')
            time.sleep(0.2)

    # Waits until every host answers a model request of a team that may run in its region.
    def wait_until_serving(self):
        body = json.dumps({'model': self.profile.model, 'user': PROBE_USER, 'max_tokens': 1,
                           'messages': [{'role': 'user', 'content': 'probe'}]})
        for name, host in self.hosts.items():
            team = next(t for t, regions in self.profile.teams.items()
                        if host['region'] in regions)
            headers = {'authorization': 'Bearer ' + self.team_keys[team],
                       'content-type': 'application/json'}
            last_reply = Reply()

            def probe_succeeds():
                nonlocal last_reply
                last_reply = call(host['http'], 'POST', '/v1/chat/completions', body, headers, 10)
                return last_reply.status == 200

            try:
                wait_for(probe_succeeds, f'an answer through {name}')
            except SystemExit:
                print(last_reply.status, last_reply.body.decode(errors='replace'),
                      last_reply.error, file=sys.stderr)
                raise

    def kill(self, name):
        """Makes all links to the process refuse connections, then sends it SIGKILL.

        The links stand for the killed machine, whose kernel would refuse connections.
        """
        for pattern in [f'*>{name}'] + [f'*>{name}/*'] * (name in self.hosts):
            reply = call(self.proxy_address, 'POST', '/proxy/set',
                         json.dumps({'links': pattern, 'refuse': True}))
            if reply.status != 200:
                sys.exit(f'demo: proxy rejected {pattern}: {reply.body.decode(errors="replace")}')
        self.processes.kill(name)

    def records(self):
        """Returns the latest record of each run, as written by the backend servers."""
        runs = {}
        for name, server in self.servers.items():
            if not server['record'].exists():
                continue
            for line in server['record'].read_text(errors='replace').splitlines():
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue  # SIGKILL can leave a truncated last line
                if entry['user'] != PROBE_USER:
                    runs[(name, entry['incarnation'], entry['seq'])] = entry
        return list(runs.values())


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


# ---- clients


def answer_text(model, text, output_tokens):
    """Returns the text that a simulated engine generates, as AnswerText in testing/answer.cc."""
    digest = sha256(f'{model}\n{text}\n{output_tokens}')
    words = [ANSWER_WORDS[(int(digest[i % 64], 16) + i) % 16] for i in range(1, output_tokens)]
    return ' '.join([digest[:16]] + words) + ' '


class EntryList:
    """Caches the entry hosts published for a team, those in the client's region first."""

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
        """Asks the known hosts in turn, then the client directory.

        Keeps the old list if none answers.
        """
        for address in self.addresses:
            reply = call(address, 'GET', '/v1/entry-hosts', None, self.headers, 2)
            if reply.complete and reply.status == 200:
                self._store(reply.json())
                return
        reply = call(self.deployment.directory_address, 'GET', '/directory/entry-hosts', None, {}, 2)
        if reply.complete and reply.status == 200:
            self._store(reply.json())

    def _store(self, entry_hosts):
        hosts = entry_hosts.get('hosts', [])
        if not hosts:
            return
        hosts.sort(key=lambda host: host['region'] != self.region)
        self.addresses = [host['address'] for host in hosts]
        self.expires = time.monotonic() + entry_hosts.get('ttl_ms', 5000) / 1000


# What happened to one request over all its attempts.
class Outcome:
    def __init__(self, item):
        self.item = item
        # answered, wrong, outcome_unknown or refused; lost until one of them is known
        self.state = 'lost'
        self.sends = 0  # attempts
        self.refused_not_run = collections.Counter()  # not_run refusals by error code
        self.not_run_ids = []  # request ids of the not_run refusals
        self.first_token = None  # seconds from the first attempt to the first body byte
        self.total = None  # seconds from the first attempt to the final outcome
        self.region = ''  # region that served the request
        self.recent_replies = []  # the last 6 replies, printed for requests that failed


class Client:
    """Client of one workload item; retries until the outcome of the request is known."""

    def __init__(self, workload, item):
        self.workload = workload
        self.item = item
        self.outcome = Outcome(item)
        self.text = workload.item_text(item)
        profile = workload.deployment.profile
        kind = item['kind']
        self.headers = {'content-type': 'application/json',
                        'authorization': 'Bearer ' + workload.deployment.team_keys[item['team']]}
        if kind in NON_IDEMPOTENT_KINDS:
            self.headers['idempotency-key'] = f'{workload.run_id}-{item["id"]}'
            self.headers['x-ebonylift-idempotent'] = 'false'
        if kind in CLASS_BY_KIND:
            self.headers['x-ebonylift-class'] = CLASS_BY_KIND[kind]
        if kind in SERVICE_PATHS:
            self.path = f'/svc/{profile.service}/{SERVICE_PATHS[kind]}'
            self.body = json.dumps({'id': item['id'], 'text': self.text}, ensure_ascii=False)
            self.expected = sha256(self.body)
            return
        self.path = '/v1/chat/completions'
        self.body = json.dumps(
            {'model': profile.model, 'user': item['id'], 'max_tokens': item['output_tokens'],
             'stream': kind in STREAMED_KINDS,
             'messages': [{'role': 'user', 'content': self.text}]},
            ensure_ascii=False)
        self.expected = answer_text(profile.model, self.text, item['output_tokens'])

    # Sends the request, with retries, and returns its Outcome.
    def run(self):
        started = time.monotonic()
        deadline = started + RETRY_DEADLINE_S
        host_index = 0
        while self.outcome.state == 'lost' and time.monotonic() < deadline:
            addresses = self.workload.entry_list(self.item).get()
            if not addresses:
                time.sleep(0.2)
                continue
            sent_at = time.monotonic() - started
            reply = self.send(addresses[host_index % len(addresses)])
            retry_delay, switch_host = self.classify_reply(reply, sent_at)
            host_index += switch_host
            if self.outcome.state == 'lost':
                time.sleep(retry_delay)
        self.outcome.total = time.monotonic() - started
        return self.outcome

    def send(self, address):
        self.outcome.sends += 1
        return call(address, 'POST', self.path, self.body.encode(), self.headers, 60)

    def classify_reply(self, reply, sent_at):
        """Updates the outcome from a reply; returns (delay in s, whether to try another host).

        The outcome stays `lost` if the request must be retried.
        """
        self.outcome.recent_replies = self.outcome.recent_replies[-5:] + [
            f'{reply.status} {reply.error} {reply.body[-200:]!r}' if not 200 <= reply.status < 300
            else f'{reply.status} complete={reply.complete}']
        if reply.complete and 200 <= reply.status < 300:
            if self.check_answer(reply):
                if reply.first_byte is not None:
                    self.outcome.first_token = sent_at + reply.first_byte
                self.outcome.region = reply.headers.get('x-ebonylift-region', '')
                return 0, False
            return 0.1, False  # the stream ended with an error event
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
        retry_delay = min(2.0, error.get('retry_after_ms', 500) / 1000)
        return max(retry_delay, 0.1), run == 'not_run'

    def check_answer(self, reply):
        """Compares the answer with the expected text; returns False if the reply has no answer."""
        answer = self.extract_answer(reply)
        if answer is None:
            return False
        self.outcome.state = 'answered' if answer == self.expected else 'wrong'
        return True

    # Returns the answer text, or the body digest of a service call; None if incomplete.
    def extract_answer(self, reply):
        if self.item['kind'] in SERVICE_PATHS:
            return reply.json().get('body_sha256')
        if self.item['kind'] not in STREAMED_KINDS:
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
        return None  # a stream without [DONE] is incomplete


class JobClient(Client):
    """Client of one item that is submitted as a batch job; polls the job and fetches its result."""

    def run(self):
        started = time.monotonic()
        deadline = started + RETRY_DEADLINE_S
        job = None
        host_index = 0
        while self.outcome.state == 'lost' and time.monotonic() < deadline:
            addresses = self.workload.entry_list(self.item).get()
            if not addresses:
                time.sleep(0.2)
                continue
            address = addresses[host_index % len(addresses)]
            if job is None:
                job, retry_delay, switch_host = self.submit(address)
            else:
                retry_delay, switch_host = self.poll(address, job)
            host_index += switch_host
            if self.outcome.state == 'lost':
                time.sleep(retry_delay)
        self.outcome.total = time.monotonic() - started
        return self.outcome

    # Submits the job; returns (job id or None, delay in s, whether to try another host).
    def submit(self, address):
        self.outcome.sends += 1
        body = json.dumps({'path': self.path, 'body': json.loads(self.body)}, ensure_ascii=False)
        reply = call(address, 'POST', '/v1/jobs', body.encode(), self.headers, 30)
        if reply.complete and reply.status == 202:
            return reply.json().get('id'), 0.2, False
        retry_delay, switch_host = self.classify_reply(reply, 0)
        return None, retry_delay, switch_host

    # Polls the job once; returns (delay in s, whether to try another host).
    def poll(self, address, job):
        headers = {'authorization': self.headers['authorization']}
        reply = call(address, 'GET', f'/v1/jobs/{job}', None, headers, 10)
        state = reply.json().get('state') if reply.complete else None
        self.outcome.recent_replies = self.outcome.recent_replies[-5:] + [
            f'{reply.status} {state} {reply.error}']
        if state in ('failed', 'cancelled', 'outcome_unknown'):
            self.outcome.state = 'outcome_unknown' if state == 'outcome_unknown' else 'refused'
            return 0, False
        if state != 'finished':
            return 0.3, reply.status != 200
        result = call(address, 'GET', f'/v1/jobs/{job}/result', None, headers, 10)
        if result.complete and result.status == 200:
            self.check_answer(result)
            self.outcome.region = result.headers.get('x-ebonylift-region', '')
        return 0.3, result.status != 200


class Workload:
    """One office's day of requests from scripts/demo_data, compressed to `duration_s` seconds.

    The file holds one JSON object per line: a subject (text that several requests include) or a
    request. A request's `at` is its send time as a fraction of the workload's duration.
    """

    def __init__(self, deployment, duration_s):
        self.deployment = deployment
        self.duration_s = duration_s
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

    def item_text(self, item):
        subject = self.subjects.get(item.get('subject', ''), '')
        return f'{subject}\n{item["text"]}' if subject else item['text']

    def entry_list(self, item):
        return self.entry_lists[(item['team'], item['region'])]

    def run(self, faults):
        """Sends every item at its time; returns the outcomes and the elapsed seconds.

        `faults` is a list of (fraction of the duration, function) in ascending order.
        """
        started = time.monotonic()
        pending = []
        with concurrent.futures.ThreadPoolExecutor(CLIENT_THREADS) as pool:
            for item in self.items:
                while faults and faults[0][0] <= item['at']:
                    faults.pop(0)[1]()
                time.sleep(max(0, started + item['at'] * self.duration_s - time.monotonic()))
                client = JobClient if item['kind'] == 'chapter' else Client
                pending.append(pool.submit(client(self, item).run))
            outcomes = [future.result() for future in pending]
        return outcomes, time.monotonic() - started


# ---- report


# Returns a percentile of durations in seconds, in milliseconds.
def percentile_ms(values, fraction):
    values = sorted(values)
    return values[min(len(values) - 1, int(fraction * len(values)))] * 1000 if values else 0


def runs_by_item(workload, records):
    """Groups the started runs by item.

    The `user` of a model request is the item's id; a service call is matched by its body digest.
    """
    bodies = {}
    for item in workload.items:
        if item['kind'] in SERVICE_PATHS:
            bodies[Client(workload, item).expected] = item['id']
    runs = collections.defaultdict(list)
    for entry in records:
        name = entry['user'] or bodies.get(entry['body_sha256'])
        if name and entry['started']:
            runs[name].append(entry)
    return runs


# Computes the counts that the module docstring describes.
def summarise(workload, outcomes, records):
    runs = runs_by_item(workload, records)
    teams = workload.deployment.profile.teams
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
        kind = 'duplicated' if item['kind'] in NON_IDEMPOTENT_KINDS else 'repeated_idempotent'
        result[kind] += len(item_runs) > 1
        result['outside_region'] += sum(r['region'] not in teams[item['team']] for r in item_runs)
        result['sent_to_other_region'] += sum(r['region'] != item['region'] for r in item_runs)
        completed = any(r['outcome'] == 'completed' for r in item_runs)
        result['answered_without_run'] += outcome.state == 'answered' and not completed
    return result


# Prints counts and latencies per kind, refusals, serving regions and the first 10 failures.
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
                 percentile_ms(first, 0.5), percentile_ms(first, 0.95), percentile_ms(total, 0.5),
                 percentile_ms(total, 0.95)]
        print(''.join(f'{c:>10.0f}' if isinstance(c, float) else f'{c:>10}' for c in cells))
    refusal_codes = collections.Counter()
    region_counts = collections.Counter()
    for outcome in outcomes:
        refusal_codes.update(outcome.refused_not_run)
        region_counts[f'{outcome.item["region"]} > {outcome.region or "?"}'] += 1
    print('\nrefusals with run "not_run", by error code:', dict(refusal_codes) or 'none')
    print('client region > serving region ("?" if not served):')
    for pair, count in sorted(region_counts.items()):
        print(f'  {pair:<24}{count:>6}{100 * count / len(outcomes):>7.1f}%')
    for outcome in [o for o in outcomes if o.state in ('lost', 'wrong', 'refused')][:10]:
        print(f'{outcome.state}: {outcome.item["id"]}: {outcome.recent_replies}')


def print_addresses(deployment):
    print('\nThe deployment is still running.')
    for name, host in deployment.hosts.items():
        print(f'  entry host {name:<14} clients http://{host["client"]}  operators '
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
    parser.add_argument('--seconds', type=float, default=60,
                        help='duration of the replayed workload')
    parser.add_argument('--keep', action='store_true',
                        help='leave the deployment running after the workload')
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    directory = pathlib.Path(tempfile.mkdtemp(prefix='ebonylift-demo-'))
    processes = Processes(directory)
    deployment = Deployment(PROFILES[options.profile], processes)
    print(f'demo: logs and records in {directory}')
    started = time.monotonic()
    deployment.start()
    deployment.configure()
    deployment.wait_until_serving()
    print(f'demo: {len(deployment.hosts)} entry hosts and {len(deployment.servers)} backend servers '
          f'serve after {time.monotonic() - started:.1f} s')

    def kill(name):
        print(f'demo: killing {name}')
        deployment.kill(name)

    profile = deployment.profile
    workload = Workload(deployment, options.seconds)
    wait_for(lambda: all(entry_list.get() for entry_list in workload.entry_lists.values()),
             'publication of the entry list')
    outcomes, elapsed = workload.run([(0.4, lambda: kill(profile.kill_host)),
                                 (0.6, lambda: kill(profile.kill_server))])
    unclean_exits = []
    if options.keep:
        processes.keep = True
    else:
        killed = (profile.kill_host, profile.kill_server)
        unclean_exits = processes.stop([name for name in deployment.hosts if name not in killed])
        unclean_exits += processes.stop([name for name in deployment.servers if name not in killed])
    result = summarise(workload, outcomes, deployment.records())
    result.update({'profile': profile.name, 'seconds': round(elapsed, 1),
                   'unclean_exits': unclean_exits})
    print_table(outcomes)
    if options.keep:
        print_addresses(deployment)
    print(json.dumps(result), flush=True)
    failure_counts = ('lost', 'wrong', 'duplicated', 'outside_region', 'not_run_but_ran', 'refused',
           'answered_without_run')
    return 1 if any(result[name] for name in failure_counts) or unclean_exits else 0


if __name__ == '__main__':
    sys.exit(main())
