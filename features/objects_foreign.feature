Feature: objects of other writers under the kinds that are followed

  Scenario: an invalid object does not hide valid registrations
    Hypothesis draws pages of valid registrations with one object of another
    writer among them: missing fields, fields of another type, an unknown
    state, numbers outside the range of a clock, no name, or bytes that are no
    text.

    Then 300 pages of registrations with an invalid object give only valid ones
    And 300 watch responses with an invalid change give only valid changes

  Scenario Outline: an invalid registration names no upstream
    Given a registration whose <field> is <written>
    Then no upstream can be read from it

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

  Scenario: another writer overwrites an upstream's registration
    The address of the upstream is unknown until the upstream itself writes its
    registration again a second later. Until then, requests are sent to the
    other upstream.

    Given a site whose first service's registration is overwritten for 1 s
    Then the second service alone answers calls, and later both do

  Scenario: each revision of an unreadable object is logged once
    The object is listed again after each interrupted watch.

    Given a view that gets a foreign object 5 times in 2 revisions
    Then the log has 2 lines about it

  Scenario: a site with foreign objects of every kind stays in service
    Another writer puts its own objects under every kind: manifest,
    registrations, versions, evacuations, entries, jobs and parts of a job.

    Given a site with foreign objects under every kind
    Then calls are answered, and every entry has all results of a job
    And an engine loads the new version
    And a storage VM is evacuated on request

  Scenario: an unreadable record of results is not skipped
    Another writer has overwritten the next record of results. The results at
    its positions are unknown, so no entry lists results for them.

    Given a site whose job has an unreadable record of results
    Then requests for its results get status 503 after the owner's crash
