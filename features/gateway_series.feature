Feature: entries that stop, die and start in quick series

  Scenario Outline: nothing that was accepted is denied in a series of stops
    Four of five entries are stopped or killed one after the other and start
    again, while the store is slow. Readers ask all entries for bodies and
    positions, and the job is handed in again and again. Bodies were denied
    while an owner handed its job over (seeds 111 and 114), and positions
    that had been read by owners which took the job for new (101, 113, 121).

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
