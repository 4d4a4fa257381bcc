#!/usr/bin/env python3
"""Prints `file key` for each source file given: the key changes when the file, a project header it
includes, or the lint rules change. The includes are those that ninja recorded in the last build.

Usage: lint_keys.py BUILD_DIR FILE...
"""
import hashlib
import os
import subprocess
import sys


def recorded_headers(build, root):
    """Maps a source file to the project files that its object depends on."""
    output = subprocess.run(['ninja', '-C', build, '-t', 'deps'], capture_output=True, text=True,
                            check=True).stdout
    found = {}
    for block in output.split('\n\n'):
        lines = [line.strip() for line in block.splitlines()[1:]]
        paths = [os.path.relpath(os.path.join(build, line), root) for line in lines if line]
        own = [path for path in paths if not path.startswith('..') and not path.startswith('usr')]
        if own:
            found.setdefault(own[0], set()).update(own)
    return found


def digest(paths):
    hasher = hashlib.sha256()
    for path in sorted(paths):
        hasher.update(path.encode())
        if os.path.exists(path):
            with open(path, 'rb') as file:
                hasher.update(hashlib.sha256(file.read()).digest())
    return hasher.hexdigest()[:32]


def main():
    build, files = sys.argv[1], sys.argv[2:]
    headers = recorded_headers(build, os.getcwd())
    for file in files:
        deps = headers.get(file)
        if deps is None:  # not built, so it may depend on anything
            deps = {file} | {path for paths in headers.values() for path in paths}
        print(file, digest(deps | {'.clang-tidy'}))


main()
