Feature: usage is reported despite outages of the store or the receiver

  Guards against a second report of a window with other counts, and against
  windows that are never reported, if the answer to a call is lost or late.

  Scenario Outline: the receiver is <mode> for 6 s
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 30 s, beside a receiver that is <mode>
    Then no guarantee of a single holder was broken
    And all but 0 windows were reported within 10 s

    Examples:
      | mode    |
      | busy    |
      | limited |
      | silent  |
      | losing  |

  Scenario Outline: the store <fault> for 6 s
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 30 s, beside a store that <fault>
    Then no guarantee of a single holder was broken
    And all but <missed> windows were reported within 10 s

    Examples:
      | fault         | missed |
      | is busy       | 0      |
      | is silent     | 0      |
      | loses answers | 0      |
      | writes late   | 0      |

  Scenario: a successor sends decided reports if its write gets no answer
    A holder has decided reports that it could not send. The write with which
    its successor takes the duty over takes effect, but its answer is lost.
    Guards against a successor that drops those reports.

    Given a site of 4 entries that reports usage
    When a holder that could send nothing is killed, and the next write gets no answer
    Then no guarantee of a single holder was broken
    And every window that was decided is reported
