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
