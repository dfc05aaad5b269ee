Feature: upstreams that send bytes without end

  Scenario Outline: an upstream that sends <part> without end is cut off
    Guards against a connection that is read for ever, fills the memory or
    holds the event loop.

    Given an upstream that sends <part> without end
    When a request with a timeout of 1 s is sent on a <connection> connection
    Then it fails within 2 s, and the connection is closed
    And no more than 2 MB were taken, and the event loop was not held

    Examples: fast
      | part                   | connection |
      | a head                 | new        |
      | a head                 | kept       |
      | a status line          | new        |
      | no head                | new        |
      | no head                | kept       |
      | informational heads    | new        |
      | informational heads    | kept       |
      | a body with a length   | new        |
      | a body up to the close | new        |
      | a body up to the close | kept       |
      | chunks of one byte     | new        |
      | chunks of one byte     | kept       |
      | a chunk header         | new        |
      | trailers               | new        |
      | trailers               | kept       |

  Scenario Outline: an upstream that slowly sends <part> without end is cut off
    Guards against a timeout that each byte extends.

    Given an upstream that slowly sends <part> without end
    When a request with a timeout of 1 s is sent on a <connection> connection
    Then it fails within 2 s, and the connection is closed
    And no more than 2 MB were taken, and the event loop was not held

    Examples: slow
      | part                   | connection |
      | a head                 | new        |
      | informational heads    | kept       |
      | a body with a length   | kept       |
      | a body up to the close | new        |
      | chunks of one byte     | new        |
      | a chunk header         | kept       |
      | trailers               | new        |

  Scenario: bytes between two responses close the connection
    Guards against an idle connection that is kept while its upstream sends.

    Given an upstream that sends after a response without end
    When a request with a timeout of 1 s is answered on a new connection
    Then the connection is closed within 4 s, though no request is sent
    And no more than 2 MB were taken, and the event loop was not held

  Scenario Outline: <request> survives an upstream that sends <part> without end
    Guards against requests that wait for a broken upstream for longer than
    their own time, and against other requests that wait meanwhile.

    Given a site where one of two upstreams sends <part> without end
    When the site gets <request>
    Then it is answered as <outcome>, within its time
    And no connection to the broken upstream is left open
    And no more than 9 MB were taken, and the event loop was not held

    Examples: calls
      | request                     | part                 | outcome  |
      | a safe call                 | a head               | success  |
      | a safe call                 | informational heads  | success  |
      | a safe call                 | chunks of one byte   | success  |
      | a call that may run once    | a head               | unclear  |
      | a call that may run once    | chunks of one byte   | unclear  |
      | a call that may run once    | trailers             | unclear  |
      | a stream                    | a head               | unclear  |
      | a stream                    | chunks of one byte   | cut off  |
      | a stream                    | trailers             | cut off  |
      | a stream that may resume    | informational heads  | success  |
      | a stream that may resume    | events of one byte   | success  |
      | a stream that may resume    | a chunk header       | success  |

    Examples: items
      | request                     | part                 | outcome  |
      | an item                     | a head               | success  |
      | an item                     | informational heads  | success  |
      | an item                     | a body with a length | success  |
      | an item                     | chunks of one byte   | success  |
      | an item                     | events of one byte   | success  |
      | an item                     | trailers             | success  |
      | an item with a score call   | chunks of one byte   | success  |
      | an item with a score call   | trailers             | success  |

  Scenario: a long response that never ends is cut off at the call's time limit
    Guards against a response that is passed on for as long as it lasts.

    Given a site where one of two upstreams sends a body with a length without end
    When the site gets a call that may run once
    Then it is answered as cut off, within its time
    And no connection to the broken upstream is left open
    And the event loop was not held

  Scenario Outline: <call> ends though the other side sends <part> without end
    Guards against calls between processes that wait for ever.

    Given a server that sends <part> without end
    When the endless server gets <call>
    Then the call fails within its time, and the connection is closed
    And no more than 34 MB were taken, and the event loop was not held

    Examples:
      | call                      | part                 |
      | a call to the store       | a head               |
      | a call to the store       | a body with a length |
      | a call to the store       | chunks of one byte   |
      | a watch of the store      | informational heads  |
      | a watch of the store      | chunks of one byte   |
      | a message to an entry     | a head               |
      | a message to an entry     | chunks of one byte   |
      | a message to an entry     | trailers             |
      | a request for the report  | chunks of one byte   |
      | an order to an engine     | a chunk header       |
      | a usage report            | a body with a length |
      | a usage report            | chunks of one byte   |

  Scenario: a caller that sends chunks of one byte does not hold the event loop
    Guards against other callers that wait while one body is parsed.

    Given a caller that sends a body in 60000 chunks of one byte
    When the server reads the body
    Then the body is whole, and the event loop was not held
