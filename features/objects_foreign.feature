Feature: objects of other writers under kinds that are followed

  Scenario: one bad entry among good ones hides none of them
    Pages drawn by Hypothesis: sound registrations with another writer's
    object among them (fields missing, of another type, an unknown state,
    numbers that no clock holds, no name, bytes that are no text).

    Then 300 pages of good entries with a bad one give just the good ones
    And 300 answers of watches with a bad change give just the good changes

  Scenario Outline: an entry that is not as upstreams write it names none
    Given an entry whose <field> is <written>
    Then it names no upstream

    Examples:
      | field        | written      |
      | state        | "resting"    |
      | state        | 1            |
      | service      | missing      |
      | address      | "10.0.0.1"   |
      | address      | 5            |
      | zone         | missing      |
      | slots        | "4"          |
      | slots        | 0            |
      | seq          | missing      |
      | version      | 3            |
      | cold_left_ms | 1e300        |
      | born         | 1.5          |
      | born         | "1700000000" |
      | models       | {}           |

  Scenario: an upstream's entry is overwritten by another writer
    The entry says no more where the upstream is, until the upstream itself
    writes again a second later. Requests go to the other one meanwhile.

    Given a site whose first service's entry is overwritten for 1 s
    Then callers are served by the second one, and then by both

  Scenario: what cannot be read is told once a revision
    A foreign entry is listed again with every interrupted watch.

    Given a view that is shown a foreign entry 5 times in 2 revisions
    Then the log has 2 lines about it

  Scenario: a site with foreign objects of every kind serves on
    Another writer puts objects of its own under every kind: manifest,
    registrations, versions, evacuations, entries, jobs and parts of a job.

    Given a site with foreign objects under every kind
    Then calls are answered, and a job is whole at every entry
    And an engine takes a new version
    And a storage machine is emptied when it is asked to be

  Scenario: a record of a job that cannot be read is not guessed at
    Another writer has overwritten the record of results that comes next.
    Nobody can say what stands at its positions, so nobody says anything.

    Given a site whose job has a broken record of results
    Then its results are answered with 503 after a restart
