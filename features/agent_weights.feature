Feature: loading of new weights into an engine

  Scenario: one order is sent for a published version
    Given an engine and its agent
    When version 2 is published
    Then the engine has version 2 within 3 s after 1 order
    And the order contains its holder, a fencing token and the count of orders

  Scenario: an order without a response is sent again and executed once
    The engine does not respond to an order, and would execute it three
    seconds later, after the next order. By then the count of accepted orders
    that the first order expects is out of date, so the engine rejects it.

    Given an engine and its agent
    When version 2 is published and the first order is delayed
    Then the engine has version 2 within 4 s after 1 order
    And no older order takes effect later

  Scenario: fencing tokens increase, also across a restart of the agent
    Two models may share an engine, and a version of one model may be older
    than the last order for the other. If tokens could decrease, the engine
    would accept a delayed order as a new one.

    Given an engine and its agent
    When version 2 is published, the agent restarts and version 3 is published
    Then the tokens of the orders increase

  Scenario: an agent that missed several versions orders the newest one only
    Given an engine whose agent starts after versions 2 to 5 were published
    Then the engine has version 5 within 3 s after 1 order

  Scenario: engines load two at a time
    Given 5 registered engines of a service
    Then their loads begin 1000, 1000, 1950, 1950 and 2900 ms after a version is published

  Scenario: engines accept the items of a job submitted with a new version
    A trainer publishes a version and submits its next job at once. The job
    also accepts the version before. Engines that load at that moment refuse
    the job's items for a second, and all items queued behind them wait as
    long.

    Given an engine and its agent
    When version 2 is published
    Then the engine gets no order for 1 s

  Scenario Outline: models that share engines have engines of their own
    If every engine loaded the versions of all trainers, it would load all
    the time, and each job would wait.

    Given <engines> engines that <models> models share
    Then each model has <least> to <most> engines of its own
    And the loss of one engine changes the models of <moved> others at most

    Examples:
      | engines | models | least | most | moved |
      | 23      | 4      | 5     | 6    | 3     |
      | 5       | 1      | 5     | 5    | 0     |
      | 2       | 3      | 1     | 1    | 1     |

  Scenario: an agent that cannot reach the store receives versions through an entry
    Given an engine whose agent can no longer reach the store
    When version 2 is published
    Then the engine has version 2 within 12 s after 1 order

  Scenario: the evacuation of a storage VM is completed at once
    A storage VM holds no data that must be preserved.

    Given a storage VM that is to be evacuated
    Then its evacuation is completed within 1 s

  Scenario: all of a model's many engines load new weights in time
    Given 78 engines that 1 models share
    Then the last of them begins to load within 20 s

  Scenario: a job that ended long ago is removed from the store
    Objects of this service do not expire in the store. A job that can still
    be read stays, and an open job stays however old it is.

    Given a storage VM, a job that ended and one that is open
    Then both are in the store 150 s later
    And 260 s later only the open one is in the store, with all its parts

  Scenario Outline: an engine that is two versions behind loads at once
    No job accepts its weights any more: the next job accepts the published
    version and the one before. If the engine waited for the end of the burst
    of items, or for its turn, it could not run any items for seconds.

    Given an engine and its agent
    When version 2 is published, and version 3 <apart> ms later
    Then the engine has version 3 at most 1.3 s after that

    Examples:
      | apart |
      | 0     |
      | 500   |
