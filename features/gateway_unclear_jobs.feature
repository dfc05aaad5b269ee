Feature: jobs of which an entry can't tell whether they are stored

  Scenario: an accepted job is not refused when it is submitted again
    Guards against a 503 for a job that runs, while the store refuses calls.

    Given a site whose job is submitted again during an outage of the store
    Then the entry that knows the owner accepts it, and every item runs once

  Scenario: a job told unclear by one entry is not refused by the next ones
    Guards against a 503 for a job that an earlier attempt may have stored.

    Given a site whose store creates a job at one entry and stays away
    Then every entry answers 504 while the store is away
    And each of the answers has a retry delay of 2 to 3 s
    And the job runs at no engine unless somebody asks for it
    And it is accepted after the outage, and every item runs once

  Scenario: an unclear job runs once a reader asks for it
    Guards against a job in the store that no entry runs.

    Given a site whose unclear job is read after the outage
    Then all of its items are listed, each once

  Scenario: a job is not refused after a client that left during its creation
    Guards against a 503 for a job whose first submission was cancelled.

    Given a site whose client leaves while the store creates its job
    Then another entry answers 504 while the store is away

  Scenario: a job is not refused while its creation is under way
    Guards against a 503 for a job that the same entry is storing.

    Given a site whose job is submitted twice at one entry, the store silent
    Then the job is stored, and no submission of it is refused

  Scenario: a planned stop tells all entries of a job that it leaves unclear
    Guards against a 503 for a job whose submission a planned stop cut off.

    Given a site whose entry stops while the store creates a job
    Then the job is stored, and no submission of it is refused

  Scenario: a running job is not refused for an outdated manifest
    Guards against a 503 of the entry that runs the job.

    Given a site with accounts whose running job is submitted again
    Then the job is stored, and no submission of it is refused

  Scenario: a job that was removed is not accepted from memory
    Guards against a 202 for a job that no longer exists.

    Given a site whose removed job is submitted again during an outage
    Then it is not accepted

  Scenario: unclear jobs are forgotten
    Guards against a memory of unclear jobs that grows or never ages.

    Given a memory of unclear jobs that keeps each for 40 s
    Then a job added 41 s ago is forgotten, and one added again is not
    And at most 256 of 3000 jobs are remembered
