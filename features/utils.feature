Feature: shared helpers

  Scenario: highest random weight orders names alike in every process
    Given upstream names in two different orders
    When both are ordered for the same key
    Then the two orders are the same
    And a removed name leaves the order of the others unchanged

  Scenario: no decision depends on the time of day
    The time of day jumps by seconds on some VMs, ahead and back. Whatever
    waits, expires or takes turns goes by the steady clock; the time of day
    is for lines of the log and the Date of an answer. Windows of usage are
    cut by true time, which leaves the jumps out.

    Then only the clock, the answers' Date, the logs and the windows of usage read the time of day
