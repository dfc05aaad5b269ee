Feature: owners of batch jobs check that they still own them

  Scenario: an owner that was paused starts nothing before it reads the store
    Guards against an owner that was replaced during its pause, and resumes
    with items of a job that has another owner.

    Given a check of ownership whose store answers after 0.5 s
    When its process is paused for 2.3 s
    Then items are suspended when the process resumes
    And items are not suspended 0.7 s later

  Scenario: an answer to a request from before a pause is no proof
    Guards against a check that was answered before the pause and is read after
    it, when another process may own the job.

    Given a check of ownership whose store answers after 0.5 s
    When its process is paused 0.3 s after a request, for 2.3 s
    Then items are suspended when the process resumes
    And items are suspended 0.3 s later

  Scenario: an owner that was paused continues while the store is away
    Guards against jobs that wait for a store that is down for everyone.

    Given a check of ownership whose store refuses calls
    When its process is paused for 2.3 s
    Then items are suspended when the process resumes
    And items are not suspended 1.1 s later
