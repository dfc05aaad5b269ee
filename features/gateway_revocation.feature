Feature: Keys that are revoked while entries can't follow the store

  Guards against two failures: an entry with an outdated manifest runs a
  request that was sent later than the bound after its key was revoked, or an
  entry refuses requests although it can prove its manifest current.

  Scenario Outline: a key is revoked while the store is <trouble>
    Given a site of <entries> entries where revoked keys stop within 5 s
    When the store is <trouble> for 9 s, and a key is revoked as that begins
    Then no request with that key ran that was sent more than 5 s later
    And requests that did not run got 401, or 503 with a retry delay of 0.5 s
    And a valid key works in the first 3 s, and from 2 s after the recovery on

    Examples:
      | entries | trouble            |
      | 2       | silent             |
      | 2       | busy               |
      | 2       | cut from one entry |
      | 5       | silent             |
      | 5       | busy               |
      | 5       | cut from one entry |

  Scenario: a job is submitted while revoked keys can't be known
    Guards against a trainer that uses up its retries before the manifest can
    be proven current again.

    Given a site of 2 entries where revoked keys stop within 5 s
    When a job is submitted 6 s after the store has become silent
    Then it gets 503 with a retry delay of 2 to 3 s

  Scenario: watches receive nothing while a key is revoked
    Given a site of 5 entries where revoked keys stop within 5 s
    When watches receive nothing for 1 s while a key is revoked
    Then no request with that key ran that was sent more than 5 s later

  Scenario: an entry resumes after its machine was suspended
    Given a site of 5 entries where revoked keys stop within 5 s
    When an entry is suspended for 6 s, and gets requests as it resumes
    Then it refuses the first one, and serves all from 2 s after that on

  Scenario: proofs cost each zone one call to the store per second
    Given a site of 5 entries where revoked keys stop within 5 s
    When the manifest stays the same for 20 s
    Then at most 25 watches of the manifest were sent
