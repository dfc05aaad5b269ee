Feature: HTTP responses that tell of a failure

  Scenario Outline: each reason has its status
    Given an HTTP failure <reason> with the verdict <verdict>
    Then its HTTP status is <status>

    Examples:
      | reason              | verdict      | status |
      | bad-request         | not-run      | 400    |
      | body-too-large      | not-run      | 413    |
      | unsettled           | may-have-run | 502    |
      | deadline            | not-run      | 504    |
      | overloaded          | may-have-run | 502    |
      | overloaded          | not-run      | 503    |

  Scenario: 503 always means that the request did not run
    A caller's library repeats a request after 503 on its own. A booking
    that may have run would then be made twice.

    Then no HTTP failure of any reason has 503 unless it was not run

  Scenario: the time to come back is told in whole seconds and exactly
    Given an HTTP failure to be repeated after 1001 ms
    Then it has the HTTP headers retry-after 2 and exactly 1001
