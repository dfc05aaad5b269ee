Feature: the fault soak

  Scenario: a short run of the real programs breaks no promise
    Entries, agents and a storage agent run as separate processes. They are
    killed, stopped, paused and cut off while callers and a trainer send
    requests.

    Given a soak of seed 3 with faults for 4 s
    Then every promise was kept, and results, calls and orders were checked

  Scenario: the soak detects a result that changes
    A second owner of a job lists another text at a position that was read
    before.

    Given a trainer that has read a step's first result
    When it reads another text at the same position
    Then the promise POSITION is broken

  Scenario: the soak detects an item at two positions
    Given a trainer that has read a step's first result
    When it reads the same item at the next position
    Then the promise EXACTLY_ONCE is broken

  Scenario: the soak detects a gap in a text
    Given a trainer that has read a step's first result
    When it reads a text without its second event
    Then the promise TEXT is broken

  Scenario Outline: the soak detects a score that is not the item's own
    Given a trainer that has read a scored step's first result
    When it reads a text <how>
    Then the promise SCORE is broken

    Examples:
      | how                       |
      | with another item's score |
      | without a score           |

  Scenario: the soak detects an item that is lost after too few failures
    Given a trainer that has read a scored step's first result
    When it reads an item as lost that failed once
    Then the promise LOST is broken

  Scenario: the soak detects a refused request that ran
    Given a caller whose request was refused as not run
    When an upstream ran the request
    Then the promise REFUSED is broken

  Scenario: the soak detects a request that ran twice
    Given a caller whose request may run once
    When two upstreams ran the request
    Then the promise ONCE is broken

  Scenario: the soak detects a 404 for the body of an unlisted item
    An owner that stops treats a job as ended although another entry continues
    it. The owner responds with 404 to a trainer that requests the body of an
    item that still waits.

    Given a trainer that has read a step's first result
    When it gets a 404 for the body of an item that the store has not listed
    Then the promise BODY is broken

  Scenario: the soak accepts a 404 for the body of a listed item
    Given a trainer that has read a step's first result
    When it gets a 404 for the body of an item that the store has listed
    Then every promise holds

  Scenario: the soak detects a body that is another item's
    Given a trainer that has read a step's first result
    When it reads a body that is another item's
    Then the promise BODY is broken

  Scenario: the soak detects a position that is missing at another entry
    An owner that does not know that it was taken over responds that there is
    no result at a position that was read at the new owner.

    Given a trainer that has read a step's first result
    When it reads nothing at that position a second later
    Then the promise EVERYWHERE is broken

  Scenario: a process that SIGHUP ended before its first line is restarted
    Failure: a process is signalled to read its settings again some
    milliseconds after its start, before its first line has run, and the
    signal's default action ends it. Symptom: its log is empty, and since the
    soak does not start it again, as the platform would, its engine never gets
    new weights: "engine-0 has 1".

    Given an agent that is signalled to read its settings 1 ms after its start
    Then it runs half a second later
