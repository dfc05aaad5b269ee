Feature: weight loads that agents announce to the owners of jobs

  Scenario: an announced load moves the long item at once and gets no new ones
    An engine that loads weights generates nothing and refuses items. Without
    the announcement the owner notices that after 350 ms without an event, and
    new items are refused until then.

    Given a site whose engines two models share, with an item at each engine
    And the other engines have loaded version 2
    When the first engine is ordered to load version 2 of its model
    Then its item continues at another engine within 100 ms
    And the engine gets no item until it has the version
    And it gets items within 400 ms after that
    And the owner has counted 1 announcements, 1 items moved

  Scenario: an item waits a moment where no other engine has loaded
    An engine that loads at the same time announces that milliseconds later.
    It would refuse the item.

    Given a long item at a fast engine that is about to load weights
    Then it moves at once only to an engine that has loaded, to any after 50 ms

  Scenario: a service of one model needs no announcements
    Its items run at all engines, and so few engines load at a time that the
    others have room.

    Given a site whose engines one model has, with an item at each engine
    When the first engine is ordered to load version 2 of its model
    Then the owner has counted 0 announcements, 0 items moved

  Scenario: an announcement without an end expires
    The agent ends after its announcement, and the engine never loads. If it
    stayed closed, its slots would not be used until it restarts.

    Given a site whose engines two models share, with an item at each engine
    When the owner is told that the first engine loads 2
    Then the engine gets no item for 1.4 s, and gets items after 1.7 s

  Scenario: an announcement that arrives after the load is ignored
    The message is delayed by a slow connection. If it were not ignored, an
    engine that is ready would get no items for 1.5 s.

    Given a site whose engines two models share, with an item at each engine
    When the owner is told that the first engine has 2 and then loads 2
    Then the engine gets no item for 0 s, and gets items after 0.3 s

  Scenario: the notification of an earlier load does not open an engine
    Given a site whose engines two models share, with an item at each engine
    When the owner is told that the first engine loads 3 and then has 2
    Then the engine gets no item for 1.4 s, and gets items after 1.7 s

  Scenario Outline: a load is ordered although its announcement fails
    An entry of the previous release answers 400 to a message that it cannot
    decode. A paused one does not answer. In both cases the engine must get
    its weights as soon as otherwise.

    Given a site whose engines two models share, with an item at each engine
    And entries that <fault>
    When the first engine is ordered to load version 2 of its model
    Then the order was sent at most 160 ms after the announcement
    And the engine has loaded version 2

    Examples:
      | fault                       |
      | are of the previous release |
      | do not answer announcements |

  Scenario: an entry rejects the messages of later releases
    If it ended the connection or an error passed on, the sender could not
    tell it from an entry that is gone.

    Then an entry answers 400 to a message that it cannot decode

  Scenario: only an item that is accepted during the load opens an engine
    An item was sent before the announcement arrived. The engine accepts it
    just before the load begins. If that opened the engine, all waiting items
    would be sent there and refused.

    Given an upstream that is closed for 1500 ms
    Then an acceptance 50 ms later leaves it closed
    And an acceptance 400 ms later opens it
    And it is open 1500 ms later without any

  Scenario: an item stays if it would lose more at a slower engine
    Given a long item at a fast engine that is about to load weights
    Then it moves to an engine that is as fast, not to one twice as slow
    And a short item moves to the slower one

  Scenario: an item that stays during a load stays after it
    All free slots are at engines that take three times as long. When the load
    is over, the item has sent no event for a second. If it moved then, it
    would have lost the time of the load and the speed of its engine.

    Given a site whose engines two models share, with an item at each engine
    And a first engine that is three times as fast as the others
    When the first engine is ordered to load version 2 of its model
    Then its items are still there after the load

  Scenario: no item moves twice, or to an engine that loads or is full
    Then any items at engines of which some load move to free slots of others
