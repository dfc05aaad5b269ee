Feature: mutations that switch off safeguards to check that a test fails

  Scenario: the code that each mutation replaces occurs exactly once
    Guards against a change that moves the code of a safeguard, so that its
    mutation names code that no longer exists. Failure: the command that runs
    all mutations aborts.

    Then every safeguard's code is found once
