Feature: Usage is reported though store or receiver are away

  Guards against a second report of a window with other counts, and against
  windows that are never reported, where a call's answer is lost or late.

  Scenario Outline: the receiver <mode> for 6 s
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 30 s, beside a receiver that is <mode>
    Then no promise of one holder was broken
    And each window was reported within 10 s, but for 0

    Examples:
      | mode    |
      | busy    |
      | limited |
      | silent  |
      | losing  |

  Scenario Outline: the store <fault> for 6 s
    Given a site of 4 entries that reports usage
    When accounts send 10 calls a second for 30 s, beside a store that <fault>
    Then no promise of one holder was broken
    And each window was reported within 10 s, but for <missed>

    Examples:
      | fault         | missed |
      | is busy       | 0      |
      | is silent     | 0      |
      | loses answers | 0      |
      | writes late   | 0      |

  Scenario: a takeover whose answer is lost repeats what was decided
    Guards against reports that a holder decided and could not send, which its
    successor drops since its own write was done without an answer.

    Given a site of 4 entries that reports usage
    When a holder that could send nothing is killed, and the next write gets no answer
    Then no promise of one holder was broken
    And every window that was decided is reported
