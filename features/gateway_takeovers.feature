Feature: jobs whose owner changes, ends or stops

  Scenario: the end of a job reaches the owner that took it over
    A job is taken over, and its first owner restarts. A trainer ends the job
    at an entry that knows only the first owner, which confirms the message.
    Guards against a second owner that is not notified and runs items until
    its next check of the store.

    Given a site whose job has a second owner and is ended at a third entry
    Then no engine works on its items half a second later

  Scenario: the end of a job at its former owner reaches its owner
    A job is taken over and its first owner does not know it. A trainer ends
    the job at the first owner. Guards against a first owner that stops its
    own items and notifies no other entry.

    Given a site whose job is ended at an owner that was taken over
    Then no engine works on its items half a second later

  Scenario: an owner that gets its job back continues to run it
    An entry takes a job over, is stopped at once and hands the job back to
    the first owner, which still runs it. Guards against a first owner that
    treats its own new term as another owner's: it stopped all items until the
    next read.

    Given a site whose owner gets its job back before it noticed the takeover
    Then its items continue to run without a reader

  Scenario: an entry without a manifest runs no job
    An entry restarts and can't reach the store, while the other entries reach
    the store and this entry. They send it a new job. Guards against an entry
    that accepts the job without a manifest: it can't start any item, responds
    to readers that the results are not known, and after ten seconds assumes
    that the job's route was removed. Once it reaches the store, it lists every
    item as lost.

    Given a site whose next owner starts again and is cut off from its store
    Then every item of the job is listed whole at another entry in time
    And none is listed as lost once the owner reaches the store

  Scenario: an entry that stops without any connection drops its jobs soon
    An entry is stopped while neither the store nor another entry responds. It
    tries to save the texts of its items before it drops its jobs. It serves
    readers meanwhile, so no entry takes the jobs over. Guards against items
    that run at no engine until all of its calls have timed out.

    Given a site whose owner reaches no store and no entry and is stopped
    Then another entry runs its items within 2 s

  Scenario: the end of a job reaches an entry that is loading it
    An entry takes a job over and the store is slow to list it. The job is
    ended meanwhile, and the entry is notified while it has no such job.
    Guards against an entry that then runs the job, whose record it read
    before the end, until its next check of the store.

    Given a site whose job is ended while its next owner takes 1.4 s to load it
    Then no engine works on its items half a second later

  Scenario Outline: a former owner runs nothing of a job that has ended
    Guards against an owner that was replaced, and is told neither of the
    takeover nor of the job's end. It read of them in an answer of the store
    that was seconds old, and ran the job for over 3 s after its end.

    Given a site whose owner was replaced, and <news> from then on
    When the job is ended at a third entry
    Then no item reaches an engine later than 3 s after the end

    Examples:
      | news                                            |
      | receives the messages of other entries          |
      | receives nothing, and its store answers are old |
