Feature: metrics and state of an entry

  Scenario: what an entry did can be read from its metrics and state
    Given a site whose entry served calls and a job
    Then its metrics count the calls and items, with their latencies
    And its state shows the manifest, the upstreams and the job
    And both tell its calls of the store, by what they do and to which kind
