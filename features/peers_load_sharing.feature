Feature: loads of upstreams that entries tell each other

  Scenario: figures of an entry that is gone expire
    Guards against an upstream that seems full for ever, since the entry that
    told of its requests has ended.

    Given an upstream of which an entry told 6 requests
    Then its estimate is 6 requests for 2 s, and 0 from then on
    And a message with other upstreams drops the figure at once
    And it is told of no more requests once it starts again
    And only the last of 50 entries that come and go is remembered

  Scenario: a report that another entry has told is used if it is the newest
    Given an upstream that reported 3 requests 500 ms ago
    Then a told report of 5 requests that is 600 ms old is not used
    And a told report of 5 requests that is 100 ms old is used
    And a told report of 5 requests that is 2000 ms old is not used by others

  Scenario: only changes at busy upstreams are told, at most once in 100 ms
    Guards against a message for each request, and against an upstream that
    the others avoid although its requests have ended.

    Given an entry beside upstreams of four slots
    Then 1 request is not told, and 2 are
    And a third one is told after 100 ms, not before
    And their end is told although the upstream is no longer busy

  Scenario: no estimate is negative or beyond what was told and reported
    Then estimates stay within what was told and reported
    And a told figure of -3 requests counts as none

  Scenario: an entry of the previous release gets hardly any messages
    It answers status 400 to a message that it cannot decode. Guards against a
    message and two warnings ten times a second while an upgrade lasts.

    Given an entry of the previous release, and one that accepts messages
    When the load changes 200 times, every 120 ms
    Then the old one gets 4 messages, and the other one gets all of them
    And the old one is told again once it tells something itself

  Scenario: at most eight entries of the zone are told
    Then an entry among 25 of two zones tells 8 of its own zone

  Scenario: the first message about a burst has all of its requests
    The requests of a burst start within 5 ms. Guards against a first message
    with half of them, and a next one 100 ms later, when they have ended.

    When 4 requests begin 1 ms apart
    Then the first message tells of 4 requests
