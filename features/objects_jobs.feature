Feature: batch jobs in the store

  Scenario Outline: a job that is there is never told to be refused
    A job is created and the answer is lost. The second try finds it there,
    without being told what it is, and the store refuses to read it. A 503
    promises that nothing of the job runs; it does.

    Given a store that has a job, shows none in conflicts and <reads>
    When the job is handed in
    Then it is not known whether it is kept

    Examples:
      | reads         |
      | refuses reads |
      | loses reads   |
