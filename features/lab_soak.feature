Feature: the fault soak

  Scenario: a short run of the real programs breaks no promise
    Entries, agents and a storage agent run as processes of their own; they
    are killed, stopped, paused and cut off while callers and a trainer work.

    Given a soak of seed 3 with faults for 4 s
    Then every promise was kept, and results, calls and orders were checked

  Scenario: the soak sees a result that changes
    A second owner lists another text at a position that was read.

    Given a trainer that has read a step's first result
    When it reads another text at the same position
    Then the promise POSITION is broken

  Scenario: the soak sees an item that comes twice
    Given a trainer that has read a step's first result
    When it reads the same item at the next position
    Then the promise EXACTLY_ONCE is broken

  Scenario: the soak sees a text that has a gap
    Given a trainer that has read a step's first result
    When it reads a text without its second event
    Then the promise TEXT is broken

  Scenario Outline: the soak sees a score that is not the item's own
    Given a trainer that has read a scored step's first result
    When it reads a text <how>
    Then the promise SCORE is broken

    Examples:
      | how                       |
      | with another item's score |
      | without a score           |

  Scenario: the soak sees an item that was given up too early
    Given a trainer that has read a scored step's first result
    When it reads an item as lost that failed once
    Then the promise LOST is broken

  Scenario: the soak sees a refused request that ran
    Given a caller whose request was refused as not run
    When an upstream ran the request
    Then the promise REFUSED is broken

  Scenario: the soak sees a request that ran twice
    Given a caller whose request may run once
    When two upstreams ran the request
    Then the promise ONCE is broken

  Scenario: the soak sees an item that is denied while it waits
    The owner stops, and takes the job that another entry goes on with for
    an ended one: a trainer that asks for the body is told there is none.

    Given a trainer that has read a step's first result
    When it is told that an item has no body that the store has not listed
    Then the promise BODY is broken

  Scenario: the soak takes no offence at the body of a listed item
    Given a trainer that has read a step's first result
    When it is told that an item has no body that the store has listed
    Then every promise holds

  Scenario: the soak sees a body that is another item's
    Given a trainer that has read a step's first result
    When it reads a body that is another item's
    Then the promise BODY is broken

  Scenario: the soak sees a position that is missing elsewhere
    An owner that was taken over and does not know it says that there is
    nothing at a position that was read at its successor.

    Given a trainer that has read a step's first result
    When it reads nothing at that position a second later
    Then the promise EVERYWHERE is broken

  Scenario: a process that is signalled before its first line is started again
    A process is told of changed settings some milliseconds after its start,
    before its first line has run, and ends by the system's default; its log
    is empty. The platform starts a process that ends once more. The soak did
    not, so an engine kept its weights for good: "engine-0 has 1".

    Given an agent that is told of changed settings 1 ms after its start
    Then it runs half a second later
