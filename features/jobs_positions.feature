Feature: positions of results

  Scenario: a position has one result, whatever the store and a second owner do
    Two owners run the same items, each at its own speed, and list their
    results. The store rejects calls, loses answers, and executes some calls
    0.7 s late. A trainer would receive an item at two positions twice.

    Then in no history of two owners an item has two positions
    And both owners see the same results at the same positions

  Scenario: a result that another owner has listed is not listed again
    This owner has finished the item too; its result waits until the group is
    complete.

    Given a job whose owner has finished an item that another process lists
    When the rest of the item's group finishes at the owner
    Then the item has one position in the store

  Scenario: a read returns results that are stored shortly before it ends
    A read waits for a second. Within its last 300 ms results are stored,
    while the owner checks in the store whether there are others, and the
    store rejects that call. The reader would receive a 503 although the owner
    has results for it.

    Given a job whose results are stored while the store rejects reads
    When a reader has waited for a second
    Then it receives the results that were stored
