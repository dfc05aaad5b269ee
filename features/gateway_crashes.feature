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
