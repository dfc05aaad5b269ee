Feature: HTTP responses that report a failure

  Scenario Outline: each reason has one status
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
    HTTP libraries retry a request after 503 without a decision of the
    caller. A booking that may have run would then be made twice.

    Then no HTTP failure has the status 503 unless its verdict is not-run

  Scenario: the retry delay is sent in whole seconds and in milliseconds
    Given an HTTP failure to be retried after 1001 ms
    Then its HTTP headers give the delay as 2 s and as 1001 ms
