Feature: the anatomy of steps, computed from logs

  Scenario: the anatomy of a step is computed from the log of the entry that ran it
    Given the log of a step whose longest item has 60 events, read to its end
    When its anatomy is computed
    Then its times are in order, from the first item to its end
    And its floor is 2.4 s, and its last text at most 0.3 s later
    And the timeline of its slowest item is one run of 60 events

  Scenario: the timeline of an item that moved shows both of its runs
    Given the log of a step whose longest item moved to another engine
    When its anatomy is computed
    Then the timeline of its slowest item shows why it was moved

  Scenario: unrelated and truncated lines are skipped
    Given the log of a step whose longest item has 60 events, read to its end
    And lines that are no JSON, truncated, or from another program
    When its anatomy is computed
    Then its times are in order, from the first item to its end

  Scenario: logs without a step
    Given a log without a step
    When the command is run on it
    Then it reports that there is no step and exits with 1
