#!/usr/bin/env python3
"""Measures the overhead of one daemon against requests that go directly to its backend servers.

Starts one daemon and several simulated engines on loopback and sends them bounded loads with
`ebonylift load`. Reports the latencies and the CPU time and RSS of the daemon. Both sides of a
comparison are measured in the same run, because other work on the machine changes the figures
between runs.
"""
import argparse
import hashlib
import json
import os
import pathlib
import shutil
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / 'build-release'
OPERATOR_TOKEN, PLATFORM_TOKEN, TEAM_KEY = 'operator', 'platform', 'team-key'
ENGINE_COUNT = 4


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


# One daemon and ENGINE_COUNT simulated engines, configured to serve one model.
class Deployment:
    def __init__(self, threads):
        self.dir = tempfile.mkdtemp(prefix='ebonylift-bench-')
        self.processes = []
        self.daemon_address = f'127.0.0.1:{free_port()}'
        started = time.monotonic()
        self.daemon = self.start('ebonylift', [
            'serve', '--host=h1', '--region=r1', '--domain=d1',
            f'--http_address={self.daemon_address}', f'--peer_address=127.0.0.1:{free_port()}',
            '--voters=h1', f'--data_dir={self.dir}/data',
            '--cluster_key=cluster-key-of-the-bench', f'--platform_token={PLATFORM_TOKEN}',
            f'--operator_token_sha256={hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()}',
            f'--traffic_threads={threads}'])
        self.engines = []
        for i in range(ENGINE_COUNT):
            address = f'127.0.0.1:{free_port()}'
            self.engines.append(address)
            self.start('ebonylift-standin', [
                'engine', f'--id=e{i}', '--incarnation=1', '--domain=d1', '--region=r1',
                f'--listen={address}', f'--advertise={address}',
                f'--entry_hosts={self.daemon_address}',
                f'--platform_token={PLATFORM_TOKEN}', '--models=summary', '--slots=2000',
                '--prefill_us_per_token=0', '--decode_us_per_token=10000', '--slowdown_per_job=0'])
        self.configure()
        self.first_answer_s = time.monotonic() - started

    def start(self, binary, arguments):
        log = open(f'{self.dir}/{len(self.processes)}.log', 'w')
        process = subprocess.Popen([str(BUILD / binary)] + arguments, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    # Stores the configuration and waits until a model request is answered.
    def configure(self):
        values = {
            '/deployment/regions/r1': {'domains': ['d1'], 'record_hosts': ['h1']},
            '/teams/t/residency': {'regions': ['r1']},
            '/teams/t/keys/k': {'sha256': hashlib.sha256(TEAM_KEY.encode()).hexdigest()},
            '/teams/t/routes/r': {'kind': 'model', 'model': 'summary', 'regions': ['r1'],
                                  'home': 'r1', 'class': 'interactive', 'idempotent': True,
                                  'deadline_ms': 60000}}
        for path, value in values.items():
            body = {'path': path, 'value': value, 'base_revision': 0, 'request_id': path}
            self.call('PUT', '/admin/v1/config', body, OPERATOR_TOKEN)
        request = {'model': 'summary', 'max_tokens': 1,
                   'messages': [{'role': 'user', 'content': 'x'}]}
        self.call('POST', '/v1/chat/completions', request, TEAM_KEY)

    # Sends a request to the daemon; retries errors for `retry_s` seconds, then raises.
    def call(self, method, path, body, token, retry_s=20):
        deadline = time.monotonic() + retry_s
        while True:
            request = urllib.request.Request(
                f'http://{self.daemon_address}{path}', json.dumps(body).encode(), method=method,
                headers={'Authorization': f'Bearer {token}', 'Content-Type': 'application/json'})
            try:
                with urllib.request.urlopen(request, timeout=10) as reply:
                    return json.load(reply)
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.01)

    def rss_mb(self):
        for line in open(f'/proc/{self.daemon.pid}/status'):
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0

    # Returns the CPU time that the daemon has used, user and system.
    def cpu_s(self):
        fields = open(f'/proc/{self.daemon.pid}/stat').read().rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    # Runs `ebonylift load`; returns its report with CPU share and peak RSS of the daemon.
    def run_load(self, targets, rate, seconds, tokens, stream):
        cpu = self.cpu_s()
        started = time.monotonic()
        load = subprocess.Popen(
            [str(BUILD / 'ebonylift'), 'load', f'--targets={",".join(targets)}',
             f'--team_key={TEAM_KEY}', f'--rate={rate}', f'--duration_s={seconds}',
             f'--output_tokens={tokens}', f'--stream_percent={100 if stream else 0}',
             '--prompt_tokens=16', '--json'], stdout=subprocess.PIPE, text=True)
        peak_rss_mb = 0
        while load.poll() is None:
            peak_rss_mb = max(peak_rss_mb, self.rss_mb())
            time.sleep(0.1)
        report = json.loads(load.stdout.read())
        report['daemon_cpu_share'] = (self.cpu_s() - cpu) / (time.monotonic() - started)
        report['daemon_rss_mb'] = peak_rss_mb
        return report

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()
        shutil.rmtree(self.dir)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--threads', type=int, default=2)
    parser.add_argument('--seconds', type=int, default=4)
    options = parser.parse_args()
    deployment = Deployment(options.threads)
    try:
        print(f'load average {os.getloadavg()[0]:.1f}, {options.threads} traffic threads')
        print(f'start to first answer: {deployment.first_answer_s:.2f} s')
        via_daemon = [deployment.daemon_address]
        for rate in (1000, 2500, 5000):
            for name, targets in (('direct', deployment.engines), ('daemon', via_daemon)):
                print(f'{rate} short requests/s, {name}:',
                      format_report(deployment.run_load(targets, rate, options.seconds, 1, False)))
        for streams in (500, 2000):
            # 400 tokens at 100 tokens/s take 4 s, so rate x 4 s streams are open at the same time.
            for name, targets in (('direct', deployment.engines), ('daemon', via_daemon)):
                print(f'{streams} open streams at 100 tokens/s, {name}:',
                      format_report(deployment.run_load(targets, streams / 4, 8, 400, True)))
    finally:
        deployment.stop()


def format_report(report):
    return json.dumps(report)


main()
