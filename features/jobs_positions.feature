Feature: positions of results

  Scenario: whatever the store and a second owner do, a position has one result
    Two owners run the same items at their own pace and list what they have.
    The store refuses calls, loses answers, and does some calls seconds
    later. An item at two positions would reach the trainer twice.

    Then in no history of two owners an item has two positions
    And both owners see the same results at the same positions

  Scenario: a result that another owner listed is not listed again later
    The item was finished here too, and waits for its group to be whole.

    Given a job whose owner has finished an item that another process lists
    When the rest of the item's group finishes at the owner
    Then the item has one position in the store

  Scenario: results that come in the last moment of a read are shown
    A reader waits for a second. Results are stored within its last 300 ms,
    while its owner asks the store whether there are others, which the store
    refuses. The reader was told 503 though the owner had what it came for.

    Given a job whose results are stored while the store refuses to be read
    When a reader has waited for a second
    Then it is shown the results that were stored
