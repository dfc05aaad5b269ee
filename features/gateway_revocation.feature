Feature: Keys that are taken away where the store is not heard

  Guards against a request that runs although its client sent it later than
  the bound after its key was taken away, at an entry that lives by an old
  manifest; and against entries that refuse while they could know.

  Scenario Outline: a key is taken away while the store is <trouble>
    Given a site of <entries> entries where revoked keys stop within 5 s
    When the store is <trouble> for 9 s, and a key is taken away at once
    Then no request with that key ran that was sent more than 5 s after it
    And those that did not run were told so, to come again in 0.5 s
    And a key that is still held works for 3 s, and 2 s after the end again

    Examples:
      | entries | trouble            |
      | 2       | silent             |
      | 2       | busy               |
      | 2       | cut from one entry |
      | 5       | silent             |
      | 5       | busy               |
      | 5       | cut from one entry |

  Scenario: a job comes while revoked keys can't be known
    Guards against a trainer that uses up its tries while nothing is known.

    Given a site of 2 entries where revoked keys stop within 5 s
    When a job comes 6 s after the store has become silent
    Then it is refused as not run, to come again in 2 to 3 s

  Scenario: watches are deaf while a key is taken away
    Given a site of 5 entries where revoked keys stop within 5 s
    When watches hear nothing for 1 s while a key is taken away
    Then no request with that key ran that was sent more than 5 s after it

  Scenario: an entry wakes up after it was suspended
    Given a site of 5 entries where revoked keys stop within 5 s
    When an entry is suspended for 6 s, and asked as it wakes up
    Then it refuses, and serves within 2 s

  Scenario: proofs cost each zone one call a second
    Given a site of 5 entries where revoked keys stop within 5 s
    When nothing happens for 20 s
    Then the manifest was watched 25 times at the most
