Feature: placement of items by length and by engine speed

  Scenario: long items run at fast engines, short ones leave these free
    A quarter of the engines take twice as long for an event. The step ends
    with its longest item, which takes twice as long at a slow engine. If
    short items occupied the fast engines, or if a busy engine counted as a
    slow one, long items would run at the slow engines.

    Given 4 engines of 8 slots of which the first takes 80 ms an event, not 40
    Then an item as long as the longest one goes to e1
    And a short item goes to e0
    And an item that is short only where events are fast goes to e1
    And an item of unknown length goes to e1
    When the fast engines have 5, 4 and 6 requests
    Then an item as long as the longest one goes to e2
    When the first engine is full
    Then a short item goes to e2
    And a short item whose prompt is cached at e3 goes to e2
    When the fast engines have 4, 4 and 4 requests
    Then a short item whose prompt is cached at e3 goes to e3

  Scenario: engines of nearly equal speed are chosen by load and prompt only
    An engine is 5 % slower with all slots in use than without load. If that
    counted as a difference in speed, items would collect at some engines.

    Given 3 engines that take 42, 40 and 41 ms an event
    Then items of every length go where an item of unknown length goes
    And with 3, 1 and 2 requests an item goes to e2, which has its prompt

  Scenario: an engine that was not measured counts with the median interval
    Given 3 engines that take 80, 40 and 40 ms an event, and one not measured
    Then an item as long as the longest one never goes to e0

  Scenario: a free slot is always used, and never more than there are
    An interval of zero is measured where the owner was paused and then reads
    many events at once. If no engine were as fast as the fastest one then,
    the owner's task would end with an error and start no more items.

    Then any items are placed at eligible engines with a free slot, if any has

  Scenario: an item is short by what it still lacks, hint or not
    Then an item with half of its events lacks half, and one without hint none

  Scenario: lengths are converted to events by the tokens that the manifest states
    Given a site whose manifest states 116 tokens an event
    Then an item with a hint of 1160 tokens is expected to have 10 events

  Scenario: the long items of a step run at the fast engines of a site
    Given a site of 4 engines of which the first takes twice as long
    When a step follows one by which the engines were measured
    Then its long items run at fast engines only, and the slow one has others
