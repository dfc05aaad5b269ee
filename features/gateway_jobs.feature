Feature: batch jobs at the entries

  Scenario: a job's results can be read at every entry
    Given a site that runs a job of groups 3,5 and 2,2
    Then both entries list the same 4 results, whole and by version 1
    And the bodies of listed items are gone
    And the job submitted again is accepted and runs nothing twice

  Scenario: results are listed group by group
    A trainer uses whole groups only. A read that returns half a group takes
    the turn of the next one, and the step waits half a second longer.

    Given a site that runs a job of groups 2,30 and 3,4
    Then the first page holds both items of the second group only

  Scenario Outline: a trainer that comes twice gets its job taken
    Guards against a refusal so late that the trainer has given up, and
    against one that has it come again while the store is still away.

    Given a site whose store is <mode> for <away_s> s
    When a trainer hands a job in, and once more when it is told to
    Then it was refused within 1 s, and its job is taken then

    Examples:
      | mode   | away_s |
      | silent | 2.5    |
      | busy   | 1.8    |

  Scenario: a job is refused at once while the store is away
    The store refuses every call. The trainer gets 503 with a time to come
    back, nothing of the job runs, and it is accepted once the store is back.

    Given a site whose store refuses calls when a job comes
    Then the job is refused within 1 s and nothing of it ran
    And the job is accepted and runs when the store is back

  Scenario: a job whose creation got no answer is taken in, or not refused
    The store does the creation and its answer is lost. A 503 would promise
    that nothing runs; the entry reads the job back instead.

    Given a site whose store loses the answers when a job comes
    Then the job is accepted and every item is listed once

  Scenario: the owner is killed in the middle of a step
    The entry that runs the steps of a trainer dies. The next read finds it
    gone and takes the job over; long items go on where they were kept.

    Given a site whose owner is killed 2.2 s after a job of groups 90,3 and 4,2
    Then the other entry lists all 4 results, each once and whole
    And the long item was not generated from its beginning again

  Scenario: a planned stop of the owner costs a step nothing
    The owner is asked to stop in the middle of a step. It hands the step on
    with all that its items have, finished texts of groups that are not
    whole included.

    Given a site whose owner is stopped 2.2 s after a job of groups 90,3 and 80,2
    Then the other entry lists all 4 results, each once and whole
    And the step took at most 4.2 s
    And nothing was generated twice

  Scenario: entries that stop one after the other pass a step on
    The entry that the step is handed to stops as well. It takes nothing, so
    the third one runs the step. A reader that comes to a stopping entry does
    not make it an owner again.

    Given a site of 3 entries of which the owner and the next one stop
    Then the third entry lists all 4 results, each once and whole
    And the step took at most 4.2 s

  Scenario: a body is not denied while its owner hands the step over
    The owner is asked to stop while the store is slow, so it takes a while
    to keep what its items have. A trainer asks for the body of an item that
    waits just then: told that there is none, it would take it for lost.

    Given a site whose owner is stopped while its store takes 0.4 s an answer
    Then a body and a page asked for in that time are not denied

  Scenario: two owners cannot give one position to different results
    An owner is cut off from the others and from the store, and goes on. A
    second one takes over and lists results. When the first one reaches the
    store again its records come second, and it takes over the others'.

    Given a site whose owner is taken over while it still runs
    Then both entries list the same results in the same order
    And each item is listed once

  Scenario: an owner that was taken over does not hide what others listed
    An owner makes no progress and is taken over without knowing. A reader
    reads two results at the other entry and comes to the first owner with
    the second position: it must be there, or not be denied.

    Given a site whose idle owner was taken over by one that listed 2 results
    Then the idle owner shows the second position as well
    And it cannot tell while it reaches no store

  Scenario: a record that was stored late does not double an item
    The store gets a record, answers nothing, and stores it two seconds
    later. The owner tries the same record under the same number.

    Given a site whose store delays two writes of results
    Then both entries list the same results in the same order
    And each item is listed once

  Scenario: an ended job runs no further
    Given a site whose job is ended at the other entry after 0.5 s
    Then no engine works on its items half a second later
    And the end is confirmed again, and what was listed stays listed

  Scenario: an entry that was cut from the store lists results all the same
    The owner alone is turned away by the store. Its calls go through the
    other entry.

    Given a site whose owner is turned away by the store
    Then both entries list the same results in the same order

  Scenario: a job that takes long to load can be read all the same
    After a restart an entry behind a slow link loads a megabyte of results
    from the store, which takes longer than other calls may. Given up each
    time, the job could not be read anywhere.

    Given a site whose store takes 1.4 s to list a job after a restart
    Then the other entry lists all 4 results, each once and whole

  Scenario: a job that nobody knows is not found, and unknown in an outage
    Given a site with a job that was never handed in
    Then its results are answered with 404, and in the outage with 503

  Scenario Outline: items that cannot be done are lost, not run for ever
    Given a site whose engines are <mode> for a job of groups 2,2
    Then the job's items are listed as lost after at most <runs> runs each

    Examples:
      | mode       | runs |
      | impossible | 1    |
      | failing    | 3    |

  Scenario: a stream that breaks goes on at another engine
    An engine breaks off in the middle of an event. The item goes on behind
    the last whole event, and no event is missing or doubled.

    Given a site whose first engine breaks off after 5 events
    Then every item of the job is listed whole
    And a run began behind event 5

  Scenario: an engine that stands still loses its items to another
    Given a site whose first engine stands still after 0.5 s
    Then every item of the job is listed whole within 4 s

  Scenario: only engines with the weights that a job wants get its items
    One engine is behind by a version that the job does not take. What it
    would generate could not be used.

    Given a site whose first engine has old weights
    Then the first engine gets none of the job's items
    And every result names the newer version only

  Scenario: items that can't be run in time are listed as lost
    All engines hang. The route gives items up after 3 s; a trainer that
    waited for them longer would wait for nothing.

    Given a site whose engines hang and whose route gives up after 3 s
    Then every item is listed as lost after 3 to 5 s

  Scenario: items whose route is gone are listed as lost
    The operator takes the route away while a step runs at engines that
    hang. Nothing can be started for it any more.

    Given a site whose route is taken away while its engines hang
    Then every item is listed as lost after 10 to 14 s

  Scenario: a slow store is no reason to take a job from its owner
    The store takes half a second an answer. The owner has to ask it before
    it says that there is nothing more yet, and answers its readers too late:
    they take it for gone. Each takeover costs seconds of such calls, and the
    items begin anew where they were kept last.

    Given a site whose store turns slow while a job of long items runs
    Then its owner stays the same, and no reader waits longer than 1.5 s
    And every item of the slow store ran once

  Scenario: an engine that is behind its registration is left at once
    The registration says version 2; the engine was replaced and still has
    version 1, as the head of its answer tells. Read to its end, a text of
    2 s would be thrown away and made again.

    Given a site whose first engine is behind its registration
    Then every result names the newer version only
    And the results were there after less than 3.5 s

  Scenario: a text over two versions names both
    Weights change in the middle of a stream, and the engine goes on.

    Given a site whose engines change weights in the middle of an item
    Then the item's result names both versions
