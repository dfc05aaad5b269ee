Feature: plain calls at an entry

  Scenario: a call is answered by an upstream of its route's service
    Given a site for calls
    When a caller posts 2000 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream
    And the upstream got the method, path, body, id and less time than asked

  Scenario: the longest prefix wins, and no route is 404
    Given a site for calls
    When callers ask for /book/x, /bookings/x and /other/x
    Then the callers get 200, 404 and 404

  Scenario: before a manifest is known nobody is told that a route is missing
    An entry that has just started knows no route. A 404 would send callers
    away for good; 503 with a time to come back does not.

    Given a site whose entry starts while the store is away
    Then the caller gets 503 with a time to come back
    And the entry is not ready, and ready once the store is back

  Scenario: callers of a process that has just started wait for its listings
    All processes start again together. Callers that come before an entry
    has its first manifest, some milliseconds later, are not refused: the
    one retry that they have would find no other entry either.

    Given a site whose entry starts while the store takes 0.1 s an answer
    Then a caller that comes at once gets 200

  Scenario: a refusing upstream costs nothing, whatever the kind of call
    One upstream is full and says that it ran nothing. The other one gets
    the call, also where a call may run only once.

    Given a site for calls whose first upstream is full
    When a caller posts 10 bytes to /once/visit
    Then the caller gets 200 with the proof of an upstream

  Scenario: a call that may run once is not sent again after a broken answer
    The upstream ran the call and its answer breaks off. Nobody can say
    whether it ran, so the caller is told nothing that promises it did not.

    Given a site for calls whose upstreams are broken
    When a caller posts 10 bytes to /once/visit
    Then the caller gets 504 without any promise
    And the call reached 1 upstream

  Scenario: a repeatable call goes to another upstream after a broken answer
    Given a site for calls whose first upstream is broken
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream

  Scenario: a slow upstream is not waited for where a second one may be asked
    Given a site for calls whose first upstream is slow
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream
    And the caller waited at most 200 ms

  Scenario: a call is answered by its route's timeout
    Both upstreams go dark. The caller is told at the timeout, not later.

    Given a site for calls whose upstreams are dark
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 504 without any promise
    And the caller waited at most 1500 ms

  Scenario: upstreams stop working for a caller that has left
    Given a site for calls whose upstreams are slow
    When a caller leaves 300 ms after it posted to /book/visit
    Then no upstream works half a second later

  Scenario: the address of an upstream is used again by another one
    The registration of the one before is still there. The newcomer says
    that it is not the one that was meant, and runs nothing.

    Given a site for calls whose first upstream was replaced at its address
    When a caller posts 10 bytes to /once/visit
    Then the caller gets 200 with the proof of an upstream
    And the replaced upstream is asked no more

  Scenario: a draining upstream gets no calls
    Given a site for calls whose first upstream is draining
    When a caller posts 10 bytes to /book/visit, 6 times
    Then the first upstream got none of them

  Scenario: an answer that belongs to another call is not passed on
    An upstream sends an extra answer, which comes where the answer to the
    next call is due. Its id tells.

    Given a site for calls whose first upstream answers with another id
    When a caller posts 10 bytes to /book/visit
    Then the caller gets 200 with the proof of an upstream

  Scenario: a planned stop cuts off no call
    The entry is asked to stop while a call is in progress, and a caller
    that does not know comes a second later.

    Given a site for calls whose upstreams take 1 s
    When an entry is asked to stop 0.2 s after a call on a long route
    Then the call is answered whole, and so is one that came 1 s later
    And the entry was not ready from the first moment on

  Scenario: a stream goes on at another upstream where it may be resumed
    The first upstream breaks off within its sixth event. The caller sees
    every event once, in one answer.

    Given a site whose streams break off after 5 events somewhere
    When a caller asks for a stream of 12 events that may be resumed
    Then the caller gets events 1 to 12, each once, and a whole answer

  Scenario: a stream that may not be resumed breaks off for the caller too
    Given a site whose streams break off after 5 events somewhere
    When a caller asks for a stream of 12 events that may not be resumed
    Then the caller sees the answer break off
