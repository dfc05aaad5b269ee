"""Switch off one safeguard at a time, and print what a soak then breaks.

``python -m tools.soak_mutations [WORD...]`` plays the soaks in `RUNS` for each
mutation whose safeguard sentence contains one of the words, or for all
mutations if no word is given. It prints the promises that were broken.
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

#: Soaks that are played in parallel; each plays two seeds in parallel.
_PARALLEL_SOAKS: Final = 2
_SOAK_TIMEOUT_S: Final = 240
#: Arguments of the soaks that are played for each mutation.
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
    (
        '--seeds=9501-9508',
        '--seconds=10',
        '--faults=lost-writes',
        '--jobs=2',
    ),
    (
        '--seeds=8001,8002',
        '--seconds=20',
        '--faults=contact',
        '--jobs=2',
    ),
)
#: Mutations that no feature detects: their fault shows only while a job has
#: two owners.
OWNER_MUTATIONS: Final = (
    Mutation(
        'the record stored under a number is used, not the own one',
        'objects/job_store.py',
        'if isinstance(outcome, StoredObject):\n            return record\n'
        '        if isinstance(outcome, Outcome):',
        'if isinstance(outcome, (StoredObject, Conflict)):\n'
        '            return record\n'
        '        if isinstance(outcome, Outcome):',
        '',
    ),
    Mutation(
        'a job whose run is stopped has not ended',
        'steps/job_run.py',
        'self.state = RunState.STOPPED',
        'self.state = RunState.ENDED',
        '',
    ),
)


def broken_promises(mutation: Mutation, run: tuple[str, ...]) -> str:
    """Return the promises that a soak breaks with a safeguard off.

    Parameters
    ----------
    mutation
        The change that switches off the safeguard.
    run
        Arguments of the soak.

    Returns
    -------
    str
        Names of the broken promises, empty if there are none; another text if
        the soak has not ended in time.
    """
    with tempfile.TemporaryDirectory(prefix='mutation-') as folder:
        root = pathlib.Path(folder)
        write_mutated(mutation, root)
        results_path = root / 'found.json'
        command = (
            sys.executable,
            '-m',
            'lab',
            'soak',
            f'--json={results_path}',
            *run,
        )
        environment = {**os.environ, 'PYTHONPATH': str(root)}
        with subprocess.Popen(
            command, cwd=root, env=environment, stdout=subprocess.DEVNULL
        ) as soak:
            try:
                soak.wait(_SOAK_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                # On SIGINT, the soak ends the processes that it started.
                soak.send_signal(signal.SIGINT)
        if not results_path.exists():
            return 'no end in time, or an error'
        outcomes = json.loads(results_path.read_text())
    lines = [line for outcome in outcomes for line in outcome['broken']]
    return ' '.join(sorted({line.partition(':')[0] for line in lines}))


def main(words: list[str]) -> int:
    """Play all soaks; print the broken promises of each."""
    chosen = [
        mutation
        for mutation in (*OWNER_MUTATIONS, *MUTATIONS)
        if not words or any(word in mutation.safeguard for word in words)
    ]
    with ThreadPoolExecutor(_PARALLEL_SOAKS) as pool:
        pairs = [(mutation, run) for mutation in chosen for run in RUNS]
        results = pool.map(broken_promises, *zip(*pairs, strict=True))
        for (mutation, run), broken in zip(pairs, results, strict=True):
            cells = (mutation.safeguard, run[2], broken or 'not noticed')
            print('; '.join(cells), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
