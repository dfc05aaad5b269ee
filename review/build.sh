#!/usr/bin/env bash
# The stand-ins of the scripts are plain Python without dependencies: checks
# that each file compiles, and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
[ -d target/deps ] || { echo 'target/deps is missing: build deploy/system.toml first'; exit 1; }
echo 'the stand-ins are ready'
