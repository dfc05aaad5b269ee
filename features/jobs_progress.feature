Feature: where the items of a job run, and when they move

  Scenario: a step at its worst load starts its longest items first
    A hundred items come at once before twelve slots. The longest takes as
    long as all that a slot can do, so each second that it waits is a second
    for the whole step.

    Given a board of 100 items with lengths of a heavy tail
    Then its longest items start first, the others in the job's order

  Scenario: an item that has to run again goes before those that have not
    Given a board of 10 items of which the first was refused
    Then the first item is the next one

  Scenario: failed attempts are paced and bounded
    An engine fails in a millisecond on the same item. Without a pause all
    attempts would be used up in one short fault.

    Given a board of 10 items of which the first fails at each run
    Then its runs begin after 0, 100 and 300 ms, and it is lost after 3

  Scenario: a group stays where its prompt is, as long as there is room
    Given engines with 1 of 4 and 0 of 4 slots taken
    Then an item of a group at home in the first goes there
    And an item of another group goes to the second
    And with 2 of 4 taken in the first the group's item goes to the second
    And with the first one full the group's item goes to the second

  Scenario: a step's burst fills the engines evenly
    Eight groups of eight come at once, their longest items first. Kept
    together at the engines of those, some engines would have sixteen items,
    others eight: full ones generate more slowly, or put items back for lack
    of memory. A prompt that is read again costs a millisecond.

    Given a number of 6 empty engines of 16 slots
    When a step of 8 groups of 8 items is placed
    Then no engine has more than 3 items more than another

  Scenario: an item moves once that gains a quarter of a second
    Given items at an engine of 40 ms and one of 100 ms an event
    Then an item with 100 events to go moves from the slow to the fast one
    And an item with 3 events to go stays
    And no item moves within half a second of its start

  Scenario: a wait for the first event is not an engine's pace
    A step begins: its items wait for their prompts and for slots. Taken for
    the engines' pace, every engine looks slow as soon as it has new items;
    all items move to the others, where the same begins. Each move costs a
    connection and a prompt, and steps take a second longer.

    Given an engine whose items waited 700 ms for their first event
    Then its pace is 40 ms an event
    And no item leaves it for another engine

  Scenario: a pause for new weights is not an engine's pace
    Given an engine whose items stood still for 950 ms between events
    Then its pace is 40 ms an event
    And no item leaves it for another engine

  Scenario: an engine that was not measured is not taken for a fast one
    Engines take 50 ms an event here. One that has just begun was not
    measured; taken for 40 ms, it would draw every item of the others.

    Given an engine that takes 50 ms an event, and one that was not measured
    Then no item leaves it for another engine

  Scenario: small differences of pace move nothing
    An engine is 6 % slower while it is fuller. By the time an item has
    moved, the other one is.

    Given engines that take 51 and 48 ms an event
    Then no item leaves it for another engine

  Scenario: an engine that turns slow is known after five events
    Given an engine that takes 140 ms an event after 40 ms
    Then an item with 100 events to go leaves it for another engine

  Scenario: nothing moves to an engine that stands still
    Two engines load weights at once; both look fast and have room.
    Given items at two engines that show no events for 400 ms
    Then no item moves between them
    And with a third engine that has room both move there

  Scenario: texts that a job does not take are made anew
    Then a text with a version below the least does not fit
    And a text of two versions does not fit a job of one

  Scenario: an upstream that refuses is probed by one request
    Sixteen items wait for an engine that loads weights. When its rest ends,
    one goes there; the others follow once it was taken.

    Given an upstream that refused a request
    Then it rests for 300 ms, takes one request, and others once that one runs

  Scenario: requests that break together count as one failure
    A reset cuts all of an upstream's connections at once. Counted one by
    one, sixteen broken items would keep a sound engine alone for 8 s, and
    every other one as well.

    Given an upstream whose 16 requests break in one moment
    Then it rests for half a second, and longer only if it breaks again

  Scenario: a slot at a fast engine goes to an outgrown item first
    A step has five times as many items as the engines have slots. Two of
    them have outgrown their hints, one of these at an engine that is half as
    slow again. While others wait, each slot that comes free is taken in the
    same moment; an item that gives its own slot up to move would find none.

    Given a site with a slow engine and a step of 2 long and 40 short items
    Then a long item leaves the slow engine while items wait for slots
    And it begins at the other one within 50 ms

  Scenario: a slot that is kept for an item is given up
    Given an engine with 1 free slot, kept for an item that moves
    Then nothing else is placed there for 200 ms, and then it is
