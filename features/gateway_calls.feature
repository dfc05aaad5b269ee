Feature: plain calls at an entry

  Scenario: a call is answered by an upstream of its route's service
    Given a site for calls
    When a caller posts 2000 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream
    And the upstream got the method, path, body and id, and a shorter deadline

  Scenario: the longest prefix matches, and a missing route gives 404
    Given a site for calls
    When callers request /book/x, /bookings/x and /other/x
    Then the callers get 200, 404 and 404

  Scenario: no caller gets 404 before a manifest is known
    An entry that has just started knows no route. With 404 callers would not
    try again; 503 with a retry delay makes them retry.

    Given a site whose entry starts while the store refuses all calls
    Then the caller gets 503 with a retry delay
    And the entry is not ready until the store answers again

  Scenario: callers of a process that has just started wait for its listings
    All processes restart together. Calls that arrive at an entry some
    milliseconds before its first manifest are not refused: their one retry
    would find no other entry either.

    Given a site whose entry starts while the store takes 0.1 s per answer
    Then a call that arrives at once gets 200

  Scenario: a refusal by one upstream fails no call, not even one that runs once
    The first upstream is full and reports that it did not run the call. The
    call is sent to the second one, although its route allows one run only.

    Given a site for calls whose first upstream is full
    When a caller posts 10 bytes to /once/visit
    Then the caller gets 200 with the proof of an upstream

  Scenario: a call that may run once is not sent again after a broken response
    The upstream ran the call and its response breaks off. The entry does not
    know whether it ran, so the caller must not get a promise that it did not.

    Given a site for calls whose upstreams are broken
    When a caller posts 10 bytes to /once/visit
    Then the caller gets 504 since the call may have run
    And the call reached 1 upstream

  Scenario: a repeatable call is retried elsewhere after a broken response
    Given a site for calls whose first upstream is broken
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream

  Scenario: a repeatable call to a slow upstream is hedged
    Given a site for calls whose first upstream is slow
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream
    And the caller waited at most 200 ms

  Scenario: a call gets its response by the timeout of its route
    Both upstreams stop responding. The caller gets 504 at the timeout, not
    later.

    Given a site for calls whose upstreams are dark
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 504 since the call may have run
    And the caller waited at most 1500 ms

  Scenario: upstreams stop working for a caller that has disconnected
    Given a site for calls whose upstreams are slow
    When a caller disconnects 300 ms after it posted to /book/visit
    Then no upstream works on the call 50 ms later

  Scenario: the address of an upstream is used again by another one
    The registration of the earlier upstream still exists. The new one at its
    address replies that it is not the upstream that was meant, and does not
    run the call.

    Given a site for calls whose first upstream was replaced at its address
    When a caller posts 10 bytes to /once/visit
    Then the caller gets 200 with the proof of an upstream
    And the entry no longer knows the replaced upstream

  Scenario: a draining upstream gets no calls
    Given a site for calls whose first upstream is draining
    When a caller posts 10 bytes to /book/visit, 6 times
    Then the first upstream got none of them

  Scenario: a response that belongs to another call is not forwarded
    An upstream sends an extra response, which arrives in place of the
    response to the next call. Its request id shows that.

    Given a site for calls whose first upstream answers with another id
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream

  Scenario Outline: the refusal of another call does not refuse this one
    Guards against 503 for a call that an upstream has begun to run.

    Given a site for calls whose upstreams send a late <status> of another call
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 504 since the call may have run

    Examples:
      | status |
      | 503    |
      | 421    |

  Scenario: a planned stop cuts off no call
    A planned stop of the entry begins while a call is in progress. A caller
    that does not know of the stop sends another call a second later.

    Given a site for calls whose upstreams take 1 s
    When an entry begins to stop 0.2 s after a call on a long route
    Then that call and one that arrives 1 s later both get 200
    And the entry was not ready as soon as the stop began

  Scenario: a resumable stream continues at another upstream
    The first upstream breaks off in its sixth event. The caller receives
    each event once, in one response.

    Given a site for streams whose first engine breaks off after 5 events
    When a caller requests a stream of 12 events that may be resumed
    Then the caller gets events 1 to 12, each once, in a whole response

  Scenario: a stream runs at no more engines than its route allows
    Guards against engines that broke before the stream began and are not
    counted when it is resumed.

    Given a site for streams whose first engine resets and the others break off
    When a caller requests a stream that may run at 2 engines
    Then at most 2 engines got the request

  Scenario: a stream that may not be resumed breaks off for the caller too
    Given a site for streams whose first engine breaks off after 5 events
    When a caller requests a stream of 12 events that may not be resumed
    Then the response to the caller breaks off
