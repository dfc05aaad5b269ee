"""Switches safeguards off and tells which promises a soak then breaks.

``python -m tools.soak_mutations [WORD...]`` plays the runs of `RUNS` for each
mutation whose safeguard has one of the words in it, or for all.
"""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from tools.mutations import MUTATIONS, Mutation, write_mutated

#: Runs at a time; each plays two seeds beside each other.
_JOBS: Final = 2
_TIMEOUT_S: Final = 240
RUNS: Final = (
    ('--seeds=5001,5011', '--seconds=12', '--faults=random', '--jobs=2'),
    (
        '--seeds=5002,5003',
        '--seconds=20',
        '--faults=aimed',
        '--jobs=2',
        '--entries=4',
        '--groups=6',
    ),
)
#: Those that two owners of one step bring to light, and no feature.
OWNER_MUTATIONS: Final = (
    Mutation(
        'the record that has a number is taken, not the own one',
        'objects/job_store.py',
        'if isinstance(outcome, StoredObject):\n            return record\n'
        '        if isinstance(outcome, Outcome):',
        'if isinstance(outcome, (StoredObject, Conflict)):\n'
        '            return record\n'
        '        if isinstance(outcome, Outcome):',
        '',
    ),
    Mutation(
        'a stopped run is not an ended one',
        'steps/job_run.py',
        'self.state = RunState.STOPPED',
        'self.state = RunState.ENDED',
        '',
    ),
)


def broken_promises(mutation: Mutation, run: tuple[str, ...]) -> str:
    """Return the promises that a run breaks, or why it did not end."""
    with tempfile.TemporaryDirectory(prefix='mutation-') as folder:
        root = pathlib.Path(folder)
        write_mutated(mutation, root)
        found = root / 'found.json'
        command = (sys.executable, '-m', 'lab', 'soak', f'--json={found}', *run)
        environment = {**os.environ, 'PYTHONPATH': str(root)}
        with subprocess.Popen(
            command, cwd=root, env=environment, stdout=subprocess.DEVNULL
        ) as soak:
            try:
                soak.wait(_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                # It ends the processes that it started.
                soak.send_signal(signal.SIGINT)
        if not found.exists():
            return 'no end in time, or an error'
        outcomes = json.loads(found.read_text())
    lines = [line for outcome in outcomes for line in outcome['broken']]
    return ' '.join(sorted({line.partition(':')[0] for line in lines}))


def main(words: list[str]) -> int:
    """Play the runs; print what was broken."""
    chosen = [
        mutation
        for mutation in (*OWNER_MUTATIONS, *MUTATIONS)
        if not words or any(word in mutation.safeguard for word in words)
    ]
    with ThreadPoolExecutor(_JOBS) as pool:
        pairs = [(mutation, run) for mutation in chosen for run in RUNS]
        results = pool.map(broken_promises, *zip(*pairs, strict=True))
        for (mutation, run), broken in zip(pairs, results, strict=True):
            found = (mutation.safeguard, run[2], broken or 'not noticed')
            print('; '.join(found), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
