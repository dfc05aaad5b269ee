Feature: texts that a service scores

  Scenario: each result has the score of its own text
    Given a site that runs a scored job of groups 3,5 and 2,2
    Then both entries list the same 4 results, each with the score of its item
    And each score call came as its trainer wrote it, behind the last event

  Scenario: a step's texts that end together leave callers their slots
    Dozens of items end at once, and callers come to the same service. Sent
    all together, the score calls would fill its slots and its queue; callers
    would wait for a quarter of a second behind them.

    Given a site that scores 40 texts that end together while callers come
    Then no service ever had more than 3 score calls for its 4 slots
    And every caller was answered within 100 ms
    And all 40 texts are scored within 0.8 s, the last call included

  Scenario: the texts of a group that is nearly whole are scored first
    Given a queue with texts of a group of 3 open items and of one of 1
    Then the text of the smaller group is scored first

  Scenario: a score call that always fails is given up
    The service answers 500 to the call, whatever upstream runs it. After as
    many such answers as its route allows attempts the item is lost, and its
    group is listed with it: a trainer that waited for it would wait in vain.

    Given a site whose service always fails on the score of an item
    Then the item is listed as lost after 4 score calls, the others are scored
    And the step took at most 2 s

  Scenario Outline: an answer that proves nothing is no score
    The service's first answers are <kind>. The call is sent again, at once
    elsewhere and then at a pace, until an answer counts. None of this is an
    answer of 500, so nothing is given up.

    Given a site whose service answers score calls <kind> for 1.5 s
    Then every result has the score of its item
    And fewer than <most> score calls were sent for an item

    Examples:
      | kind                  | most |
      | with a broken body    | 14   |
      | without a stamp       | 14   |
      | with another id       | 14   |
      | with a refusal        | 20   |
      | with silence          | 8    |
      | with 504              | 30   |

  Scenario: a route that comes with the next manifest is waited for
    The trainer names a route that is in force elsewhere already. The texts
    wait for it and are scored once it is known here.

    Given a site without a route for score calls, which comes after 2 s
    Then every result has the score of its item

  Scenario: a planned stop between text and score loses neither
    The service is away when the owner is asked to stop. The texts go to the
    next owner as they are; it has them scored, and generates nothing anew.

    Given a site whose owner is stopped while its service is away
    Then every result has the score of its item
    And no text was generated twice

  Scenario: an owner that is killed between text and score
    The service is away and the owner dies. The next owner has the texts as
    they were kept and has them scored; none is listed without a score.

    Given a site whose owner is killed while its service is away
    Then every result has the score of its item
    And no text was generated twice

  Scenario: a score that is known is kept with its text
    A group waits for its last item when the owner is asked to stop. The
    scores of the others go with their texts and are asked for no more.

    Given a site whose owner is stopped while a scored group waits
    Then every result has the score of its item
    And each score call was sent once

  Scenario: answers of 500 are counted over a takeover
    A call has failed twice of four times when the owner is asked to stop.
    The next owner gives it up after two more.

    Given a site whose owner is stopped after two failed score calls
    Then the item was given up after 4 score calls in all

  Scenario: no score call is sent behind the end of its job
    Given a site whose job ends while its texts wait for the service
    Then no score call comes later than 100 ms behind the end

  Scenario: score calls in progress end with their job
    The trainer has enough and ends its step while the service works on the
    scores of the rest, which nobody will read.

    Given a site whose job ends while its service is slow
    Then no service works on a score call 0.3 s later
