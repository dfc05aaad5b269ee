Feature: refusals of batch jobs

  Scenario: a refused job is never stored by any call made for it
    Guards against 503 for a job that a call carried out, lost or late.

    Given 2000 submissions whose calls to the store fail in random ways
    Then at least 100 of them are refused, and none of these is stored
    And at least 100 of them are accepted, and all of these are whole
    And all others are told as unclear
