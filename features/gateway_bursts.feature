Feature: a burst of calls at one of many entries

  Scenario: others know of a burst at one entry beside 18 others
    One entry gets fourteen calls at a time for 18 slots. Guards against other
    entries that know nothing of it, and against messages without bound.

    Given a burst at one of 19 entries
    Then 8 other entries know of it within 20 ms
    And at most 8 calls a second fail
    And at most 160 messages a second are sent
