Feature: calls of a service that has no room

  Scenario: a flood from one account does not delay accounts with a few calls
    Without an order among accounts, the calls of the large one fill the queue
    while all others wait behind them or are refused.

    When 1 account sends 1000 calls a second beside 60 that send 5 a second
    Then each call of the 60 accounts is sent within 150 ms
    And the service is never idle meanwhile

  Scenario: four times the calls keep a service busy, and none is answered late
    Without a bound by forecast, calls wait until their callers have gone, and
    the service works for nobody.

    When 20 accounts send 1440 calls a second to a service that completes 360
    Then the service is never idle meanwhile
    And half of the refused calls are refused within 50 ms

  Scenario: callers that are refused together do not return together
    With a constant delay all are refused again.

    When 300 callers arrive at once and each retries once when it is told
    Then at least 180 are served, and no 20 retries come in one ms

  Scenario: a lower priority neither starves nor gets more than its share
    When calls of priority 0 and 1 wait for a service of 16 slots
    Then one in eight of the calls that leave has priority 1

  Scenario: a call that an upstream refused does not wait a second time
    Then a call that was taken and returns is the first again, charged once

  Scenario: a limit follows reports, or refusals where no load is reported
    Given an upstream of 8 slots that reports no load
    Then its limit is 8, 6 after refusals, 7 after 1 s, and 8 after 2 s
    And reports of 5 and 20 requests of others reduce the limit to 3 and 1

  Scenario: hedges do not multiply the calls of a service that is slow
    Then 50 calls in ten seconds allow 5 hedges, and 9 or none allow 1
    And none is sent while calls wait, nor over the budget above half load

  Scenario: calls do not wait for a service that has lost its last upstream
    When 60 calls come to a service that loses its upstreams after 10 ms
    Then 42 calls are refused within 20 ms of the loss

  Scenario: an idle service that refused once gets calls with little time
    They could not outlast the backoff of 300 ms and would be refused.

    Given two idle upstreams of 4 slots that refused a call
    Then a call of 200 ms is sent to the one that opens first, alone
    And a call of 900 ms is not, nor any while the service is half full

  Scenario: calls wait for an upstream that refused, not for broken ones
    Given an upstream that refused a call, and one that broke
    Then calls wait for the first, whose backoff is the forecast
    And a call that may use only the second is sent there from the queue

  Scenario: whatever the load is, a call is sent, refused or left, and once
    Hypothesis generates calls with little time, upstreams that refuse and
    callers that leave. No call is sent late, and all counts return to zero.

    Then 200 loads keep to the rules, and no account is starved
