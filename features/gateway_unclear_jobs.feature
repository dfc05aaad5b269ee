Feature: jobs of which an entry can't tell whether they are stored

  Scenario: an accepted job is not refused when it is submitted again
    Guards against a 503 for a job that runs, while the store refuses calls.

    Given a site whose job is submitted again during an outage of the store
    Then the entry that knows the owner accepts it, and every item runs once
