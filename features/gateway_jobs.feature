Feature: batch jobs at the entries

  Scenario: a job's results can be read at every entry
    Given a site that runs a job of groups 3,5 and 2,2
    Then both entries list the same 4 results, whole and by version 1
    And the bodies of listed items are gone
    And the job submitted again is accepted and runs nothing twice

  Scenario: results are listed group by group
    A trainer uses whole groups only. If a read returns half a group, another
    read has to fetch the rest, and the step waits half a second longer.

    Given a site that runs a job of groups 2,30 and 3,4
    Then the first page holds both items of the second group only

  Scenario Outline: a job that is submitted again after a refusal is accepted
    Guards against two failures: a refusal is so late that the trainer no
    longer waits for it, or the retry delay ends before the store recovers.

    Given a site whose store is <mode> for <away_s> s
    When a trainer submits a job, and again after the retry delay
    Then the first submission is refused within 1 s, the second is accepted

    Examples:
      | mode   | away_s |
      | silent | 2.5    |
      | busy   | 1.8    |

  Scenario: a job is refused at once while the store refuses all calls
    The trainer gets 503 with a retry delay and nothing of the job runs. The
    job is accepted once the store has recovered.

    Given a site whose store refuses calls when a job is submitted
    Then the job is refused within 1 s and nothing of it ran
    And the job is accepted and runs once the store has recovered

  Scenario: a job is not refused when the response to its creation is lost
    The store creates the job and its response is lost. With 503 the entry
    would promise that nothing runs; it reads the job back instead.

    Given a site whose store loses its responses when a job is submitted
    Then the job is accepted and every item is listed once

  Scenario: a job that was created before an outage is not refused
    Guards against a 503 for a job that runs after the outage: the store
    creates the job, resets the connection, and rejects the second attempt.

    Given a site whose store creates a job and then refuses calls
    Then the job is not refused, and it runs once the entries are restarted

  Scenario: the owner is killed in the middle of a step
    The entry that runs the steps of a trainer crashes. The next read finds
    that it is gone, and the entry that serves the read takes over the job.
    Long items continue from what was saved of them.

    Given a site whose owner is killed 2.2 s after a job of groups 90,3 and 4,2
    Then the other entry lists all 4 results, each once and whole
    And the long item was not generated from its beginning again

  Scenario: a planned stop of the owner does not delay a step
    The owner stops as planned in the middle of a step. It hands off the step
    with all that its items have, which includes finished texts of groups that
    are not whole yet.

    Given a site whose owner is stopped 2.2 s after a job of groups 90,3 and 80,2
    Then the other entry lists all 4 results, each once and whole
    And the step took at most 4.2 s
    And nothing was generated twice

  Scenario: a step is handed off past an entry that stops as well
    The entry to which the step is offered first stops as well. It does not
    accept the step, so the third one runs it. A read at a stopping entry does
    not make it an owner again.

    Given a site of 3 entries of which the owner and the next one stop
    Then the third entry lists all 4 results, each once and whole
    And the step took at most 4.2 s

  Scenario: a body is not denied while the owner hands off the step
    The owner stops as planned while the store is slow, so it takes a while to
    save what its items have. A trainer requests the body of a waiting item
    during that time. If it got 404, it would treat the item as lost.

    Given a site whose owner is stopped while its store takes 0.4 s an answer
    Then a body and a page asked for in that time are not denied

  Scenario: two owners cannot list different results at one position
    An owner is cut off from the other entries and from the store, and keeps
    running the job. A second one takes over and lists results. When the first
    one reaches the store again, records of the second one already have the
    next numbers, so it lists these first.

    Given a site whose owner is taken over while it still runs
    Then both entries list the same results in the same order
    And each item is listed once

  Scenario: a former owner does not hide what the new one has listed
    An owner makes no progress and does not know that another entry has taken
    over its job. A reader reads two results at the new owner, and then reads
    from the second position at the former one. That entry must return the
    result, or reply that it does not know it now.

    Given a site whose idle owner was taken over by one that listed 2 results
    Then the idle owner shows the second position as well
    And it cannot tell while it reaches no store

  Scenario: a delayed write of a record does not list an item twice
    The store receives a record, does not respond, and stores it two seconds
    later. The owner retries the same record under the same number.

    Given a site whose store delays two writes of results
    Then both entries list the same results in the same order
    And each item is listed once

  Scenario: an ended job runs no further
    Given a site whose job is ended at the other entry after 0.5 s
    Then no engine works on its items half a second later
    And the end is confirmed again, and what was listed stays listed

  Scenario: an owner that can't reach the store still lists results
    Only the owner can't reach the store. The other entry relays its calls.

    Given a site whose owner can't reach the store
    Then both entries list the same results in the same order

  Scenario: a job that takes long to load can still be read
    After a restart an entry behind a slow link loads a megabyte of results
    from the store, which takes longer than the timeout of other calls. If
    each load timed out, no entry could serve the job.

    Given a site whose store takes 1.4 s to list a job after a restart
    Then the other entry lists all 4 results, each once and whole

  Scenario: an unknown job gives 404, and 503 while the store is unreachable
    Given a site with a job that was never submitted
    Then a read of its results gets 404, and 503 during an outage

  Scenario Outline: items that always fail are listed as lost
    Given a site whose engines are <mode> for a job of groups 2,2
    Then the job's items are listed as lost after at most <runs> runs each

    Examples:
      | mode       | runs |
      | impossible | 1    |
      | failing    | 3    |

  Scenario Outline: an item is not lost by a late response to another item
    Guards against an item listed as lost though no engine failed to run it.

    Given a site whose engines each send <count> late responses of <status>
    Then every item of the job is listed whole
    And a late response was sent

    Examples:
      | count | status |
      | 1     | 422    |
      | 2     | 500    |

  Scenario: a stream that breaks off continues at another engine
    An engine breaks off in the middle of an event. The item continues after
    the last whole event, and no event is missing or doubled.

    Given a site whose first engine breaks off after 5 events
    Then every item of the job is listed whole
    And a run began behind event 5

  Scenario: the items of a stalled engine are moved to another one
    Given a site whose first engine stands still after 0.5 s
    Then every item of the job is listed whole within 4 s

  Scenario: only engines with the weights that a job requires get its items
    One engine has an older version, which the job does not accept. A text
    from that engine could not be used.

    Given a site whose first engine has old weights
    Then the first engine gets none of the job's items
    And every result names the newer version only

  Scenario: items that can't be run in time are listed as lost
    All engines hang. By the route's rules an item is lost after 3 s, so that
    the trainer does not wait longer for a result that will not exist.

    Given a site whose engines hang and whose route gives up after 3 s
    Then every item is listed as lost after 3 to 5 s

  Scenario: items whose route was removed are listed as lost
    The operator removes the route while a step runs at engines that hang. No
    item of the step can be started any more.

    Given a site whose route is taken away while its engines hang
    Then every item is listed as lost after 10 to 14 s

  Scenario: a slow store does not cause a takeover of a job
    The store takes half a second per response. The owner has to read from it
    before it replies that there are no more results yet, so that its replies
    to other entries come too late, and these treat it as gone. Each takeover
    costs seconds of such calls, and the items restart from what was saved
    last.

    Given a site whose store turns slow while a job of long items runs
    Then its owner stays the same, and no reader waits longer than 1.5 s
    And every item ran once despite the slow store

  Scenario: a run at an engine with older weights than registered ends at once
    The registration names version 2. The engine was replaced and still has
    version 1, as the head of its response shows. If the response were read to
    its end, a text of 2 s would be discarded and generated again.

    Given a site whose first engine is behind its registration
    Then every result names the newer version only
    And the results were there after less than 3.5 s

  Scenario: the result of a text from two versions names both
    The weights of an engine change in the middle of a stream, and the engine
    continues the stream.

    Given a site whose engines change weights in the middle of an item
    Then the item's result names both versions
