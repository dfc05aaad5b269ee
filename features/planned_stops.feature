Feature: entries that are stopped one after the other

  Scenario: bodies and pages are not denied while owners hand off a job
    Four of six entries are stopped as planned within a second, the job's
    owner first, while the store takes 0.4 s for each response. A trainer
    requests the bodies of the job's items and pages from all entries
    meanwhile. Guards against an owner that treats a job which it hands off
    like an ended one: it denied all bodies while the store saved the items'
    texts, and other entries forwarded that as "there is no such job or item".

    Given a site of 6 entries of which 4 stop 0.25 s after each other
    Then no body of an unlisted item was denied, and no page

  Scenario: the owner's log has the reason for which a body is denied
    A trainer receives 404 for a body. On-call engineers must see in the logs
    whether the item was listed, the job had ended or the item is unknown. The
    entry that received the request only knows that the owner sent no body.

    Given a site whose job is asked for bodies before and after its end
    Then the log tells that an item was listed, ended and unknown

  Scenario: a job continues at once when its owner stops
    The owner is stopped while links and store are busy, so that the store
    takes 0.4 s for each response. Guards against a handoff through the store:
    the owner saved the items' texts, then the next owner requested the job's
    record, claimed it and loaded the job: "kept after 1076 ms", "taken after
    854 ms". No entry ran the job meanwhile, and the trainer missed all groups.

    Given a site whose owner stops while the store takes 0.4 s an answer
    Then all 4 items continue elsewhere within 0.6 s, after their last event
    And all 4 results are listed, each once and whole

  Scenario: an owner that loaded a job slowly denies no result that was read
    An entry takes a job over whose owner is alive, and needs 1.4 s to load
    it. Meanwhile a trainer reads two results from the first owner. It reads
    from the second owner as soon as that has loaded the job. The loaded ledger
    is older than the first read, so the second owner must ask the store before
    it responds that there are no results.

    Given a site whose job is taken over by an entry that loads it in 1.4 s
    Then positions that were read at the first owner are not denied by it

  Scenario: a job that is submitted again is not started anew
    The owner is killed after two results were read. While the next owner
    loads the job, the trainer, which did not receive the first response,
    submits it again at a third entry. Guards against an entry that treats the
    job as new, so that the next owner adopts it without its results: "owned,
    term 2, 80 items, 0 listed", 48 of which had been read. All items ran
    again, and readers were told that there was no result at position 5.

    Given a site whose job is submitted again while its next owner loads it
    Then the next owner lists the 2 results that had been read
    And nothing that was listed ran again

  Scenario: a job that is adopted during a planned stop is handed off
    Guards against an owner that stops while it loads a job: it adopted the
    job too late for the handoff, and once it had ended no entry ran the job.

    Given a site whose next owner stops while it takes 1.4 s to load a job
    Then all 4 items run at its end, without a reader
