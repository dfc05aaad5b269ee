Feature: load and pace of upstreams

  Scenario: a load header with four figures is decoded
    Engines of newer deployments state the pace of their VM. If the header
    were rejected, entries would know nothing about the load of these
    upstreams.

    Then load headers are decoded to
      | header       | running | waiting | slots | pace |
      | 3,1,8        | 3       | 1       | 8     | 100  |
      | 3, 1, 8, 250 | 3       | 1       | 8     | 250  |
    And the load headers "", "3,1", "3,1,8,9,9" and "3,x,8" are rejected

  Scenario: an upstream that states its pace is used by its load
    Guards against an entry that does not use the load figures of a header
    with a pace: it would send its call to the upstream that others have
    filled.

    Given a site whose first upstream is slow and states a pace of 200
    When a caller posts 10 bytes to /book/visit
    Then the entry knows the load and the pace of the upstream

  Scenario Outline: a slow moment of 600 ms does not change the choice
    A neighbour on the host is busy for a moment. Guards against all entries
    avoiding an upstream for seconds, and filling the others, after one slow
    response.

    Given two equal upstreams that respond every <gap> ms
    When the first one takes 2.5 times the usual time for 600 ms
    Then the choice stays at the first one

    Examples:
      | gap  |
      | 20   |
      | 150  |
      | 590  |
      | 1000 |
      | 4000 |

  Scenario Outline: a VM that is slow for good is avoided after 5 s
    Given two equal upstreams that respond every <gap> ms
    When the first one takes 2 times the usual time for 5000 ms
    Then the second one is chosen
    And the first one is tried again after 20 s without a response

    Examples:
      | gap  |
      | 20   |
      | 1000 |

  Scenario: no sequence of reports makes an average leave its range
    Then the averages of any paces stay within the range of the paces

  Scenario: a fast upstream that is known to be full is not chosen
    Guards against calls that are refused at an upstream which other entries
    have filled, since it would still be the fastest.

    Given two upstreams of which the first takes a third of the time
    When another entry tells of 4 requests at the first one
    Then the second one is chosen
    And the first one is chosen once both are full
