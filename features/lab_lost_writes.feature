Feature: writes whose responses are lost, and trainers that give up

  Scenario Outline: a job that was refused at each attempt never runs
    Guards against a 503 for a job that is in the store: the store carries out
    the write that creates it, the connection is reset, and an outage follows.

    Given trainers that give up, and a store that goes down with <write>
    When the entries are restarted and asked for the refused jobs
    Then jobs were refused at each attempt, and none of them ran

    Examples:
      | write                                    |
      | the write that creates a job             |
      | the relayed write that creates a job     |

  Scenario Outline: the soak detects items of a refused job
    Given a job whose attempts were answered <answers>
    When an engine runs an item <when>
    Then the check of refused jobs says <verdict>

    Examples:
      | answers | when                    | verdict          |
      | 503 429 | after both attempts     | REFUSED_JOB      |
      | 503 429 | between the attempts    | REFUSED_JOB      |
      | 503 202 | between the attempts    | REFUSED_SO_FAR   |
      | 503 202 | after both attempts     | nothing          |
      | 503 504 | after both attempts     | nothing          |
      | 0 503   | between the attempts    | nothing          |
