Feature: a soak of a zone in which one entry watches for the others

  Scenario: manifests, upstreams and weights are known in time
    Six entries of one zone and the agents hear of changes from one entry.
    Processes are killed, paused, stopped and cut off at random, that entry
    as well, while manifests change, upstreams leave and weights are named.

    Given a soak of seed 9001 with faults for 10 s on 6 entries
    Then every promise was kept, and results, calls and orders were checked
