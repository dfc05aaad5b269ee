Feature: quarantine of requests that crash upstreams

  Scenario: strikes count the same in whatever order they arrive
    Strikes reach each entry process in a different order, from the process
    that saw the crash or from the store, and more than once. A request's count
    must not depend on that, or one entry process would send a request that
    another one holds back.

    Then strikes in any order give each request the same count

  Scenario: a request is quarantined for longer with each upstream it crashes
    Two entry processes may retry a request at the same moment once its
    quarantine is over. Quarantines of 5, 30 and 120 s let four attempts through
    within two minutes of the third crash, where three are allowed; these let
    two through.

    Given a chain of upstreams that crash while they run a request
    Then a call is quarantined for 0, 5, 120 and 600 s after crashes 1 to 4

  Scenario: upstreams that crash at the same time count as one strike
    Three upstreams run the same request when they crash. It was sent to none
    of them because another one had crashed.

    Given three upstreams that crash at the same time with the same request
    Then the request has one strike

  Scenario: a crash counts against the request with the longer chain
    Two requests run at an upstream that crashes. Another upstream had crashed
    before while it ran one of them.

    Given an upstream that crashes while it runs a suspected and a new request
    Then the new request has no strikes

  Scenario: upstreams that run the same request crash one after another
    Guards against a request that arrives under many ids at once: it is sent to
    all upstreams before the first crash is known, and no chain forms.

    Given 4 upstreams that crash 200 ms apart, and got the request before that
    Then the request has 1, 2, 3 and 4 strikes after crashes 1 to 4

  Scenario: a request that always runs beside a longer chain gets strikes, too
    Guards against a request that crashes each upstream and is never suspected,
    since another one with a longer chain runs at each of them.

    Given 5 upstreams that crash while they run a request and a suspected one
    Then the request has 0, 1, 2, 3 and 4 strikes after crashes 1 to 5

  Scenario: upstreams that crashed together count once a chain confirms them
    Guards against a request that arrives in copies, and is sent on after each
    further crash since the first ones counted as one.

    Given 4 upstreams that crash at once while they run a request in copies
    And some of them also run another request
    When one more upstream crashes while it runs both
    Then the request has 1 strike before and 3 after it, the other one 1 and 2

  Scenario: the count of a request that was held back does not fall
    Guards against strikes of other requests that arrive later and take the
    blame for a crash.

    Given a request that is held back after a chain of 3 crashes
    When strikes of a longer chain at the third upstream arrive
    Then it keeps 3 strikes until an upstream answers it

  Scenario: the number of strikes that are kept is bounded
    Given 1000 upstreams that crash, each with a request of its own
    Then at most 256 of them are kept, the latest
