Feature: forecast of open jobs, kept groups and the order of items

  Scenario: a long item of a new step starts before short items with time left
    The slots are occupied by short items of an earlier step, which is due
    earlier but has time left. The long item takes most of the time that the
    new step has, so it cannot wait until all items of the earlier step ran.

    Given a site that runs a step of 64 items of 10 events
    When a step with an item of 150 events is submitted half a second later
    Then the long item starts within 0.5 s and both steps are on time

  Scenario: an item that cannot end on time starts at once where slots are free
    The step is late anyway, and its trainer waits for the item. Slots that no
    other item needs must not stay free.

    Given a site without work
    When a step with an item of 250 events is submitted
    Then the long item starts within 0.1 s

  Scenario: twice the steps that fit complete as many groups on time
    If items of all groups started in turn, all groups would end late
    together.

    Given a site that completes 10 of 10 groups on time
    When twice as many groups are submitted together
    Then at least 10 of them are complete on time

  Scenario: a job without a due time keeps its order
    All of its groups would count as late, and would start last.

    Given a site whose route states no due time
    Then the long items of a job start first and it has no forecast

  Scenario: engines that are about to load the weights of a job count for it
    At the start of a step, most engines have the version before. Unless they
    counted, nearly all groups would be deferred for the first seconds.

    Given a site whose engines have the version before that of a job
    Then all groups of the job are kept and it has a forecast

  Scenario: deferred groups are seen by an operator
    Given a site whose step has groups that cannot end on time
    Then its state, ctl, a log line and counters show them once

  Scenario: deferred items start last, group by group
    Given jobs of 12 groups of which half fit, on 2 slots
    Then the items of kept groups start first, the others group by group

  Scenario: an overdue step does not delay a new one
    Nothing can make the groups of the overdue step complete on time. Those
    with the least work come first, so that some are complete soon.

    Given an overdue job beside a new one that fits
    Then all groups of the new one are kept and all others are deferred
    And the overdue groups start in the order of their work

  Scenario: a resubmitted group is never deferred as beyond the target
    The trainer needs each resubmitted group. The others can replace each
    other, so the groups beyond the target with the longest items give way.

    Given a job whose target is 3 of 5 groups, with the longest resubmitted
    Then the resubmitted group and the 2 shortest are kept

  Scenario: a late item starts first where all others fit behind it
    Its trainer waits for it. If it waited for items that have time, the
    trainer would fall further behind, and nobody would gain.

    Given such a job whose other groups fit behind that item
    Then all of its groups are kept, and the long item starts first

  Scenario: a group whose longest item cannot end on time is deferred
    Given a job with an item that takes longer than the time until it is due
    Then only the group of that item is deferred, and the forecast is late

  Scenario: work of engines that a job cannot use does not count against it
    Given jobs on engines of their own, of which one has too much work
    Then only groups of that one are deferred

  Scenario: an item without a length hint counts with the mean of the others
    Then hints of 10, 0 and 30 events give 20, and no hint gives the default
    And an item that has outgrown its hint is expected to go on

  Scenario: an engine whose events arrived in one moment has a speed
    After a pause of the process, the measured event interval is zero. If the
    plan ended with an error, no job of the process would go on.

    Then engines of 0 and 100 ms an event together take some time

  Scenario: an item that moves starts first, whatever the order
    A slot at another engine is reserved for it. It would expire while the
    item waits for its turn.

    Given a queue whose last item moves to another engine
    When the order of its items is set
    Then the moved item is first and the others follow in that order

  Scenario: any plan has each item once, and more slots never keep fewer groups
    Then this holds for any jobs, and the same input gives the same plan
