Feature: new weights at an engine

  Scenario: a published version is ordered once
    Given an engine and its agent
    When version 2 is published
    Then the engine has version 2 within 3 s after 1 order
    And the order names its holder, a fencing token and the count of orders

  Scenario: an order that got no answer is given again and done once
    The engine answers nothing and would carry the order out three seconds
    later, after the one that came next. The count of accepted orders that
    the first one expects does not hold any more by then.

    Given an engine and its agent
    When version 2 is published and the first order comes late
    Then the engine has version 2 within 4 s after 1 order
    And no older order takes effect later

  Scenario: fencing tokens grow, also over a restart of the agent
    Two models share an engine in the field, and a version of the one may be
    older than the last order about the other. A token that went back would
    let a late order pass for a new one.

    Given an engine and its agent
    When version 2 is published, the agent restarts and version 3 is published
    Then the tokens of the orders grow

  Scenario: an agent that was away orders the newest version only
    Given an engine whose agent starts after versions 2 to 5 were published
    Then the engine has version 5 within 3 s after 1 order

  Scenario: engines take turns, two at a time
    Given 5 engines of a service in a list
    Then their turns to load begin 1000, 1000, 1950, 1950 and 2900 ms after the news

  Scenario: a step that is asked with a new version finds its engines
    A trainer names a version and asks its next step at once, which takes
    the version before as well. Engines that load in that moment refuse the
    step's items for a second, and every item behind them waits as long.

    Given an engine and its agent
    When version 2 is published
    Then the engine takes no order for 1 s

  Scenario Outline: models that share engines have engines of their own
    Loaded everywhere, the versions of all trainers would keep every engine
    loading, and each step would wait.

    Given <engines> engines that <models> models share
    Then each model has <least> to <most> engines of its own
    And the loss of one engine changes the models of <moved> others at most

    Examples:
      | engines | models | least | most | moved |
      | 23      | 4      | 5     | 6    | 3     |
      | 5       | 1      | 5     | 5    | 0     |
      | 2       | 3      | 1     | 1    | 1     |

  Scenario: an agent that cannot reach the store hears of versions through an entry
    Given an engine whose agent loses its way to the store
    When version 2 is published
    Then the engine has version 2 within 12 s after 1 order

  Scenario: a storage machine may be taken away as soon as that is asked
    It keeps nothing that must last.

    Given a storage machine that is to be emptied
    Then its evacuation is completed within 1 s

  Scenario: a model's many engines have new weights in time
    Given 78 engines that 1 models share
    Then the last of them begins to load within 20 s

  Scenario: a job that ended long ago leaves the store
    Nothing of ours expires by itself. A job that can still be asked for
    stays, and one that is open stays however old it is.

    Given a storage machine, a job that ended and one that is open
    Then both are in the store 150 s later
    And 260 s later only the open one is, with all its parts

  Scenario Outline: an engine that is two versions behind loads at once
    No step takes its weights any more: the next one takes the version that
    is named and the one before. Waiting for the burst to be over, or for its
    turn, it would be of no use to anybody for seconds.

    Given an engine and its agent
    When version 2 is published, and version 3 <apart> ms later
    Then the engine has version 3 at most 1.3 s after that

    Examples:
      | apart |
      | 0     |
      | 500   |
