Feature: shared helpers

  Scenario: the order by highest random weight is the same in every process
    Given upstream names in two different orders
    When both are ordered for the same key
    Then the two orders are the same
    And a removed name leaves the order of the others unchanged

  Scenario: no decision depends on the wall clock
    The wall clock of some VMs jumps by seconds, forwards and backwards. All
    delays, expiries and turns use the monotonic clock. The wall clock is only
    used for log lines and the Date header of responses. The usage windows
    use a time from which the jumps are removed.

    Then only the clock, the Date of responses, the logs and the usage windows read the wall clock
