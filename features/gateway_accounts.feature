Feature: Client accounts and their keys

  Guards against three failures: a request runs for an account that did not
  send it, a key reaches a process other than the entry to which it was sent,
  and a key works after it was revoked.

  Scenario: an upstream receives the name of the account and never the key
    Given a site with accounts ant and bee
    When a call with the key of ant names bee as its account
    Then the upstream runs it for ant
    And upstreams, the store and other entries never receive the key

  Scenario Outline: a request without exactly one valid key never runs
    Given a site with accounts ant and bee
    When a call is sent with the credentials <credentials>
    Then it gets status <status> and ran <times> times

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

  Scenario: a public route accepts requests without a key
    Given a site with accounts ant and bee
    When a call to a public route names bee as its account
    Then the upstream runs it for no account

  Scenario: accounts stay in force when all their keys are revoked
    Given a site with accounts ant and bee
    When all keys are revoked
    And a call is sent with the credentials none
    Then it gets status 401 and ran 0 times

  Scenario: a batch job belongs to its account after the key is revoked
    Given a site with accounts ant and bee
    When ant submits a job and its key is revoked
    Then the items run for ant, and no item's header names another account
    And another key of ant reads results and bodies and ends the job
    And the key of bee gets 404 and the revoked key gets 401

  Scenario: a job's id can't be used by another account
    Given a site with accounts ant and bee
    When bee submits a job with the id of ant's job
    Then bee gets 409 and the job still belongs to ant

  Scenario: a job's id can't be used by another account during an outage
    Guards against a 202 for a job of another account, told from memory.

    Given a site with accounts ant and bee
    When bee submits a job with the id of ant's job during an outage
    Then bee gets 409 and the job still belongs to ant

  Scenario: an entry that takes over a job runs it for the same account
    Given a site with accounts ant and bee
    When ant submits a job and its owner is killed
    Then the items run for ant, and no item's header names another account
