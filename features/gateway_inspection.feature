Feature: metrics and state of an entry

  Scenario: metrics and state show what an entry did
    Given a site whose entry served calls and a job
    Then its metrics count the calls and items, with their latencies
    And its state shows the manifest, the upstreams and the job
    And both show its calls to the store by type and kind of object
