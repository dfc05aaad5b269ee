Feature: HTTP server

  A caller receives its complete response, or an error that shows that the
  response is incomplete. If the server itself refuses a request, the response
  has the correct verdict. The limits in these scenarios are a header of 2,000
  bytes that arrives within 1 s, pauses of 2 s in a body, 5 s for an idle
  connection, and three connections.

  Scenario Outline: a request that violates a rule is refused and does not run
    The caller receives one response with a verdict, and the connection is
    closed, because the start of a next request can't be found reliably. The
    head is checked before the handler is called. The body is checked while the
    handler reads it.

    Given an HTTP handler that echoes
    When HTTP callers run this script
      """
      a sends <request>
      wait 4000
      """
    Then the HTTP notes are
      """
      <at> a got <status> not-run closing
      <at> a closed
      """

    Examples:
      | status | at  | request |
      | 400    | 0.0 | \x16\x03\x01 hello\r\n\r\n |
      | 400    | 0.0 | GET / HTTP/1.1\r\n\r\n |
      | 400    | 0.0 | GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n |
      | 400    | 0.0 | GET / HTTP/1.1\r\nHost: a\r\nX: b\rY: c\r\n\r\n |
      | 400    | 0.0 | GET echo HTTP/1.1\r\nHost: a\r\n\r\n |
      | 400    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc |
      | 400    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | 501    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n |
      | 400    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n\r\n |
      | 413    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n |
      | 413    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n(a x 1001) |
      | 414    | 0.0 | GET /(a x 3000) |
      | 414    | 0.0 | GET /(a x 3000) HTTP/1.1\r\nHost: a\r\n\r\n |
      | 417    | 0.0 | POST / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\nContent-Length: 1\r\n\r\n |
      | 431    | 0.0 | GET / HTTP/1.1\r\nHost: a\r\nX: (a x 3000) |
      | 431    | 0.0 | GET / HTTP/1.1\r\nHost: a\r\nX: (a x 3000)\r\n\r\n |
      | 501    | 0.0 | CONNECT /a HTTP/1.1\r\nHost: a\r\n\r\n |
      | 505    | 0.0 | GET / HTTP/3.0\r\nHost: a\r\n\r\n |
      | 408    | 1.0 | GET / HTTP/1.1\r\nHost |
      | 408    | 2.0 | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab |

  Scenario: a slow caller doesn't delay other callers
    One caller sends a byte of its header every 200 ms. Each pause is short, but
    the complete header takes too long, so the caller gets a 408 and its
    connection is closed. The requests of another caller are answered at once
    before and after that.

    Given an HTTP handler that echoes
    When HTTP callers run this script
      """
      a trickles GET /a HTTP/1.1\r\nHost: a\r\n\r\n
      wait 500
      b sends GET /one HTTP/1.1\r\nHost: b\r\n\r\n
      wait 700
      b sends GET /two HTTP/1.1\r\nHost: b\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      0.5 ran /one
      0.5 b got 200 /one
      1.0 a got 408 not-run closing
      1.0 a closed
      1.2 ran /two
      1.2 b got 200 /two
      """

  Scenario: connections above the limit are refused
    Three connections are open, which is the limit. The fourth caller gets a
    503 with the verdict not-run and a close; its request is not read. After
    one of the three callers closes, a new connection is served.

    Given an HTTP handler that echoes
    When HTTP callers run this script
      """
      a connects
      b connects
      c connects
      wait 100
      d sends GET /d HTTP/1.1\r\nHost: a\r\n\r\n
      wait 100
      a closes
      wait 100
      e sends GET /e HTTP/1.1\r\nHost: a\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      0.1 d got 503 not-run retry 1 closing
      0.1 d closed
      0.3 ran /e
      0.3 e got 200 /e
      """

  Scenario: a request whose handler raises an error may have run
    The caller gets a 500 with the verdict may-have-run, because it is unknown
    how far the handler got. The connection stays open for the next request.
    The same response is sent if a task inside the handler was cancelled, and
    not the handler itself.

    Given an HTTP handler that raises, is cancelled inside, and echoes
    When HTTP callers run this script
      """
      a sends GET /one HTTP/1.1\r\nHost: a\r\n\r\n
      a sends GET /two HTTP/1.1\r\nHost: a\r\n\r\n
      a sends GET /three HTTP/1.1\r\nHost: a\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      0.0 a got 500 may-have-run
      0.0 a got 500 may-have-run
      0.0 ran /three
      0.0 a got 200 /three
      """

  Scenario: a response header can't smuggle a second response
    A header value of an upstream contains a line break and a second response.
    The caller gets one 500 instead of two responses to one request.

    Given an HTTP handler that returns a line break in a header
    When HTTP callers run this script
      """
      a sends GET / HTTP/1.1\r\nHost: a\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      0.0 a got 500 may-have-run
      """

  Scenario Outline: a truncated response is not treated as complete
    The streamed body of the handler raises an error halfway. The caller sees
    a close without the last chunk, or without any response, so its HTTP
    library reports an error. In HTTP/1.0 only the close marks the end of a
    streamed body. For such callers the server collects the complete body
    first, and declares its length if there was no error.

    Given an HTTP handler that streams a piece and <then>
    When HTTP callers run this script
      """
      a sends GET / HTTP/<version>\r\nHost: a\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      <first>
      <second>
      """

    Examples:
      | version | then   | first                       | second                 |
      | 1.1     | raises | 0.0 raising                 | 0.0 a closed on a part |
      | 1.0     | raises | 0.0 raising                 | 0.0 a closed           |
      | 1.0     | ends   | 0.0 a got 200 piece closing | 0.0 a closed           |

  Scenario: a handler is cancelled when its caller disconnects
    The caller closes the connection while the handler waits. The handler is
    cancelled at once, before any attempt to write. A pipelined second request
    does not count as a close.

    Given an HTTP handler that waits
    When HTTP callers run this script
      """
      a sends GET /one HTTP/1.1\r\nHost: a\r\n\r\n
      wait 500
      a sends GET /two HTTP/1.1\r\nHost: a\r\n\r\n
      wait 1000
      a closes
      wait 1000
      """
    Then the HTTP notes are
      """
      0.0 ran /one
      1.5 cancelled
      """

  Scenario: a streamed body is closed when its caller disconnects
    The caller closes the connection in the middle of a stream. The server
    closes the body, so that the upstream that produces it can stop.

    Given an HTTP handler that streams a piece and waits
    When HTTP callers run this script
      """
      a sends GET / HTTP/1.1\r\nHost: a\r\n\r\n
      wait 1000
      a closes
      wait 1000
      """
    Then the HTTP notes are
      """
      1.0 body closed
      """

  Scenario: a handler sees that a body is incomplete before it is cancelled
    The caller closes the connection halfway through its own body while the
    handler waits for more. The handler first gets a BodyBrokenError. It is
    cancelled at its next wait, so that it does not continue without a caller.

    Given an HTTP handler that reads piece by piece and then waits
    When HTTP callers run this script
      """
      a sends POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf
      wait 1000
      a closes
      wait 1000
      """
    Then the HTTP notes are
      """
      0.0 read half
      1.0 read no whole body
      1.0 then cancelled
      """

  Scenario: a request that was acted on is not refused for a slow body
    Guards against 408, which promises that a request has not run.

    Given an HTTP handler that acts on each piece
    When HTTP callers run this script
      """
      a sends POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhalf
      wait 4000
      """
    Then the HTTP notes are
      """
      0.0 read half
      2.0 a got 504 may-have-run closing
      2.0 a closed
      """

  Scenario: a caller that doesn't read is disconnected
    A caller requests an endless stream and reads nothing. The server reads
    no more of the body than fits into the socket's buffers. It waits for the
    body timeout and resets the connection.

    Given an HTTP handler that streams without end
    When HTTP callers run this script
      """
      a stops reading
      a sends GET / HTTP/1.1\r\nHost: a\r\n\r\n
      wait 1900
      count
      wait 300
      count
      """
    Then the HTTP notes are
      """
      1.9 1 open
      2.0 body closed
      2.2 0 open
      """
    And the HTTP handler's stream yielded less than 400000 bytes

  Scenario: a caller that doesn't read its last response is disconnected
    The response fits into the socket's buffers, so its last write succeeds at
    once. The caller never reads the response. The server waits no longer than
    the body timeout, and resets the connection.

    Given an HTTP handler that returns 120 kB
    When HTTP callers run this script
      """
      a stops reading
      a sends GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n
      wait 1900
      count
      wait 200
      count
      """
    Then the HTTP notes are
      """
      1.9 1 open
      2.1 0 open
      """

  Scenario: a caller that slowly sends a body that is not read is disconnected
    The handler responds without reading the body. To reuse the connection,
    the server discards a short rest of the body for up to a second. It then
    closes its own side, and the caller has another second to read the
    response.

    Given an HTTP handler that answers without reading
    When HTTP callers run this script
      """
      a sends POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n
      a trickles (x x 12)
      wait 1900
      count
      wait 200
      count
      """
    Then the HTTP notes are
      """
      0.0 a got 200
      1.0 a closed
      1.9 1 open
      2.1 0 open
      """

  Scenario: 100 Continue is sent when the handler reads the body
    Callers wait for the status 100 before they send their body. The first
    caller gets it when the handler reads the body, after a second. The second
    caller gets the response of a handler that did not read the body. Its
    connection is closed, because the body may or may not follow.

    Given an HTTP handler that waits 1 s and refuses or echoes
    When HTTP callers run this script
      """
      a sends POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n
      b sends POST /refuse HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n
      wait 1500
      a sends abc
      wait 500
      """
    Then the HTTP notes are
      """
      1.0 a got 100
      1.0 b got 403 closing
      1.0 b closed
      1.5 ran /a
      1.5 a got 200 /aabc
      """

  Scenario: HEAD has no body and keeps the connection
    Given an HTTP handler that echoes
    When HTTP callers run this script
      """
      a sends HEAD /one HTTP/1.1\r\nHost: a\r\n\r\n
      a sends GET /two HTTP/1.1\r\nHost: a\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      0.0 ran /one
      0.0 a got 200 length without body
      0.0 ran /two
      0.0 a got 200 /two
      """

  Scenario: hop-by-hop header fields are not forwarded
    Given an HTTP handler that returns hop-by-hop fields
    When HTTP callers run this script
      """
      a sends GET / HTTP/1.1\r\nHost: a\r\nConnection: x-private\r\nX-Private: 1\r\nKeep-Alive: 5\r\nX-Public: 2\r\n\r\n
      wait 100
      """
    Then the HTTP notes are
      """
      0.0 ran with host x-public
      0.0 a got 200
      """
    And HTTP caller a got x-public, but neither x-private nor keep-alive

  Scenario: a graceful stop completes the requests in progress
    One caller is idle, one waits for its response, and one is halfway through
    its header. At the stop, the idle connection is closed at once. The other
    callers get complete responses that announce the close. The stop ends
    after the last response.

    Given an HTTP handler that waits 1 s and refuses or echoes
    When HTTP callers run this script
      """
      a connects
      b sends GET /b HTTP/1.1\r\nHost: a\r\n\r\n
      c sends GET /c
      wait 500
      stop
      wait 300
      c sends  HTTP/1.1\r\nHost: a\r\n\r\n
      wait 1500
      """
    Then the HTTP notes are
      """
      0.5 a closed
      1.0 ran /b
      1.0 b got 200 /b closing
      1.0 b closed
      1.8 ran /c
      1.8 c got 200 /c closing
      1.8 c closed
      1.8 stopped
      """

  Scenario Outline: a request that arrives as the server stops is answered
    The bytes of the request have reached the kernel but not the process when
    the stop begins. A close of the seemingly idle connection would lose them.

    Given an HTTP handler that echoes
    When HTTP callers run this script
      """
      a connects
      wait 100
      <first>
      <second>
      <third>
      wait 100
      """
    Then the HTTP notes are
      """
      0.1 ran /a
      0.1 a got 200 /a closing
      0.1 a closed
      0.1 stopped
      """

    Examples:
      | first                                     | second                                    | third                                     |
      | a sends GET /a HTTP/1.1\r\nHost: a\r\n\r\n | stop                                      | turn 0                                    |
      | stop                                      | a sends GET /a HTTP/1.1\r\nHost: a\r\n\r\n | turn 0                                    |
      | stop                                      | turn 1                                    | a sends GET /a HTTP/1.1\r\nHost: a\r\n\r\n |
      | stop                                      | turn 2                                    | a sends GET /a HTTP/1.1\r\nHost: a\r\n\r\n |

  Scenario: a stop ends after the drain timeout
    A handler takes longer than the drain timeout. When the timeout is over,
    the handler is cancelled and its connection is closed.

    Given an HTTP handler that waits
    When HTTP callers run this script
      """
      a sends GET /a HTTP/1.1\r\nHost: a\r\n\r\n
      wait 1000
      stop
      wait 4500
      """
    Then the HTTP notes are
      """
      0.0 ran /a
      5.0 cancelled
      5.0 a closed
      5.0 stopped
      """
