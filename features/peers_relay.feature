Feature: calls of the store that go through other entries

  Scenario: a store that is down for everyone is not asked by every way
    The store refuses every entry. Each call would be made three times, once
    by the own way and by two other entries, while nobody can be served; the
    store comes back to three times the load.

    Given a store that refuses every way
    When an entry makes a call each 100 ms for 2 s
    Then other entries were asked at most 8 times

  Scenario: a way that opens again is found within a second
    The store refused every way, and then this entry alone. Its calls go
    through the others again after at most a second.

    Given a store that refuses every way
    When an entry makes a call each 100 ms for 2 s
    And the store takes calls of the other entries again
    Then a call is answered within 1100 ms

  Scenario: an answer that comes late by the own way is taken when it comes
    The store answers after 400 ms, a little later than this entry's patience.
    The call was made by another entry as well, which is slow, and its answer
    was waited for though the own one had come: "the store is reached by
    others only".

    Given a store that answers after 400 ms by the own way
    And other entries that take 2 s
    Then a call is answered within 410 ms
    And its next call goes the own way first

  Scenario: a call that may have been done is not told to be refused
    The store is reached through others only, and one of them gives no answer
    to a call: it may have been done. All ways refuse it then. Told that
    nothing was done, a trainer takes its job elsewhere, and it runs twice.

    Given a store that takes calls through other entries only
    When one of them gives no answer to a call, and the other ways refuse it
    Then it is not known whether that call was done
