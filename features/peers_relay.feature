Feature: calls to the store that are relayed through other entries

  Scenario: calls to a store that is down for everyone are rarely relayed
    The store refuses every entry. Guards against sending each call three
    times, directly and through two other entries, while none can succeed. The
    store would receive three times the load when it recovers.

    Given a store that refuses calls on all paths
    When an entry makes a call each 100 ms for 2 s
    Then at most 8 calls are relayed

  Scenario: a path that recovers is used within a second
    The store refused all paths, and then only the direct one of this entry.
    The entry's calls are relayed again after at most a second.

    Given a store that refuses calls on all paths
    When an entry makes a call each 100 ms for 2 s
    And the store accepts calls of the other entries again
    Then a call is answered within 1100 ms

  Scenario: a late answer to a direct call is returned when it arrives
    The store answers after 400 ms, a little later than the entry's hedge
    delay, so the call is also relayed through another entry, which is slow.
    Guards against waiting for the relayed answer although the direct one has
    arrived, and against logging "the store is reached by others only".

    Given a store that answers direct calls after 400 ms
    And other entries that take 2 s
    Then a call is answered within 410 ms
    And the next call is sent directly first

  Scenario Outline: a call that may have taken effect is not told as refused
    The store is reached through other entries only, and one of them does not
    answer a call, which may have taken effect. Then all paths refuse the call.
    Guards against reporting that the call had no effect: the trainer would
    submit its job elsewhere, and the job would run twice.

    Given a store that accepts calls through other entries only
    When one does not answer a call, and the other paths reject it with <status>
    Then it is not known whether that call took effect

    Examples:
      | status |
      | 503    |
      | 429    |
      | 400    |

  Scenario: a call in flight is not given up for a rejection on another path
    Guards against 503 for a job whose creation is carried out directly.

    Given a store that answers direct calls after 900 ms
    And other entries whose calls the store rejects with 400
    Then the answer to the direct call is returned

  Scenario Outline: a relayed call that was made twice is not told as refused
    Guards against a write that took effect and is reported as rejected: the
    other entry made it, its connection was reset, and only the second attempt
    was rejected.

    Given an entry that makes a relayed call, resets it, and then <replies>
    Then it is not known whether the relayed call took effect

    Examples:
      | replies                   |
      | replies with status 503   |
      | replies that nothing sent |
