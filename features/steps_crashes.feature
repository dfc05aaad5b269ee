Feature: items under which engines end, and score calls under which services do

  Scenario: an item under which engines ended by chance is placed again
    Guards against a sound item that is never placed again, since engines ended
    while they ran it in a burst of crashes.

    Given a site with 5 engines and a job with one item of a long text
    When 5 engines end while they run the item
    Then the item is at an engine again within 1 s
    And all items are listed as completed

  Scenario: an item under which engines ended is placed by the next owner
    Guards against a next owner that holds a sound item back because of what
    the owner before it has told.

    Given a site with 5 engines and a job with one item of a long text
    When 5 engines end while they run the item, and then its owner is killed
    Then all items are listed as completed

  Scenario: items of a prompt under which engines ended run side by side
    Guards against items of one prompt that run one after the other, since
    engines ended under one of them.

    Given a site with 5 engines and a job of 4 items of one prompt
    When 2 engines end while they run one of the items
    Then all 4 items are at engines within 1 s

  Scenario: an item under which engines ended is placed in a later step
    Guards against a sound item that the next step of a trainer has as well,
    where it is held back.

    Given a site with 5 engines and a job with one item of a long text
    When 5 engines end while they run the item, and it comes again in a new job
    Then the item is at an engine again within 1 s

  Scenario: a score call that ends services is quarantined
    The call that scores one text ends each service that runs it. It would be
    retried as long as its job is open, and callers use the same services.

    Given a site whose service ends under the score call of one item
    When its job runs for 12 s, and callers send calls all the time
    Then at most 6 services end under it
    And the texts of all other groups are listed with their scores

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

  Scenario: an item that can never run is not run by the next owners
    Guards against an item that was answered 422 while its group is open, and
    is run again by each next owner of its job.

    Given a site with 2 engines and a job in which one item can never run
    When its owners are stopped one after the other, 3 in all
    Then the item was run 1 time, and is listed as lost

  Scenario: saved failures of an item count for the next owner
    Guards against the same after the loss of an owner, but for what failed
    since the last save.

    Given a site with 2 engines and a job in which one item always fails
    When its owner is killed after 5 failures, where the route allows 6
    Then the item fails 8 times at most, and is listed as lost
