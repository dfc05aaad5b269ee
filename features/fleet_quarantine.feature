Feature: which requests rest for what ended under them

  Scenario: entries that know the same judge alike
    Strikes reach each entry in another order, from whoever saw them, from
    the store, and more than once. What they say of a request must not depend
    on that, or one entry would send what another holds back.

    Then strikes in any order give each request the same count

  Scenario: a request rests longer with each upstream that ends under it
    Two entries may try a request in the same moment once its rest is over.
    Rests of 5, 30 and 120 s let four attempts through within two minutes of
    the third end, where three are allowed; these let two through.

    Given a chain of upstreams that end under a request
    Then a call rests for 0, 5, 120 and 600 s behind the 1st to the 4th of them
    And an item rests for 0, 0, 5 and 120 s behind them

  Scenario: upstreams that end at once are one link of a chain
    The same request is in progress at three upstreams when these end. It was
    sent to none of them because another one had ended.

    Given three upstreams that end at once with the same request
    Then one strike is held against it

  Scenario: the one with the longer chain is to blame
    Two requests are at the upstream that ends. Under one of them another one
    had ended before.

    Given an upstream that ends under a request that is suspected and a new one
    Then nothing is held against the new one

  Scenario: the same request at several upstreams, which end in turn
    Guards against a request that comes under many ids at once: it is sent to
    all upstreams before the first end is known, and no chain forms.

    Given 4 upstreams that end 200 ms apart, all sent the request before
    Then 1, 2, 3 and 4 strikes are held against it behind each of them

  Scenario: one that always runs beside a longer chain is held back as well
    Guards against a request that ends each upstream and is never suspected,
    since another one with a longer chain runs at each of them.

    Given 5 upstreams that end under a request beside one that is suspected
    Then 0, 1, 2, 3 and 4 strikes are held against it behind each of them

  Scenario: memory is bounded
    Given 1000 upstreams that end, each under a request of its own
    Then at most 256 of them are remembered, the latest
