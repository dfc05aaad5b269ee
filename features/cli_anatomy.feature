Feature: what steps were made of, from logs

  Scenario: a step is told from the log of the entry that ran it
    Given the log of a step whose longest item has 60 events, read to its end
    When its anatomy is asked for
    Then its times stand in order, from the first item to its end
    And its floor is 2.4 s, and its last text at most 0.3 s later
    And the timeline of its slowest item is one run of 60 events

  Scenario: an item that moved is told with both of its runs
    Given the log of a step whose longest item moved to another engine
    When its anatomy is asked for
    Then the timeline of its slowest item shows why it left

  Scenario: lines of others and lines cut off are passed over
    Given the log of a step whose longest item has 60 events, read to its end
    And lines that are no JSON, cut off, or another program's
    When its anatomy is asked for
    Then its times stand in order, from the first item to its end

  Scenario: logs without a step
    Given a log without a step
    When the command is run on it
    Then it says so and exits with 1
