Feature: calls wait for room at an entry

  Scenario: calls beyond the slots of a service wait, and all are answered
    Without a wait they are all sent at once, and the service refuses those
    for which it has no slot.

    Given a site with one service of 4 slots that takes 0.2 s for a call
    When 12 callers post at once
    Then each of the 12 callers gets 200
    And the service never ran more than 4 calls at a time

  Scenario: a call that cannot be answered in time is refused at once
    Its caller learns within milliseconds that the call did not run, and when
    to retry, and not at the end of its patience.

    Given a site with one service of 4 slots that takes 0.2 s for a call
    When 12 callers post at once, and then one that waits for 300 ms
    Then the last caller gets 503 within 20 ms and when to retry
    And the service never got its call

  Scenario: the call of a caller that has left is not sent
    A call for nobody takes a slot from another caller.

    Given a site with one service of 4 slots that takes 0.2 s for a call
    When 12 callers post at once, and the last 3 leave after 0.1 s
    Then the service got the calls of 9 callers
    And no call waits or is in flight afterwards

  Scenario: a call whose key is revoked while it waits does not run
    Given a site with one service of 4 slots that takes 0.2 s for a call
    When the key of the last of 8 callers is revoked while they wait
    Then the last caller gets 401
    And the service never got its call

  Scenario: a call whose route is removed while it waits does not run
    Given a site with one service of 4 slots that takes 0.2 s for a call
    When the route of the last of 8 callers is removed while they wait
    Then the last caller gets 404
    And the service never got its call

  Scenario: a call that an upstream refuses waits until the upstream has room
    The known load of the upstream is wrong. The call is not refused as long
    as it has time.

    Given a site with one service of 4 slots that takes 0.2 s for a call
    When a caller posts while the service refuses calls for 0.2 s
    Then the caller gets 200 after one refusal

  Scenario: a call that may have run is never refused as not run
    Its first upstream breaks, and while it waits for another one its time
    runs out. With 503 the caller would send the call again.

    Given a site with one service of 4 slots that takes 0.2 s for a call
    When a call breaks at a service and finds no room at another in time
    Then the caller gets 504

  Scenario: no call is hedged while others wait
    The service is slow since it is full. Hedges would make it slower.

    Given a site with one service of 4 slots that takes 0.2 s for a call
    When 24 callers post at once and there is a second service
    Then each of the 24 callers gets 200
    And each call ran once

  Scenario: an entry that stops answers what waits
    Given a site with one service of 4 slots that takes 2 s for a call
    When an entry begins to stop while 20 callers of a long route wait
    Then each of the 20 callers gets 200 or 503, and none is cut off
    And the service got only the calls that were answered with 200
