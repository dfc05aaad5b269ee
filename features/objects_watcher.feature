Feature: following a kind of objects in the store

  Scenario: a change during an interruption is not missed
    The store stops reporting changes to watches, drops its history and cuts
    the watches, in this order. A watch that begins right after the cut waits
    for the next change and never gets the one before it. Callers would get
    responses by the old manifest for as long as this watch lasts.

    Given a site whose store hides a change from its watches and cuts them
    Then every entry has the newest manifest 2 s later

  Scenario: a kind is listed again after the store dropped its history
    Given a site whose store drops its history after a change
    Then every entry has the newest manifest 2 s later

  Scenario: registrations that expire in a store outage are kept two seconds
    Registrations expire while the store is unavailable. Running upstreams
    register again within two seconds of its return. If callers were refused
    until then, a short outage of the store would become one of the service.

    Given a site whose registrations expire during a store outage
    Then calls are answered right after the store's return
    And upstreams that are still missing 4 s later get no calls

  Scenario Outline: an upstream that leaves after watches <ended> gets no calls
    Guards against a single watch that is taken for an outage of the store: an
    upstream that was removed right after it got calls until it ended.

    Given a site where an upstream is removed 0.2 s after the watches <ended>
    Then no call reaches the upstream later than 2 s after its removal

    Examples:
      | ended       |
      | ended early |
      | were cut    |

  Scenario: another entry does not resume a relayed watch that was cut
    An entry has just lost its connection to the store, so another entry relays
    its watch. The store cuts that watch too, and a third entry would resume it
    from the old revision, where it gets later changes only.

    Given a site where another entry relays a watch that is cut
    Then every entry has the newest manifest 2 s later

  Scenario: a watch that ends without an event proves nothing
    The store reports nothing to watches while a change is made, and then ends
    them in order, without an event and at the newest revision. A watch from
    that revision would get later changes only.

    Given a site whose store ends watches without reporting a change
    Then every entry has the newest manifest 3 s later

  Scenario: a watch that gets no changes any more ends in time
    The store drops its history while a change is made, and does not cut the
    waiting watches: they stay open without a response. The consistency rules
    hold again three seconds later, and callers must get responses by the new
    manifest then.

    Given a site whose store drops its history and leaves watches waiting
    Then every entry has the newest manifest 3 s later

  Scenario: a waiting watch does not count as an unanswered call
    A call without a response for 350 ms is sent through another entry as well.
    A watch is meant to wait longer. If it counted as an unanswered call, it
    would be sent twice, and the entry would use other entries needlessly.

    Given a site that is idle for 10 s
    Then each entry made at most 5 watches of each kind

  Scenario: a watch that the store never answers times out
    The waiting watches end, and the store accepts the next ones while it is
    unresponsive, so that it never answers them. On reused connections, each
    watch was sent again after its timeout, and was lost again. The consistency
    rules hold three seconds after the store's return, but callers got
    responses by the previous manifest.

    Given a site whose store is silent for 6.5 s and never answers its watches
    Then every entry has the newest manifest 3 s later

  Scenario: a listing that the store never answers is hedged
    The store is unresponsive when its watches are cut. Each entry sends a
    listing directly and through other entries. The store never answers any of
    them, not even the second attempts on new connections. Right after those it
    returns with a new manifest. The listings time out three seconds later;
    callers got responses by the previous manifest until then.

    Given a site whose store never answers listings after it cut its watches
    Then every entry has the newest manifest 3 s later

  Scenario: a watch that is lost right before its way is back ends in time
    Guards against a watch whose time limit, pause and listing add up to more
    than the time after which the rules hold again.

    Given an entry without others whose way to the store fails for 0.1 s, often
    When the manifest and a registration change 0.3 s after each failure
    Then the entry knows both changes 3 s after each failure

  Scenario: an upstream that is removed while an entry is cut off is dropped
    Guards against a time for which a lapsed registration is kept that counts
    from when the entry noticed the interruption.

    Given an entry without others whose way to the store is cut, often
    When an upstream is removed before each time that the way is back
    Then the entry knows the upstream no more 3 s after the way is back
