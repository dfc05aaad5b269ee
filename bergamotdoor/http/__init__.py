"""HTTP/1.1 server and client on asyncio, with h11 as the parser."""

from __future__ import annotations

from bergamotdoor.http._bodies import close_body
from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.failures import failure_response, json_response
from bergamotdoor.http.headers import end_to_end
from bergamotdoor.http.server import HttpServer, ServerState

__all__ = (
    'HttpClient',
    'HttpServer',
    'ServerState',
    'close_body',
    'end_to_end',
    'failure_response',
    'json_response',
)
