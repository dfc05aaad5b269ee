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

