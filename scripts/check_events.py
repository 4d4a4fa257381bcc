#!/usr/bin/env python3
"""Checks that docs/events.md and docs/errors.md match the tables in the code.

The tables are in src/base/event.cc and src/base/error.cc. With --write, regenerates both pages.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Entries of the C++ tables: the groups are the columns, in which the last may consist of several
# adjacent string literals.
EVENT_ENTRY = re.compile(r'\{EventId::k\w+,\s*(\d+),\s*"([a-z_0-9]+)",\s*((?:"[^"]*"\s*)+)\}')
ERROR_ENTRY = re.compile(
    r'\{ErrorKind::k\w+,\s*"([a-z_0-9]+)",\s*(\d+),\s*Run::k(\w+),\s*(\d+),\s*((?:"[^"]*"\s*)+)\}')


# Concatenates adjacent C++ string literals.
def join_literals(literals):
    return ''.join(re.findall(r'"([^"]*)"', literals))


# Converts CamelCase to snake_case.
def to_snake_case(name):
    return re.sub(r'(?<!^)([A-Z])', r'_\1', name).lower()


# Returns the content of docs/events.md.
def events_page():
    text = (ROOT / 'src/base/event.cc').read_text()
    rows = sorted((int(n), name, join_literals(meaning))
                  for n, name, meaning in EVENT_ENTRY.findall(text))
    lines = ['# Log events', '',
             'Each log line is one JSON object: `event` (number), `name`, `hlc`, `daemon` and the fields',
             'of the event. `scripts/check_events.py --write` writes this page from the code; CI',
             'compares the two.', '', '| Number | Name | Meaning and fields |', '| --- | --- | --- |']
    lines += [f'| {n} | `{name}` | {meaning} |' for n, name, meaning in rows]
    numbers = [row[0] for row in rows]
    if len(set(numbers)) != len(numbers):
        sys.exit('src/base/event.cc: two events have the same number')
    return '\n'.join(lines) + '\n'


# Returns the content of docs/errors.md.
def errors_page():
    text = (ROOT / 'src/base/error.cc').read_text()
    lines = ['# Errors', '',
             'Every refusal and failure has one kind. `run` says whether the work ran: `not_run` is said',
             'only when nothing was dispatched or the backend server confirmed that it never started.',
             'A retry time of 0 ms means that repeating the same request does not help.', '',
             '| Code | HTTP status | `run` | Retry after (ms) | Meaning |', '| --- | --- | --- | --- | --- |']
    for code, status, run, retry, meaning in ERROR_ENTRY.findall(text):
        lines.append(f'| `{code}` | {status} | `{to_snake_case(run)}` | {retry} | {join_literals(meaning)} |')
    return '\n'.join(lines) + '\n'


def main():
    outdated = False
    for path, expected in ((ROOT / 'docs/events.md', events_page()),
                           (ROOT / 'docs/errors.md', errors_page())):
        if '--write' in sys.argv:
            path.write_text(expected)
        elif not path.exists() or path.read_text() != expected:
            print(f'docs/{path.name} differs from the code; run scripts/check_events.py --write')
            outdated = True
    sys.exit(1 if outdated else 0)


main()
