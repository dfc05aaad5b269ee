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
