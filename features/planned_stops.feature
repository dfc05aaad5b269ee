Feature: entries that are stopped one after the other

  Scenario: bodies and pages are not denied while owners hand a step on
    Four of six entries are stopped as planned within a second, the step's
    owner first, while the store takes 0.4 s an answer. A trainer asks all
    entries for the bodies of the step's items and for pages meanwhile. An
    owner took the step that it handed over for an ended one, and said for
    as long as the store took to keep the items' texts that there is no such
    item; the other entries passed that on as "there is no such job or item".

    Given a site of 6 entries of which 4 stop 0.25 s after each other
    Then no body of an item that waits was denied, and no page

  Scenario: why a body is denied stands in the owner's log
    A trainer is told 404 for a body. On call one has to tell from the logs
    whether the item was listed, the job had ended or the item is unknown:
    the entry that was asked knows only that its owner gave none.

    Given a site whose job is asked for bodies before and after its end
    Then the log tells that an item was listed, ended and unknown

  Scenario: a step goes on at once when its owner stops
    The owner is asked to stop while links and store are busy: an answer of
    the store takes 0.4 s. The store kept what the items had, then the next
    owner asked for the step's record, claimed it and loaded it, one after
    the other: "kept after 1076 ms", "taken after 854 ms". Nobody ran the
    step meanwhile, and the trainer missed all its groups.

    Given a site whose owner stops while the store takes 0.4 s an answer
    Then all 4 items run on elsewhere within 0.6 s, behind their last event
    And all 4 results are listed, each once and whole

  Scenario: what was loaded slowly is not taken for news
    An owner lives and is taken over by an entry that needs 1.4 s to load the
    step. A trainer reads two results at the first one meanwhile, and comes
    to the second one as soon as it has loaded: what it loaded is older than
    the read, and it must ask the store before it says that nothing is there.

    Given a site whose step is taken over by an entry that loads it in 1.4 s
    Then positions that were read at the first owner are not denied by it

  Scenario: a step that is handed in again is not begun anew
    The owner dies after two results were read. The next owner loads the step
    while its trainer, whose answer was lost, hands it in again at a third
    entry. That one took it for new and had it adopted without its results:
    "owned, term 2, 80 items, 0 listed", 48 of which had been read. All items
    ran again, and readers were told that there was nothing at position 5.

    Given a site whose step is handed in again while its next owner loads it
    Then the next owner lists the 2 results that had been read
    And nothing that was listed ran again

