Feature: requests under which upstreams end

  Scenario: the log has a line for each attempt under which an upstream ended
    A call ends the upstream that runs it, and the next one, and arrives again
    at another entry under another id. The log line of the call itself shows
    its last attempt only. Each attempt has a line with the fingerprint, which
    stays the same, so that the logs of all entries can be joined.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When it arrives at each entry, 6 s apart
    Then each end of an upstream has a log line with the same fingerprint

  Scenario: a request under which three upstreams ended is held back
    A call ended each upstream that ran it. Once they had restarted, it
    arrived again under another id, at another entry. Attempts were counted
    for one arrival only, and no entry knew what the call had done earlier or
    elsewhere. So each entry sent it to all upstreams, and other callers found
    none. The joined logs of four entries showed arrivals at 37.30, 41.34 and
    45.61 s, at three entries, which failed with "no response" after three
    upstreams each, nine in all. Without a quarantine this scenario ends 20
    upstreams, and 9 of 9 retries reach some.

    Given a site with 4 entries and a request that ends the upstreams it reaches
    When it arrives 10 times, each time at the next entry, 5 s apart
    Then at most 3 of its retries reach an upstream once three have ended

  Scenario: a call under which an upstream ended is not reported as not run
    The entry has an idle connection to the only upstream. A call is sent on
    it, and the upstream ends. The entry takes the reset for that of an idle
    connection, sends the call again and finds that nothing listens at the
    address. With 503 it would promise that the call did not run.

    Given a site with 1 upstream and an idle connection to it
    When a request arrives under which the upstream ends
    Then the caller gets 504 since the upstream may have run it

  Scenario: a reply of the next start does not prove that a call has not run
    The upstream ends in the same way, and another one is at its address at
    once. The new one truthfully replies that it has not run the call, but the
    one before may have.

    Given an upstream that resets an idle connection and is replaced
    When a call is sent to its address
    Then the call may have run, and the upstream is known as replaced

  Scenario: a request that arrives at two entries at once is held back
    The request always arrives at two entries at the same moment, for two
    minutes. Whenever the time for which it is held back ends, both entries
    try it before either can notify the other. Each try costs two attempts, so
    it has to be held back for long from the second time on.

    Given a site with 4 entries and a request that ends the upstreams it reaches
    When it arrives 22 times, each time at two entries at once, 5 s apart
    Then at most 3 of its retries reach an upstream once three have ended

  Scenario: a quarantined call is refused at once with a retry delay
    Two upstreams have ended under a call. When it arrives again, any entry
    refuses it without a wait: it did not run, and will not for some seconds.
    The third upstream meanwhile serves all other callers.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When it arrives at one entry and 0.1 s later at the other
    Then the second arrival gets 503 within 20 ms, to retry after 4 to 5 s
    And one upstream has not ended, and serves other callers
    And the status of both entries shows it, with 2 upstreams ended

  Scenario: new software may have mended what made upstreams end
    A call is held back for longer with each upstream that ends under it, but
    not for ever. Once an upstream has answered it, it is treated like any
    other call.

    Given a site with 1 entries and a request that ends the upstreams it reaches
    When it arrives twice, and again 130 s later at mended upstreams
    Then it gets 200, and is hedged and repeated like any other call

  Scenario: a request is not suspected because of what ran beside it
    Other calls are in progress at each upstream that ends, and are then sent
    to another one. They are not the cause: the request that is has a longer
    chain, or an upstream answers them.

    Given a site with 1 entries and a request that ends the upstreams it reaches
    When slow calls run at the same upstreams as each of its 4 arrivals
    Then only the request that ends upstreams is held back

  Scenario Outline: no call is suspected when upstreams end for another cause
    Calls are in progress at all upstreams when these end: at the same moment,
    by a loss of power, or by a planned stop. The same calls arrive again each
    time. None of them is ever held back.

    Given a site with 2 entries and callers that repeat the same calls
    When all upstreams <end>, 4 times, 4 s apart
    Then no call was quarantined

    Examples:
      | end                          |
      | crash at the same moment     |
      | lose power                   |
      | leave, with calls in progress |

  Scenario Outline: a break that gives no strike is counted with its reason
    Guards against ends of upstreams that are missed without a trace.

    Given a site with 1 entries and callers that repeat the same calls
    When calls break at upstreams that <state>
    Then the breaks are counted as <counter>

    Examples:
      | state                  | counter                    |
      | are leaving            | broke_at_leaving_upstreams |
      | still take connections | broke_at_open_upstreams    |

  Scenario: strikes survive a loss of power at all entries
    Two upstreams have ended under a call that may run once. All entries
    restart a moment later and know only what is in the store.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When it comes, all entries start again, and it comes 4 s later
    Then it reaches no upstream after the restart

  Scenario: an entry that was cut off receives the strikes once it is back
    The other entries can't reach one entry for six seconds, during which two
    upstreams end under a call that arrives at another entry.

    Given a site with 3 entries and a request that ends the upstreams it reaches
    When it comes while one entry is cut off for 6 s, and 2 s later there
    Then the entry that was cut off refuses it at once

  Scenario Outline: a stream that ends engines is resumed at one more only
    A stream ends the engine that runs it and is resumed at the next one, up
    to the number of attempts that its route allows. Each arrival could end
    three engines.

    Given a site with 4 engines and streams that <may> be resumed
    When a stream that ends engines arrives 4 times, 6 s apart
    Then at most 4 engines end

    Examples:
      | may     |
      | may     |
      | may not |

  Scenario: an upstream's own failure reaches the caller of a suspected call
    One upstream answers a call with 500, and two others end under it. The
    caller gets the response that exists, not a refusal of the entry.

    Given a site with 1 entries and a request that ends the upstreams it reaches
    When it is sent to one upstream that fails and to two that end under it
    Then the caller gets the 500 of the upstream

  Scenario: the strikes of one upstream's end are sent in one message
    Six calls are in progress at an upstream that ends. Each gets a strike;
    the other entry receives all of them in one message.

    Given a site with 2 entries and a request that ends the upstreams it reaches
    When an upstream ends under it with 6 other calls in progress
    Then the other entry knows of 7 strikes from 1 message

  Scenario: copies of a request that arrive together run one after the other
    Guards against copies that each go on to the next upstream after the first
    end is known.

    Given a site with 1 entries and a request that ends 12 services
    When 2 copies of it arrive at the same moment
    Then 3 upstreams have ended under it
