Feature: upstreams that start again under their name

  Scenario: nothing that was learned of one start is taken for another's
    An engine crashes and comes back under its name, empty. Its load, its
    pace, the prompts that it had cached and that it was left alone belong
    to the start before.

    Given an engine of which load, pace and weights are known
    When it starts again under its name
    Then it is an engine of which nothing is known
    And it has the weights that it registers

  Scenario: an entry of an earlier start that comes late changes nothing
    The last entry of the start before reaches the store behind the first
    one of the new start, which listens at another address.

    Given an engine that has started again at another address
    When the entry of its earlier start comes late
    Then requests go to the new address
    And that holds as well after its new entry was removed

  Scenario: an upstream that tells no start is an older one, not an error
    Given an engine whose entry tells no start
    Then requests go to it, and to its next start that does tell

  Scenario: another one at its address does not keep a new start away
    Requests to the engine were answered by another one at its address, so
    its entry is left out. It then starts again, elsewhere.

    Given an engine that was replaced at its address
    When its old entry is written again, and then one of a new start
    Then requests go to the new start only

  Scenario Outline: a step goes on when an engine starts again in its middle
    The engine loses its runs, its cache and its count of orders. The items
    go on elsewhere behind their last events, and on it again when it is back.

    Given a site whose first engine starts again <after_s> s after a step began
    Then the step's results are whole and of the versions that made them
    And the engine runs items of the next step

    Examples:
      | after_s |
      | 0.1     |
      | 0.5     |
      | 1.0     |

  Scenario Outline: an engine that starts again around an order gets its weights
    An order is lost with the start that took it. The engine's count of
    orders begins at zero, and its weights are those of before.

    Given an engine with version 1 and its agent, and version 2 is published
    When the engine starts again <when_ms> ms after it took the order
    Then the engine has version 2 within 5 s of its new start

    Examples:
      | when_ms |
      | 0       |
      | 100     |
      | 800     |
      | 1000    |

  Scenario: an old order that a new start carries out is made good
    The engine answers nothing to an order of version 2 and has version 3 by
    its next order. It starts again, and the first order is carried out at
    last: the count of orders that it expects fits the new start by chance.

    Given an engine whose first order waits until it has started again
    Then the engine goes back to version 2 and has version 3 again within 3 s
