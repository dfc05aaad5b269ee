Feature: a soak of a zone in which one entry watches for the others

  Scenario: processes learn of manifests, upstreams and weights in time
    The six entries of one zone and the agents get changes from one of the
    entries. Processes, this entry included, are killed, paused, stopped and
    cut off at random while manifests change, upstreams leave and new versions
    of the weights are published.

    Given a soak of seed 9001 with faults for 10 s on 6 entries
    Then every promise was kept, and results, calls and orders were checked
