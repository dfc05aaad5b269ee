Feature: which upstreams are asked for a call

  Scenario: whatever the upstreams do, a call keeps to its rules
    Histories drawn by Hypothesis: upstreams come, answer, refuse, break and
    stay silent in any order. A call that may run once reaches no further
    upstream after one that may have run it; none is asked twice; no more
    run it than the route allows; none is asked when the time is over.

    Then 300 histories of a call keep to the rules of its route

  Scenario: a second upstream is asked beside a slow one only where allowed
    Given two upstreams and a call with a patience of 100 ms
    Then a repeatable call waits 100 ms before it asks the second
    And a call that may run once waits for the first to its deadline

  Scenario: a full upstream's word that it ran nothing frees any call
    Given two upstreams and a call with a patience of 100 ms
    Then a call that may run once is sent on after a refusal
    And it is not sent on after a broken answer
