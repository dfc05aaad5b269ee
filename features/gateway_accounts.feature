Feature: Client accounts and their keys

  Guards against a request that runs for an account which did not send it, a
  key that reaches anyone but the entry it was sent to, and a key that works
  after it was taken away.

  Scenario: an upstream is told the account and never the key
    Given a site with accounts ant and bee
    When a call comes with the key of ant, which claims to be bee
    Then the upstream runs it for ant
    And the key is in nothing that upstreams, the store or other entries got

  Scenario Outline: a request without a good key is denied and runs nowhere
    Given a site with accounts ant and bee
    When a call comes with the credentials <credentials>
    Then it is answered <status>, and ran <times> times

    Examples:
      | credentials              | status | times |
      | none                     | 401    | 0     |
      | Bearer ant-key           | 200    | 1     |
      | bEARER   ant-key         | 200    | 1     |
      | Bearer ant-key-2         | 200    | 1     |
      | Bearer ant-ke            | 401    | 0     |
      | Bearer                   | 401    | 0     |
      | Basic ant-key            | 401    | 0     |
      | Bearer ant-key, two      | 401    | 0     |
      | Bearer ant-key & bee-key | 401    | 0     |
      | Bearer ant-key & ant-key | 401    | 0     |

  Scenario: a public route takes requests without a key
    Given a site with accounts ant and bee
    When a call to a public route claims to be bee
    Then the upstream runs it for nobody

  Scenario: an account that lost all its keys opens nothing
    Given a site with accounts ant and bee
    When all keys are taken away
    And a call comes with the credentials none
    Then it is answered 401, and ran 0 times

  Scenario: a batch job is its account's, whatever becomes of the key
    Given a site with accounts ant and bee
    When ant hands in a job, and its key is taken away
    Then the items run for ant, and no item's header names another account
    And another key of ant reads results and bodies and ends the job
    And keys of bee and keys that are gone find no such job

  Scenario: a job's id can't be used by another account
    Given a site with accounts ant and bee
    When bee hands in a job under the id of ant's
    Then that is a conflict, and the job is still ant's

  Scenario: an owner that takes a job over knows whose it is
    Given a site with accounts ant and bee
    When ant hands in a job, and its owner is killed
    Then the items run for ant, and no item's header names another account
