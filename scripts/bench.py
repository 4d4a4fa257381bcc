#!/usr/bin/env python3
"""Speed and memory of one daemon, compared with calling its backend servers directly.

Starts one daemon and several engine stand-ins on loopback and sends bounded loads by
`ebonylift load`. Every comparison is made in one run, because the machine may be busy.
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
TOKEN, PLATFORM, KEY = 'operator', 'platform', 'team-key'
ENGINES = 4


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Deployment:
    def __init__(self, threads):
        self.dir = tempfile.mkdtemp(prefix='ebonylift-bench-')
        self.processes = []
        self.http = f'127.0.0.1:{free_port()}'
        started = time.monotonic()
        self.daemon = self.start('ebonylift', [
            'serve', '--host=h1', '--region=r1', '--domain=d1', f'--http_address={self.http}',
            f'--peer_address=127.0.0.1:{free_port()}', '--voters=h1', f'--data_dir={self.dir}/data',
            '--cluster_key=cluster-key-of-the-bench', f'--platform_token={PLATFORM}',
            f'--operator_token_sha256={hashlib.sha256(TOKEN.encode()).hexdigest()}',
            f'--traffic_threads={threads}'])
        self.engines = []
        for i in range(ENGINES):
            address = f'127.0.0.1:{free_port()}'
            self.engines.append(address)
            self.start('ebonylift-standin', [
                'engine', f'--id=e{i}', '--incarnation=1', '--domain=d1', '--region=r1',
                f'--listen={address}', f'--advertise={address}', f'--entry_hosts={self.http}',
                f'--platform_token={PLATFORM}', '--models=summary', '--slots=2000',
                '--prefill_us_per_token=0', '--decode_us_per_token=10000', '--slowdown_per_job=0'])
        self.configure()
        self.serving_after = time.monotonic() - started

    def start(self, binary, arguments):
        log = open(f'{self.dir}/{len(self.processes)}.log', 'w')
        process = subprocess.Popen([str(BUILD / binary)] + arguments, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def configure(self):
        values = {
            '/deployment/regions/r1': {'domains': ['d1'], 'record_hosts': ['h1']},
            '/teams/t/residency': {'regions': ['r1']},
            '/teams/t/keys/k': {'sha256': hashlib.sha256(KEY.encode()).hexdigest()},
            '/teams/t/routes/r': {'kind': 'model', 'model': 'summary', 'regions': ['r1'],
                                  'home': 'r1', 'class': 'interactive', 'idempotent': True,
                                  'deadline_ms': 60000}}
        for path, value in values.items():
            body = {'path': path, 'value': value, 'base_revision': 0, 'request_id': path}
            self.call('PUT', '/admin/v1/config', body, TOKEN)
        request = {'model': 'summary', 'max_tokens': 1,
                   'messages': [{'role': 'user', 'content': 'x'}]}
        self.call('POST', '/v1/chat/completions', request, KEY)

    def call(self, method, path, body, token, patience=20):
        deadline = time.monotonic() + patience
        while True:
            request = urllib.request.Request(
                f'http://{self.http}{path}', json.dumps(body).encode(), method=method,
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

    def cpu_s(self):
        fields = open(f'/proc/{self.daemon.pid}/stat').read().rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def load(self, targets, rate, seconds, tokens, stream):
        cpu = self.cpu_s()
        started = time.monotonic()
        load = subprocess.Popen(
            [str(BUILD / 'ebonylift'), 'load', f'--targets={",".join(targets)}',
             f'--team_key={KEY}', f'--rate={rate}', f'--duration_s={seconds}',
             f'--output_tokens={tokens}', f'--stream_percent={100 if stream else 0}',
             '--prompt_tokens=16', '--json'], stdout=subprocess.PIPE, text=True)
        peak = 0
        while load.poll() is None:
            peak = max(peak, self.rss_mb())
            time.sleep(0.1)
        report = json.loads(load.stdout.read())
        report['daemon_cpu_share'] = (self.cpu_s() - cpu) / (time.monotonic() - started)
        report['daemon_rss_mb'] = peak
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
        print(f'start to first answer: {deployment.serving_after:.2f} s')
        through = [deployment.http]
        for rate in (1000, 2500, 5000):
            for name, targets in (('direct', deployment.engines), ('daemon', through)):
                print(f'{rate} short requests/s, {name}:',
                      summary(deployment.load(targets, rate, options.seconds, 1, False)))
        for streams in (500, 2000):
            # Each stream lasts 4 s at 100 tokens/s, so rate x 4 s streams are open.
            for name, targets in (('direct', deployment.engines), ('daemon', through)):
                print(f'{streams} open streams at 100 tokens/s, {name}:',
                      summary(deployment.load(targets, streams / 4, 8, 400, True)))
    finally:
        deployment.stop()


def summary(report):
    return json.dumps(report)


main()
