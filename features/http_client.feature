Feature: HTTP client

  A response that the client returns is complete and belongs to its own
  request. If there is no response, the client says whether any byte of the
  request may have been sent.

  Scenario Outline: a truncated response is not treated as complete
    The upstream crashes while it sends a response, and its operating system
    closes the connection in order. The client compares the received body
    with the length that the head declares. It refuses a head that declares
    no length, or declares it in two ways.

    Given an HTTP upstream that answers with <response>
    Then the HTTP client gets <outcome>

    Examples:
      | outcome  | response |
      | 200 body | HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody |
      | 200 body | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n |
      | 200 body | HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody |
      | broken   | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody |
      | broken   | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n |
      | broken   | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n |
      | sent     | HTTP/1.1 200 OK\r\n\r\nbody |
      | sent     | HTTP/1.0 200 OK\r\n\r\nbody |
      | sent     | HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n |
      | sent     | HTTP/1.1 200 OK\r\nContent-Le |
      | sent     | 220 mail ready\r\n |

  Scenario Outline: a body that becomes invalid is not treated as complete
    Guards against a truncated body that is passed on as a whole one.

    Given an HTTP upstream that answers with <response>
    Then the HTTP client gets <outcome>

    Examples:
      | outcome  | response |
      | broken   | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nbytes\r\n |
      | broken   | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nHTTP/1.1 200 OK\r\n\r\n |
      | broken   | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyextra\r\n0\r\n\r\n |
      | broken   | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbytes\r\n |

  Scenario: a request is reported as not sent only if no byte was sent
    The upstream reads the first request and closes. It also reads the second
    one, but sends nothing until the timeout of 3 s. Both requests may have
    arrived. The last request has no time left, so it is not sent, although
    there is an idle connection.

    Given HTTP connections to an upstream that closes, then is silent, then answers all
    When the HTTP client sends, then sends, then sends, then sends with no time left
    Then the HTTP outcomes are
      """
      0.0 sent; 0 idle
      3.5 sent; 0 idle
      4.0 200 body; 1 idle
      4.5 not sent; 1 idle
      """
    And an HTTP request to an address where nothing listens is not sent

  Scenario: a request that must not run twice is not sent on an idle connection
    The idle connection is silent, because a device on the network path lost
    its connection state. A booking that is written to it would not be
    answered, and it would be unknown whether it ran. It is therefore sent on
    a new connection.

    Given HTTP connections to an upstream that answers once and goes silent
    When the HTTP client sends, then sends at most once
    Then the HTTP outcomes are
      """
      0.0 200 body; 1 idle
      0.5 200 body; 2 idle
      """

  Scenario: several silent connections cost one timeout in all
    Several idle connections are silent. The first request on one of them
    times out. The client then closes the others, and the next request is
    answered at once on a new connection.

    Given HTTP connections to an upstream that answers once and goes silent
    When the HTTP client sends three at once, then sends, then sends
    Then the HTTP outcomes are
      """
      0.0 200 body, 200 body, 200 body; 3 idle
      3.5 sent; 0 idle
      4.0 200 body; 1 idle
      """

  Scenario Outline: a stale idle connection is not reused
    Either the upstream has closed the connection, or a faulty upstream has
    sent a second response to one request. The next caller on that connection
    would receive the second response in place of its own.

    Given HTTP connections to an upstream that <does>
    When the HTTP client sends, then sends
    Then the HTTP outcomes are
      """
      0.0 200 body; 1 idle
      0.5 200 body; 1 idle
      """
    And the HTTP upstream saw 2 connections

    Examples:
      | does                      |
      | answers and closes        |
      | answers one request twice |

  Scenario: abandoning a response closes the connection to the upstream
    A response is abandoned if its caller has disconnected or another attempt
    has succeeded. In the three cases here, the body is closed after its first
    piece, the wait for the head is cancelled, or the next piece does not
    arrive in time. Each time the client resets the connection, so that the
    upstream can stop its work, and does not reuse it.

    Then the HTTP upstream sees a close when a response is abandoned

  Scenario: a response that arrives during a long upload is delivered
    The upstream refuses a large body and stops reading. The first connection
    closes at once, so that the upload fails. The second one blocks the
    upload for longer than the timeout, while the response arrives in pieces.
    Both times the caller receives the complete refusal and no connection
    error.

    Given HTTP connections to an upstream that refuses and closes, then refuses slowly
    When the HTTP client uploads, then uploads
    Then the HTTP outcomes are
      """
      0.0 413 body; 0 idle
      4.5 413 body; 0 idle
      """

  Scenario: a truncated request body is not sent as complete
    The caller disconnects halfway through its upload. The upstream sees a
    reset of the connection, and never the end of the body.

    Then the HTTP upstream sees no end of an incomplete upload

  Scenario: idle connections close after the idle timeout
    Given HTTP connections to an upstream that answers all
    When the HTTP client sends, then waits 5 s
    Then the HTTP outcomes are
      """
      0.0 200 body; 1 idle
      5.5 waited; 0 idle
      """
