Feature: the attempts of a call at upstreams

  Scenario: whatever the upstreams do, a call keeps to its rules
    Hypothesis generates histories in which upstreams answer, refuse, break and
    stay silent in any order. A call that may run once is sent to no further
    upstream after one that may have run it. No upstream gets a call twice, no
    more upstreams run it than the route allows, and it is sent to no upstream
    after its deadline.

    Then 300 histories of a call keep to the rules of its route

  Scenario: a call is hedged at a second upstream only if it is idempotent
    Given two upstreams and a call with a hedge delay of 100 ms
    Then an idempotent call waits 100 ms before it is sent to the second
    And a call that may run once waits for the first to its deadline

  Scenario: any call may be sent on after an upstream's refusal
    Given two upstreams and a call with a hedge delay of 100 ms
    Then a call that may run once is sent on after a refusal
    And it is not sent on after a broken answer
