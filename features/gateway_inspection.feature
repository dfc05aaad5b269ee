Feature: metrics and state of an entry

  Scenario: metrics and state show what an entry did
    Given a site whose entry served calls and a job
    Then its metrics count the calls and items, with their latencies
    And its state shows the manifest, the upstreams and the job
    And both show its calls to the store by type and kind of object

  Scenario: metrics count refused jobs and the writes that the store rejected
    Given a site whose entry refused a job since the store rejected a write
    Then its metrics count 1 refused job and 1 rejected write
