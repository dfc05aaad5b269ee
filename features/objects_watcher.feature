Feature: following a kind of objects in the store

  Scenario: a change during an interruption is not missed
    The store stops telling watches of changes, drops its history and cuts
    them, in this order. A watch that begins right after the cut waits for
    the next change and never hears of the one before it. Callers would get
    answers by the old manifest for as long as the watch lasts.

    Given a site whose store becomes deaf, changes and cuts its watches
    Then every entry has the newest manifest 2 s later

  Scenario: without its history the store is listed again
    Given a site whose store drops its history after a change
    Then every entry has the newest manifest 2 s later

  Scenario: upstreams that lapsed with the store stay for two seconds
    Registrations expire while the store is away. The living register again
    within two seconds of its return; refusing callers until then would turn
    a short outage of the store into one of the service.

    Given a site whose registrations lapse while the store is away
    Then calls are answered right after the store's return
    And upstreams that are still missing 4 s later get no calls

  Scenario: a relayed watch that was cut is not begun again by another entry
    The entry was cut off a moment ago, so its watch waits at another entry.
    The store cuts that one too, and a third entry would go on with it from
    the old revision: it hears of later changes only.

    Given a site where an entry's watch waits at another entry when it is cut
    Then every entry has the newest manifest 2 s later

  Scenario: a watch that ends without an event proves nothing
    The store tells watches of nothing while a change is made, and then ends
    them in order, without an event and at the newest revision. A watch from
    there would be told of later changes only.

    Given a site whose store ends watches without telling of a change
    Then every entry has the newest manifest 3 s later

  Scenario: a watch that is told of nothing any more is not trusted for long
    The store drops its history while a change is made, and does not cut the
    watches that wait: they stay open and silent. The rules hold again three
    seconds later, and callers must be answered by the new manifest.

    Given a site whose store drops its history and leaves watches waiting
    Then every entry has the newest manifest 3 s later

  Scenario: a watch that waits is no call without an answer
    A call that gets no answer for 350 ms goes through another entry as well.
    A watch waits longer by its nature; taken for such a call it would be
    made twice, and the entry would go round by others for nothing.

    Given a site that is idle for 10 s
    Then each entry made at most 5 watches of each kind

  Scenario: a watch that the store has swallowed is given up in time
    The watches that wait end, and the next ones are taken by a store that is
    silent by now and never answers them. Sent on kept connections, each was
    sent again when its time was up, and swallowed again. The rules hold three
    seconds after the store's return, and callers were answered by the
    manifest of before.

    Given a site whose store is silent for 6.5 s and never answers its watches
    Then every entry has the newest manifest 3 s later

  Scenario: a listing that the store has swallowed is not waited for
    The store is silent when its watches are cut. Each entry lists, by itself
    as well as through others; nothing of that is ever answered, not even the
    second attempts on new connections. Right after those the store is back
    with a new manifest. The listings run out of time three seconds later;
    callers were answered by the manifest of before meanwhile.

    Given a site whose store swallows the listings after its watches were cut
    Then every entry has the newest manifest 3 s later
