#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 and later: they are plain
# Python without libraries, so this only checks that all of them compile.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/standin2/*.py review/[4-8]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' "$file" "$folder/out.pyc"
done
[ -d target/deps ] || { echo 'target/deps is missing: run the build of deploy/system.toml first' >&2; exit 1; }
