Feature: jobs that reach an owner a second time, or late

  Scenario: an ended job that is submitted again runs nothing
    A trainer ends a job, and its owner restarts. A client that received no
    response submits the job again. Guards against an entry that sends the job
    to its owner without its end, so that engines run items for no client.

    Given a site whose owner restarts and receives an ended job again
    Then the job is accepted and no engine works on its items

  Scenario: a job that is submitted again shows the listed results
    The owner restarts while the store is slow to list, and the job is
    submitted again. Guards against an owner that treats the job as new: a
    reader was told that there is no result at a position which it had read.
    Items ran a second time.

    Given a site whose owner restarts and receives a running job again
    Then each entry returns the second result, or 503
    And no listed item runs a second time

  Scenario: a stopping entry does not run a job that is submitted again
    An entry stops and has handed off its job. The job is submitted again at
    this entry. Guards against an entry that treats the job as new: it ran the
    items a second time and denied positions that were read before.

    Given a site whose only entry receives its job again while it stops
    Then each entry returns the second result, or 503
    And no listed item runs a second time

  Scenario: a list of results that arrives late is no proof
    A second entry takes a job over, and the store's list of its results
    arrives seconds late. Meanwhile the first owner lists two results, and
    they are read. Guards against a second owner that assumes that the list
    shows the store's present state, and denies a position that was read two
    seconds before.

    Given a site whose second owner gets a list of results 2.5 s late
    Then each entry returns the second result, or 503

  Scenario: a new job that another entry sends late is looked up first
    An entry was paused and receives a new job late. The sender has timed out
    meanwhile, and runs the job itself. Guards against an entry that assumes
    that the job has no results, and denies a position that was read before.

    Given a site whose entry gets a new job after another has listed 2 results
    Then each entry returns the second result, or 503

  Scenario: a lookup that is answered late does not restore an old term
    An owner gets its job back in a later term. The response to a lookup that
    it began before arrives seconds late, with the record of that time. Guards
    against an owner that replaces its record by the old one, and stops the
    job after its next check of the store.

    Given a site whose owner has its job in a later term, and an old record
    Then its term stays, and the job is listed whole
