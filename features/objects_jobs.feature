Feature: batch jobs in the store

  Scenario Outline: a stored job is never reported as refused
    A job is created, but the response is lost. The second attempt gets a
    conflict response without the job, and the store refuses to return it. A
    503 would promise the trainer that nothing of the job runs, but it runs.

    Given a store with the job that omits it from conflicts and <reads>
    When the job is submitted to this store
    Then the outcome of the submission is unclear

    Examples:
      | reads                 |
      | refuses reads         |
      | does not answer reads |

  Scenario Outline: a job is not accepted without one of its parts
    Guards against 202 for a job that no entry can load.

    Given a store that answers <status> when a part is created
    When the job is submitted to this store
    Then the submission is refused, and the job has no record

    Examples:
      | status |
      | 404    |
      | 410    |
      | 500    |

  Scenario Outline: an answer to a creation that promises nothing is unclear
    Guards against 503 for a job that may have been stored.

    Given a store that answers <status> when the record is created
    When the job is submitted to this store
    Then the outcome of the submission is unclear

    Examples:
      | status |
      | 404    |
      | 410    |
      | 500    |

  Scenario: a former owner does not overwrite what the new owner has saved
    Guards against an owner that was paused and replaced, and saves what it
    had: failures of an item are forgotten, and texts are generated again.

    Given a job whose first owner has saved an item with 1 failure
    When its second owner saves 2 failures, and then the first one 1 again
    Then the next owner loads the item with 2 failures

  Scenario: an owner saves again after its last save was not answered
    Guards against an owner that takes its own save for one of a later owner.

    Given a job whose first owner has saved an item with 1 failure
    When the store does not answer its save of 2 failures, and it saves 3
    Then the next owner loads the item with 3 failures
