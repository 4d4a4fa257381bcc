#!/usr/bin/env python3
"""Prints one line `FILE KEY` per source file; scripts/lint uses KEY to cache clang-tidy results.

The key is a hash of the file, the project headers that it includes and .clang-tidy. The includes
are those that ninja recorded in the last build.

Usage: lint_keys.py BUILD_DIR FILE...
"""
import hashlib
import os
import subprocess
import sys


def recorded_dependencies(build_dir, root):
    """Maps each source file to the project files on which its object file depends."""
    output = subprocess.run(['ninja', '-C', build_dir, '-t', 'deps'], capture_output=True,
                            text=True, check=True).stdout
    dependencies = {}
    for block in output.split('\n\n'):
        lines = [line.strip() for line in block.splitlines()[1:]]
        paths = [os.path.relpath(os.path.join(build_dir, line), root) for line in lines if line]
        project_paths = [path for path in paths
                         if not path.startswith('..') and not path.startswith('usr')]
        if project_paths:
            dependencies.setdefault(project_paths[0], set()).update(project_paths)
    return dependencies


# Hashes the names and contents of the files.
def content_hash(paths):
    hasher = hashlib.sha256()
    for path in sorted(paths):
        hasher.update(path.encode())
        if os.path.exists(path):
            with open(path, 'rb') as file:
                hasher.update(hashlib.sha256(file.read()).digest())
    return hasher.hexdigest()[:32]


def main():
    build_dir, files = sys.argv[1], sys.argv[2:]
    dependencies = recorded_dependencies(build_dir, os.getcwd())
    for file in files:
        deps = dependencies.get(file)
        if deps is None:  # not built yet, so it may include any header
            deps = {file} | {path for paths in dependencies.values() for path in paths}
        print(file, content_hash(deps | {'.clang-tidy'}))


main()
