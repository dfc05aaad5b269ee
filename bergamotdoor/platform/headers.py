"""Header fields, paths and object kinds of the platform's protocol."""

from __future__ import annotations

from typing import Final

from bergamotdoor.fleet.known_load import ReportedLoad

_PREFIX: Final = 'x-bergamotdoor-'

REQUEST_ID: Final = f'{_PREFIX}request-id'
#: How long the client waits, in milliseconds from receipt of the request.
DEADLINE_MS: Final = f'{_PREFIX}deadline-ms'
#: Proof that an upstream produced the response.
STAMP: Final = f'{_PREFIX}server-stamp'
#: The registration to run the request. An upstream with another name returns
#: 421 and runs nothing; one restarted under the same name runs the request.
EXPECT_REGISTRATION: Final = f'{_PREFIX}expect-instance'
#: Present if the upstream did not run the request.
NOT_RUN: Final = f'{_PREFIX}not-executed'
#: The numbers of running requests, waiting requests and slots; with commas.
LOAD: Final = f'{_PREFIX}server-load'
#: How long a read of results may wait for new ones, in milliseconds.
WAIT_MS: Final = f'{_PREFIX}wait-ms'
#: The version that generates the text; also the first line of an event.
WEIGHT_VERSION: Final = f'{_PREFIX}weight-versions'
#: Prompt tokens and maximum of generated tokens, separated by a comma.
TOKEN_COUNT: Final = f'{_PREFIX}token-count'
#: The ids of the prompt's parts, by which engines read the prompt.
PROMPT: Final = f'{_PREFIX}prompt-prefix'
#: The client's estimate of the number of tokens to be generated.
LENGTH_HINT: Final = f'{_PREFIX}length-hint'
#: The client account, sent to upstreams.
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
#: Storage VMs that are to be evacuated.
EVACUATION_KIND: Final = 'retirements'

_LOAD_FIELD_COUNTS: Final = (3, 4)


def parse_load(text: str) -> ReportedLoad | None:
    """Decode the load header, with or without a pace; ``None`` if malformed."""
    numbers = [part for part in text.split(',') if part.strip().isdecimal()]
    if len(numbers) not in _LOAD_FIELD_COUNTS:
        return None
    return ReportedLoad(*(int(number) for number in numbers))
