Feature: a planned stop completes what is in progress, within the grace period

  Scenario Outline: a request that ends within the grace period is answered
    Guards against a stop that cuts off requests in progress, which may run
    only once, long before the platform ends the process.

    Given an entry with <requests> that end <ends_s> s after its planned stop
    When the entry is stopped with these requests in progress
    Then each request is answered completely
    And the stop ends within the grace period

    Examples:
      | requests | ends_s |
      | calls    | 6.6    |
      | streams  | 6.6    |
      | calls    | 7.3    |

  Scenario: an entry stops in time although no other one accepts its jobs
    The platform kills a process that has not ended within its grace period.
    The owner of a job offers it to one silent entry after the other. If the
    wait for its open calls did not count the time that this takes, the entry
    would be killed with calls in progress and lose its last writes.

    Given an entry that runs a job and has a long call open
    And the other entries accept connections and never respond
    When the entry is stopped as planned
    Then the stop ends within the grace period

  Scenario: callers are refused in time although no other entry takes the jobs
    Guards against a stop that accepts callers for as long as it offers its
    jobs to silent entries: a call that came late was cut off at the end.

    Given an entry that runs a job and has a long call open
    And the other entries accept connections and never respond
    When a caller connects 3.2 s after the planned stop of the entry began
    Then the connection of the late caller is refused

  Scenario: the owner of an ended job is told although the teller stops
    Guards against a planned stop that drops the message that a job has ended,
    while the job's owner does not answer: the owner ran the job on.

    Given a job whose owner does not answer other entries for 3 s
    When another entry confirms the job's end and is stopped at once
    Then the owner has ended the job when the entry has stopped

  Scenario: a call that waits for its copy is refused when the entry stops
    Guards against a stop that cuts off a suspected call which was never sent:
    it waited for another copy of it to end.

    Given an entry with a long call that is suspected, and a copy of it
    When the entry is stopped as planned with both in progress
    Then the copy is refused with 503 before the stop ends

  Scenario: a store call for another entry is answered during a planned stop
    Guards against a stop that cuts off a call it makes to the store for
    another entry, which then can't tell whether its write took effect.

    Given an entry whose call to the store takes 0.8 s
    When the entry is stopped 2.1 s before another entry relays a call there
    Then the other entry gets the answer of the store
