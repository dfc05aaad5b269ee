Feature: a planned stop ends in time

  Scenario: an entry stops whose jobs nobody takes over at once
    The platform kills a process that has not ended within its grace. The
    owner of a job asks one silent entry after the other to take it, then
    waits for its open calls as long as if nothing had been spent: it is
    killed with calls open, and what it would have written last is lost.

    Given an entry that runs a job and has a long call open
    And the other entries take connections and answer nothing
    When the entry is stopped as planned
    Then the stop is over within its grace
