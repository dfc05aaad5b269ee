Feature: calls wait for room at an entry

  Background:
    Given a site with a service of 4 slots that takes 0.2 s for a call

  Scenario: calls beyond the slots of a service wait, and all are answered
    If all are sent at once, the service refuses those that have no slot.

    When 12 callers post at once
    Then the 12 callers get 200, and the service never ran over 4 calls
    And the metrics count 8 calls that waited, and the state showed them

  Scenario: a call that cannot be answered in time is refused at once
    Its caller learns at once that the call did not run, and when to retry.

    When 12 callers post at once, and then one that waits for 300 ms
    Then the last gets 503 within 20 ms, and a delay of its forecast wait
    And the service never got its call

  Scenario: the call of a caller that has left is not sent
    A call for nobody takes a slot from another caller.

    When 12 callers post at once, and the last 3 leave after 0.1 s
    Then the service got the calls of 9 callers, and no other

  Scenario Outline: a call that is no longer admitted when it leaves the queue
    When 7 callers and one more post, and its <admission> ends while it waits
    Then the 7 callers get 200 and the last <status>
    And the service never got its call

    Examples:
      | admission | status |
      | key       | 401    |
      | route     | 404    |

  Scenario: waiting calls are sent by priority
    When calls of priorities 5, 3 and 0 wait, the lowest for longest
    Then they are sent by priority, and an account has its own before its route

  Scenario: a call that an upstream refuses waits until the upstream has room
    The known load is wrong. A call that has time is not refused for that.

    When a caller posts while the service refuses calls for 0.2 s
    Then the caller gets 200 as soon as the backoff ends

  Scenario: a call is not held at a service that refuses every time
    When a caller that waits for 1500 ms posts while the service refuses
    Then the last gets 503 within 660 ms, and a delay

  Scenario: a refusal with a load report does not reduce the learned limit
    When a caller posts once to a service that refuses and reports its load
    Then the limit that refusals have shown is still 4

  Scenario: a call with little time is sent as a probe after a refusal
    The service is idle again after a moment, and its backoff lasts longer. The
    other calls follow when the first has been accepted.

    When 3 callers that wait for 290 ms post after a refusal
    Then the 3 callers get 200, and the service never ran over 2 calls

  Scenario: a call that may have run is never refused as not run
    It breaks at one upstream, and its time ends while it waits for another.
    With 503 the caller would send it again.

    When a call breaks at a service and finds no room at another in time
    Then the caller gets 504 after it waited

  Scenario: no call is hedged while others wait
    The services are slow since they are full. Hedges would take more slots.

    When 24 callers post at once to two services
    Then the 24 callers get 200, and each call ran once

  Scenario: a call that may not be hedged is not checked without a pause
    Its route has no target latency, so that a hedge is due at once.

    When a caller posts on a route without a target latency
    Then its call gets 200 after 4 to 20 checks, and used up no hedge

  Scenario: a hedge of a service with room is not charged to the budget
    Otherwise none is left when the service is busy.

    When a caller posts without a target latency to two services
    Then its call gets 200 after 1 to 20 checks, and used up no hedge

  Scenario: a stream uses its slot until it ends
    Its response begins at once, and its upstream is full for long after that.

    When 5 streams of 0.4 s are requested from an engine of 4 slots
    Then the last begins after another has ended

  Scenario: a call that waits is not sent when the response of a stream begins
    The count of its attempt ends then, and the stream still uses the slot.

    When 5 streams are requested at once from an engine of 4 slots
    Then the last begins after another has ended
    And no count of a stream is left over

  Scenario: a stream whose caller leaves before it begins does not stay counted
    No code of its body runs then, and the upstream would seem full for ever.

    Then a stream of which nothing is read counts until its body is dropped

  Scenario: a call that cannot be sent does not hold up the others
    An exception in the check of the waiting calls leaves them without a timer.

    When 12 callers post at once, and the second admission of one fails
    Then 11 callers get 200 and one 500

  Scenario: the body of a call is freed when the call ends
    Cycles of references keep it in memory until the cyclic collector runs.

    When 12 callers post at once without a cyclic collector
    Then the 12 callers get 200, and none of their calls is in memory

  Scenario: an entry that stops answers or refuses what waits
    When an entry stops while 20 callers of a long route wait
    Then the 20 callers get 200, or 503 and did not run
