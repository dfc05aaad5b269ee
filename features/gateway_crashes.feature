Feature: requests under which upstreams end

  Scenario: the log tells of each attempt under which an upstream ended
    A call ends the upstream that runs it, and the next one, and comes again
    at another entry under another id. The line of the call itself tells of
    its last attempt only. Each attempt has a line with what stays the same,
    so that the logs of all entries can be joined.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When it comes at each entry, 6 s apart
    Then each end of an upstream has a line with the same fingerprint

  Scenario: a request under which three upstreams ended is left alone
    A call ended each upstream that ran it. Once they were back it came again
    under another id, at another entry. Attempts were counted for one arrival
    only. Nothing told an entry what the call had done a moment ago, or
    elsewhere: each sent it to every upstream there was, so all other callers
    found none. The logs of four entries, joined, show it:
      frontend-ebene-1    37.30 /ye68/bac018: no response from 10.3.64.8
      frontend-ebene-2    41.34 /ye68/bac018: no response from 10.3.64.8
      frontend-curepipe-1 45.61 /ye68/bac018: no response from 10.1.64.5
    Three upstreams ended before each of these lines, nine in all; here it
    was 20, and 9 of 9 retries reached some.

    Given a site with 4 entries and a request that ends the upstreams it reaches
    When it comes 10 times, each time at the next entry, 5 s apart
    Then at most 3 of its retries reach an upstream once three have ended

  Scenario: a call that an upstream ended under is not told as not run
    The entry keeps a connection to the one upstream that there is. A call
    goes out on it, and the upstream ends. The entry takes the break for that
    of an idle connection, sends the call again and finds nobody listening.
    The caller was told 503, which says that nothing ran.

    Given a site with 1 upstream, and a connection to it is kept
    When a request comes under which the upstream ends
    Then the caller gets 504, which promises nothing

  Scenario: a call that may have run is not told as not run by the next start
    The same, and another upstream is at the address at once. That one says
    truthfully that it has not run the call. The one before may have.

    Given an upstream that breaks a kept connection and is replaced
    When a call is sent there
    Then the call may have run, and the upstream is known as replaced

  Scenario: a request that comes to several entries at once is left alone
    The same, and it always comes to two entries in the same moment, for two
    minutes. Whenever its rest is over both of them try it, before either can
    tell the other: each rest costs two attempts, so the second rest has to
    be long.

    Given a site with 4 entries and a request that ends the upstreams it reaches
    When it comes 22 times, each time at two entries at once, 5 s apart
    Then at most 3 of its retries reach an upstream once three have ended

  Scenario: a quarantined call is refused at once, with the time to come back
    Two upstreams have ended under a call. What comes again is not kept
    waiting, at whichever entry: it did not run, and will not for some
    seconds. The upstream that is left serves all others meanwhile.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When it comes at one entry and 0.1 s later at the other
    Then the second one gets 503 within 20 ms, to come back after 4 to 5 s
    And one upstream has not ended, and serves other callers
    And the status of both entries names it, with 2 upstreams ended

  Scenario: new software may have mended what made upstreams end
    A call rests longer with each upstream that ends under it, but not for
    ever. Once one has answered it, nothing is held against it.

    Given a site with 1 entries and a request that ends the upstreams it reaches
    When it comes twice, and again 130 s later when they have been mended
    Then it is answered, and hedged and repeated like any other

  Scenario: a request is not suspected for what ran beside it
    Another call is in progress at each upstream that ends, and goes on
    elsewhere. It has no part in it: the chain of the one that ends them is
    longer, or it is answered.

    Given a site with 1 entries and a request that ends the upstreams it reaches
    When a slow call starts at the same upstreams as each of its 4 arrivals
    Then only the request that ends upstreams rests

  Scenario Outline: upstreams that end for another cause count against nobody
    Calls are in progress at all upstreams when these end: at one moment, by
    a loss of power or because they were told to leave. The same calls come
    again each time. None of them is ever held back.

    Given a site with 2 entries and callers that ask for the same all the time
    When all upstreams <end>, 4 times, 4 s apart
    Then no call was quarantined

    Examples:
      | end                          |
      | crash at the same moment     |
      | lose power                   |
      | leave, with calls in progress |

  Scenario: all entries lose power, and still know
    Two upstreams have ended under a call that may run once. All entries
    start again a moment later, knowing nothing but what the store has.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When it comes, all entries start again, and it comes 4 s later
    Then it reaches no upstream after the restart

  Scenario: an entry that was cut off learns once it is back
    One entry can't be reached by the others for six seconds, in which two
    upstreams end under a call that comes at another one.

    Given a site with 3 entries and a request that ends the upstreams it reaches
    When it comes while one entry is cut off for 6 s, and 2 s later there
    Then the entry that was cut off refuses it at once

  Scenario Outline: a stream under which engines end goes on at one more only
    A stream ends the engine that runs it, and goes on at the next one, up to
    as many as its route allows. Each arrival could end three engines.

    Given a site with 4 engines and streams that <may> be resumed
    When one that ends engines comes 4 times, 6 s apart
    Then at most 4 engines end

    Examples:
      | may     |
      | may     |
      | may not |

  Scenario: an upstream's own failure is delivered, whatever rests
    One upstream answers a call with 500, two others end under it. The answer
    that is there is the caller's, not a refusal of the entry.

    Given a site with 1 entries and a request that ends the upstreams it reaches
    When it comes to one upstream that fails and to two that end under it
    Then the caller gets the 500 of the upstream

  Scenario: what broke together is told to each entry once
    Six calls are in progress at an upstream that ends. Each is a strike; the
    other entry is told of all of them in one message.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When an upstream ends under it with 6 other calls in progress
    Then the other entry knows of 7 strikes from 1 message
