Feature: a planned stop ends within the grace period

  Scenario: an entry stops in time although no other one accepts its jobs
    The platform kills a process that has not ended within its grace period.
    The owner of a job offers it to one silent entry after the other. If the
    wait for its open calls did not count the time that this takes, the entry
    would be killed with calls in progress and lose its last writes.

    Given an entry that runs a job and has a long call open
    And the other entries accept connections and never respond
    When the entry is stopped as planned
    Then the stop ends within the grace period
