Feature: entries that stop, crash and start in quick succession

  Scenario Outline: nothing that was accepted is denied in a series of stops
    Four of five entries are stopped or killed one after the other and start
    again, while the store is slow. Readers request bodies and positions from
    all entries, and the job is submitted again and again. Guards against
    bodies that were denied while an owner handed off its job (seeds 111 and
    114), and positions that were read before and denied by owners which
    treated the job as new (101, 113, 121).

    Given a series of stops of seed <seed>
    Then no body of an open item and no position that was read is denied
    And each item is listed once, whole and for good

    Examples:
      | seed |
      | 101  |
      | 111  |
      | 113  |
      | 114  |
      | 121  |
