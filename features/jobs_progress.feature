Feature: order, placement and moves of a job's items

  Scenario: the longest items of a step start first
    A hundred items arrive together for twelve slots. The longest item takes
    as long as all the work that a slot can do, so each second that it waits
    delays the whole step by a second.

    Given a queue of 100 items with heavy-tailed lengths
    Then its longest items start first, the others in the job's order

  Scenario: an item that has to run again starts before those not yet started
    Given a queue of 10 items of which the first was refused
    Then the first item is the next one

  Scenario: retries of an item are paced and bounded
    An engine fails on the same item within a millisecond. Without pauses one
    short fault would use up all attempts.

    Given a queue of 10 items of which the first fails at each run
    Then its runs begin after pauses of 0, 100 and 300 ms, and it is lost after 3

  Scenario: a group runs where its prompt is cached, as long as there is room
    Given engines with 1 of 4 and 0 of 4 slots taken
    Then an item of a group with its prompt cached at the first goes there
    And an item of another group goes to the second
    And with 2 of 4 taken in the first the group's item goes to the second
    And with the first one full the group's item goes to the second

  Scenario: the items of a step spread evenly over the engines
    Eight groups of eight items arrive together, the longest items first. If
    each group stayed at the engine of its longest item, some engines would
    have sixteen items and others eight. Full engines generate more slowly, or
    preempt items when they run out of memory, while reading a prompt again
    costs a millisecond.

    Given a number of 6 empty engines of 16 slots
    When a step of 8 groups of 8 items is placed
    Then no engine has more than 3 items more than another

  Scenario: an item moves if that gains more than a quarter of a second
    Given items at an engine of 40 ms and one of 100 ms an event
    Then an item with 100 events to go moves from the slow to the fast one
    And an item with 3 events to go stays
    And no item moves within half a second of its start

  Scenario: the wait for the first event does not count as an event interval
    At the start of a step, items wait for their prompts and for slots. If
    these waits counted as event intervals, each engine would seem slow as
    soon as it has new items, and all items would move to the other engines,
    where the same happens. Each move costs a connection and a prompt, and
    steps would take a second longer.

    Given an engine whose items waited 700 ms for their first event
    Then its event interval is 40 ms
    And no item leaves it for another engine

  Scenario: a pause to load weights does not count as an event interval
    Given an engine whose items paused for 950 ms between events
    Then its event interval is 40 ms
    And no item leaves it for another engine

  Scenario: an engine that was not measured does not seem fast
    The engines of this site take 50 ms an event. An engine that has just
    started was not measured. If it were assumed to take 40 ms, all items of
    the others would move to it.

    Given an engine that takes 50 ms an event, and one that was not measured
    Then no item leaves it for another engine

  Scenario: no item moves for a small difference between event intervals
    An engine is 6 % slower while it has more items. By the time an item has
    moved, the other engine is the slower one.

    Given engines that take 51 and 48 ms an event
    Then no item leaves it for another engine

  Scenario: an engine that becomes slow is detected after five events
    Given an engine that takes 140 ms an event after 40 ms
    Then an item with 100 events to go leaves it for another engine

  Scenario: no item moves to a stalled engine
    Two engines load weights at the same time. Both seem fast and have free
    slots.

    Given items at two engines that send no events for 400 ms
    Then no item moves between them
    And with a third engine that has room both move there

  Scenario: a text under versions that its job does not accept is made again
    Then a text with a version below the minimum is not accepted
    And a text of two versions is not accepted by a job that wants one

  Scenario: one request probes an upstream that refused another
    Sixteen items wait for an engine that loads weights. When its backoff ends,
    one item is sent there; the others follow once that one was accepted.

    Given an upstream that refused a request
    Then it gets no request for 300 ms, then one, and more once that one runs

  Scenario: requests that break together count as one failure
    A reset closes all connections of an upstream at once. If sixteen broken
    items counted one by one, neither this healthy engine nor any other would
    get requests for 8 s.

    Given an upstream whose 16 requests break in one moment
    Then it is avoided for half a second, and longer only if it breaks again

  Scenario: a slot at a fast engine goes first to an item that moves there
    A step has five times as many items as the engines have slots. Two of the
    items have outgrown their length estimates, and one of these runs at an
    engine that takes half as long again for an event. While items wait, each
    slot that becomes free is used in the same moment. A long item that
    releases its own slot in order to move would find no other without a
    reservation.

    Given a site with a slow engine and a step of 2 long and 40 short items
    Then a long item leaves the slow engine while items wait for slots
    And it begins at the other one within 50 ms

  Scenario: the reservation of a slot for an item expires
    Given an engine with 1 free slot, reserved for an item that moves
    Then no other item is placed there for 200 ms, and then one is

  Scenario: intervals that others measured count until this process measures
    Guards against a new owner that places the long items of its first step at
    slow engines, and against one that trusts others more than itself.

    Given an engine that was never measured, and of which others tell 90 ms
    Then its event interval is 90 ms
    And after measurements of 40 ms its event interval is 40 ms
