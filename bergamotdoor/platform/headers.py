"""Header fields, paths and object kinds of the platform's protocol."""

from __future__ import annotations

from typing import Final

from bergamotdoor.fleet.loads import ToldLoad

_PREFIX: Final = 'x-bergamotdoor-'

REQUEST_ID: Final = f'{_PREFIX}request-id'
#: How long the client still waits, in milliseconds from receipt.
DEADLINE_MS: Final = f'{_PREFIX}deadline-ms'
#: Proof that an upstream made the answer.
STAMP: Final = f'{_PREFIX}server-stamp'
#: The upstream's registration; one of another name answers 421 and runs
#: nothing. One that started again under its name runs the request.
EXPECT_REGISTRATION: Final = f'{_PREFIX}expect-instance'
#: Present where the upstream did not run the request.
NOT_RUN: Final = f'{_PREFIX}not-executed'
#: Running requests, waiting requests and slots, with commas between.
LOAD: Final = f'{_PREFIX}server-load'
#: How long a call may be kept waiting for news, in milliseconds.
WAIT_MS: Final = f'{_PREFIX}wait-ms'
#: The version that generates, also as the first line of an event.
WEIGHT_VERSION: Final = f'{_PREFIX}weight-versions'
#: Tokens of the prompt and the most that may be generated, with a comma.
TOKEN_COUNT: Final = f'{_PREFIX}token-count'
#: The prompt, by its parts; engines read it by their ids.
PROMPT: Final = f'{_PREFIX}prompt-prefix'
#: The client's guess at the number of tokens to be generated.
LENGTH_HINT: Final = f'{_PREFIX}length-hint'
#: The client account, as upstreams are told.
ACCOUNT: Final = f'{_PREFIX}tenant'
DUTY_HOLDER: Final = f'{_PREFIX}duty-holder'
FENCING_TOKEN: Final = f'{_PREFIX}fence-token'
LAST_EVENT_ID: Final = 'last-event-id'
RETRY_AFTER: Final = 'retry-after'

RESULTS_PATH: Final = '/-/lots/'
BODY_PATH: Final = '/-/items/'
REPORT_PATH: Final = '/-/report'
ORDER_PATH: Final = '/-/order'
USAGE_PATH: Final = '/usage'
OBJECTS_PATH: Final = '/-/objects/'

#: Kinds that the operator, the upstreams and the trainers write.
MANIFEST_KIND: Final = 'config'
MANIFEST_NAME: Final = 'main'
UPSTREAM_KIND: Final = 'servers'
VERSION_KIND: Final = 'versions'
#: Storage VMs that are to be emptied.
EVACUATION_KIND: Final = 'retirements'

_LOAD_FIELDS: Final = 3


def parse_load(text: str) -> ToldLoad | None:
    """Read the load header; None if there is none."""
    numbers = [part for part in text.split(',') if part.strip().isdecimal()]
    if len(numbers) != _LOAD_FIELDS:
        return None
    return ToldLoad(*(int(number) for number in numbers))
