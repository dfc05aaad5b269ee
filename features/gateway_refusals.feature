Feature: refusals of calls

  Scenario: a refused call never runs, whatever upstreams do with requests
    Guards against 503 for a call that runs, or that is still in flight.

    Given 20 sites whose upstreams treat each request in a random way
    Then at least 100 calls are refused, and none of these has run
    And no call that may run once has run twice
