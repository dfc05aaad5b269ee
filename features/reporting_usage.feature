Feature: Usage is reported once, by one process at a time

  Guards against two reports of one window that differ, holders that take
  turns or use one token, and requests that no report counts.

  Scenario: each request is in the report of its window
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 20 s
    Then each window was reported within 10 s, as the upstreams ran it
    And the store was written 8 times at the most for it

  Scenario Outline: an entry <fault> while requests come
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 30 s, while the <who> <fault>
    Then no promise of one holder was broken
    And each window was reported within 10 s, but for <missed>
    And all reports together miss <lost> requests at the most

    Examples:
      | who       | fault                        | missed | lost |
      | holder    | is killed                    | 0      | 5    |
      | holder    | is killed and starts again   | 0      | 5    |
      | other     | is killed                    | 0      | 5    |
      | holder    | stops as planned             | 0      | 0    |
      | holder    | is suspended for 9 s         | 0      | 0    |
      | holder    | is cut off from the others   | 1      | 40   |

  Scenario: a clock that jumps moves no request to another window
    Given a wall clock that jumps by 2 s, and back after 10 s
    Then true time goes on evenly

  Scenario: no order of events lets two holders act as one
    Given 150 histories of pauses, kills and late writes of three processes
    Then no history broke a promise of one holder
    And the histories have takeovers and reports
