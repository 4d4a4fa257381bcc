#!/usr/bin/env python3
"""Checks that docs/events.md and docs/errors.md list exactly what the code defines.

With --write, rewrites the two catalogues from the tables in src/base/event.cc and src/base/error.cc.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

EVENT = re.compile(r'\{EventId::k\w+,\s*(\d+),\s*"([a-z_0-9]+)",\s*((?:"[^"]*"\s*)+)\}')
ERROR = re.compile(
    r'\{ErrorKind::k\w+,\s*"([a-z_0-9]+)",\s*(\d+),\s*Run::k(\w+),\s*(\d+),\s*((?:"[^"]*"\s*)+)\}')


def joined(literals):
    return ''.join(re.findall(r'"([^"]*)"', literals))


def snake(name):
    return re.sub(r'(?<!^)([A-Z])', r'_\1', name).lower()


def events():
    text = (ROOT / 'src/base/event.cc').read_text()
    rows = sorted((int(n), name, joined(text_)) for n, name, text_ in EVENT.findall(text))
    lines = ['# Log events', '',
             'Each log line is one JSON object: `event` (number), `name`, `hlc`, `daemon` and the fields',
             'of the event. `scripts/check_events.py --write` writes this page from the code; CI',
             'compares the two.', '', '| Number | Name | Meaning and fields |', '| --- | --- | --- |']
    lines += [f'| {n} | `{name}` | {text_} |' for n, name, text_ in rows]
    numbers = [row[0] for row in rows]
    if len(set(numbers)) != len(numbers):
        sys.exit('src/base/event.cc: an event number is used twice')
    return '\n'.join(lines) + '\n'


def errors():
    text = (ROOT / 'src/base/error.cc').read_text()
    lines = ['# Errors', '',
             'Every refusal and failure has one kind. `run` says whether the work ran: `not_run` is said',
             'only when nothing was dispatched or the backend server confirmed that it never started.',
             'A retry time of 0 ms means that repeating the same request does not help.', '',
             '| Code | HTTP status | `run` | Retry after (ms) | Meaning |', '| --- | --- | --- | --- | --- |']
    for code, status, run, retry, text_ in ERROR.findall(text):
        lines.append(f'| `{code}` | {status} | `{snake(run)}` | {retry} | {joined(text_)} |')
    return '\n'.join(lines) + '\n'


def main():
    failed = False
    for path, want in ((ROOT / 'docs/events.md', events()), (ROOT / 'docs/errors.md', errors())):
        if '--write' in sys.argv:
            path.write_text(want)
        elif not path.exists() or path.read_text() != want:
            print(f'{path.name} differs from the code; run scripts/check_events.py --write')
            failed = True
    sys.exit(1 if failed else 0)


main()
