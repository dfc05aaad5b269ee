Feature: upstreams that restart under the same name

  Scenario: the state of one incarnation is not applied to the next
    An engine crashes and registers under the same name, without its old state.
    Its load, its speed, its cached prompts and its backoff belonged to the
    previous incarnation.

    Given an engine whose load, speed and weights are known
    When it starts again under its name
    Then its load and speed are unknown
    And it has the weights that it registers

  Scenario: a registration of an earlier start that arrives late has no effect
    The last registration of the previous incarnation reaches the store after
    the first one of the new incarnation, which listens at another address.

    Given an engine that has started again at another address
    When the registration of its earlier start arrives late
    Then requests are sent to the new address
    And this holds as well after its new registration was removed

  Scenario: a registration without a start is valid
    Given an engine whose registration states no start
    Then requests are sent to it, and to its next start if it states one

  Scenario: another upstream at its address does not block a new start
    Another upstream answered requests at the engine's address, so the engine's
    registration is ignored. The engine then starts again at another address.

    Given an engine whose address is used by another upstream
    When its old registration is written again, and then one of a new start
    Then requests are sent to the new start only

  Scenario Outline: a step continues when an engine starts again while it runs
    The engine loses its runs, its cache and its count of accepted orders. The
    items continue elsewhere after their last events, and also on this engine
    once it is back.

    Given a site whose first engine starts again <after_s> s after a step began
    Then the step's results are complete and name the versions that made them
    And the engine runs items of the next step

    Examples:
      | after_s |
      | 0.1     |
      | 0.5     |
      | 1.0     |

  Scenario Outline: an engine that starts again around an order gets its weights
    An order is lost if the engine that accepted it starts again. The engine's
    count of accepted orders is then zero, and it has the weights from before
    the order.

    Given an engine with version 1 and its agent, and version 2 is published
    When the engine starts again <when_ms> ms after it accepted the order
    Then the engine has version 2 within 5 s of its new start

    Examples:
      | when_ms |
      | 0       |
      | 100     |
      | 800     |
      | 1000    |

  Scenario: the effect of an old order on a new start is corrected
    The engine does not respond to an order for version 2, and has version 3
    after its next order. It starts again and then carries out the first order:
    the count of accepted orders that this order expects matches the new start
    by chance.

    Given an engine whose first order is delayed until it has started again
    Then the engine goes back to version 2 and has version 3 again within 3 s
