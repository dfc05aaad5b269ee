Feature: usage is reported once, by one process at a time

  Guards against two different reports of one window, against processes that
  alternate as holders or use the same fencing token, and against requests
  that no report counts.

  Scenario: each request is counted in the report of its window
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 20 s
    Then each window was reported within 10 s, as the upstreams ran it
    And the duty's record was written at most 8 times

  Scenario Outline: an entry <fault> while requests arrive
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 30 s, while the <who> <fault>
    Then no guarantee of a single holder was broken
    And all but <missed> windows were reported within 10 s
    And all reports together miss at most <lost> requests

    Examples:
      | who       | fault                        | missed | lost |
      | holder    | is killed                    | 0      | 5    |
      | holder    | is killed and starts again   | 0      | 5    |
      | other     | is killed                    | 0      | 5    |
      | holder    | stops as planned             | 0      | 0    |
      | holder    | is suspended for 9 s         | 0      | 0    |
      | holder    | is cut off from the others   | 1      | 40   |

  Scenario: a jump of the wall clock moves no request to another window
    Given a wall clock that jumps by 2 s, and back after 10 s
    Then the corrected time advances evenly

  Scenario: in no order of events two processes act as the holder
    Given 150 histories of pauses, kills and late writes of three processes
    Then no history broke a guarantee of a single holder
    And the histories have takeovers and reports
