Feature: items under which engines end

  Scenario: an item that ends every engine that runs it does not block its job
    Guards against an item that is never quarantined. A broken run did not
    count as a failure, so the item continued at the next engine at once, and
    all other items there started again each time: 26 ends of five engines in
    12 s, with the line `item j1.0.1 at engine-0: broken`. Now the item is
    quarantined after the third engine, and the training step ends without it.
    The item is not listed as lost, since no engine has reported that it can't
    be done.

    Given a site with 5 engines and a job in which one item ends engines
    When the job of 4 groups of 5 items runs for 12 s
    Then at most 6 engines end under the item
    And every other item is listed as completed, the item not at all

  Scenario: an item that ends engines stays in quarantine at the next owner
    The owner is killed after three engines have ended under an item. The
    entry that takes the job over has received the item's strikes before.

    Given a site with 5 engines and a job in which one item ends engines
    When the job of 2 groups of 4 items runs, and its owner is killed after 2 s
    Then at most 6 engines end under the item

  Scenario: a score call that ends services is quarantined
    The call that scores one text ends each service that runs it. It would be
    retried as long as its job is open, and callers use the same services.

    Given a site whose service ends under the score call of one item
    When its job runs for 12 s, and callers send calls all the time
    Then at most 6 services end under it
    And the texts of all other groups are listed with their scores

  Scenario: items with the same prompt are one request, whatever their ids are
    Guards against a request that ends each engine and arrives as many items:
    each item had its own count of strikes, and 8 items ended 27 engines in
    20 s.

    Five items are in progress when the first engine ends, and three more may
    start after that.

    Given a site with 5 engines and two jobs of one prompt that ends engines
    When they run for 12 s beside a job of 4 groups of 5 items
    Then at most 8 engines end under the item
    And every other item is listed as completed, the item not at all

  Scenario: path and prompt decide whether two items are the same request
    Guards against an item at fault that is counted anew under each id.

    Then items of one path and prompt are one request, others are not

  Scenario: an item that was refused a connection gets no strike
    Guards against strikes for runs that never began: they make harmless items
    suspects, and hide the strikes of the item at fault.

    Given a site with 3 engines, one of which is gone but still registered
    When a job of 4 groups of 5 items runs for 6 s
    Then items were refused a connection, and no entry knows of a strike

  Scenario: failures of an item count for all owners of its job
    Guards against an item that fails at each run, and is sent on as often as
    its route allows by each owner in turn.

    Given a site with 2 engines and a job in which one item always fails
    When its owner is stopped after 2 failures, where the route allows 3
    Then the item fails 3 times, and is listed as lost

  Scenario: saved failures of an item count for the next owner
    Guards against the same after the loss of an owner, but for what failed
    since the last save.

    Given a site with 2 engines and a job in which one item always fails
    When its owner is killed after 5 failures, where the route allows 6
    Then the item fails 8 times at most, and is listed as lost
