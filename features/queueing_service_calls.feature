Feature: calls of a service that has no room

  Scenario: a flood from one account does not delay accounts with a few calls
    One account sends nearly three times as many calls as the service
    completes. Without an order among accounts, its calls take the queue and
    all others wait behind them or are refused.

    When 1 account sends 1000 calls a second beside 60 that send 5 a second
    Then each call of the 60 accounts is sent within 150 ms
    And the service is never idle while the account floods it

  Scenario: four times the calls keep a service busy, and none is answered late
    Without a bound by forecast, calls wait until their callers have gone, and
    the service works for nobody.

    When 20 accounts send 1440 calls a second to a service that completes 360
    Then the service is never idle while calls arrive
    And half of the refused calls are refused within 50 ms

  Scenario: callers that are refused together do not return together
    With a constant delay all retries arrive in one instant, and are refused
    again.

    When 300 callers arrive at once and each retries once when it is told
    Then at least 180 of them are served
    And no 20 retries arrive in the same millisecond

  Scenario: a lower priority is served, but seldom, while a higher one waits
    Calls of the higher priority never cease. The lower priority must neither
    starve nor take more than its share.

    When calls of priority 0 and 1 come to a service that has one slot
    Then one in eight of the calls that leave has priority 1

  Scenario: a call that an upstream refused has its former place
    Its caller has waited for longest. At the end of the queue the call would
    wait a second time.

    Given a queue with calls of three accounts
    When the first call is taken and returns
    Then it is the first again, and its account is charged once

  Scenario: a limit follows reports, or refusals where no load is reported
    Given an upstream of 8 slots that reports no load
    Then its limit is 8, 6 after refusals and 8 again 2 s later
    And reports of 5 requests of others reduce the limit to 3
    And an upstream that is reported full still gets one call

  Scenario: hedges are few while a service is over half full
    Given a service with 50 calls in the last ten seconds
    Then 5 hedges are within the budget, and none 10 s later
