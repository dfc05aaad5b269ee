Feature: logs

  Scenario: a log line is one JSON object with time, level, logger and process
    Given the logs of "entry-1" go to a file at level "info"
    When a record at level "info" and one at level "debug" are logged
    Then the log file holds one JSON line with the text and "entry-1"

  Scenario: a log destination that stalls does not block the program
    The disk of the log file stalls. If the event loop waited for the write,
    all requests of callers would hang, and peers would find the process
    unresponsive. Records are therefore queued, and dropped once the queue is
    full.
    Given a log destination that stalls, with a queue of 8
    When 100 records are logged
    Then logging returned each time and the dropped records were counted

  Scenario Outline: a job's id leads to the write that refused it
    Guards against warnings that name no job and hide a first attempt.

    Given the logs of "site" go to a file at level "info"
    When a job is submitted to a site whose store <fault>
    Then it is answered <status>, and lines of the job contain "<told>"
    And no line about another object names the job

    Examples:
      | fault                        | status | told                           |
      | rejects all calls            | 503    | rejected after                 |
      | rejects all calls            | 503    | directly: status 503 after     |
      | rejects all calls            | 503    | for entry-0: answered after    |
      | rejects all calls            | 503    | part 1 of 1: not-done          |
      | stores a write and resets it | 504    | after 1 parts: unclear         |
      | stores a write and resets it | 504    | second attempt, first one sent |
      | stores a write and resets it | 504    | on a kept connection, sent:    |

  Scenario: an adopted job's line tells why it runs here
    Guards against a job that runs without a line that says who asked for it.

    Given the logs of "site" go to a file at level "info"
    When an entry that runs a job is restarted
    Then lines of the job contain "on submission" and "on start"

  Scenario: a shared watch names none of the processes that it serves
    Guards against a task that inherits the request which started it for ever.

    When the message of a peer starts a watch that serves all processes
    Then the calls of the watch are about no peer

  Scenario: an unknown log level is rejected with its name
    When the logs are configured at level "loud"
    Then the error contains "loud" and the valid levels
