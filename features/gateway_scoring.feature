Feature: texts that a service scores

  Scenario: each result has the score of its own text
    Given a site that runs a scored job of groups 3,5 and 2,2
    Then both entries list the same 4 results, each with the score of its item
    And each score call is sent as its trainer wrote it, after the last event

  Scenario: score calls that start together leave slots to callers
    Dozens of items complete at once, while callers use the same service. If
    all score calls were sent together, they would fill its slots and its
    queue, and callers would wait for a quarter of a second.

    Given a site that scores 40 texts at once while callers send calls
    Then no service ever had more than 3 score calls for its 4 slots
    And every caller was answered within 100 ms
    And all 40 texts are scored within 0.8 s, the last call included

  Scenario: the texts of a group that is nearly complete are scored first
    Given a queue with texts of a group of 3 open items and of one of 1
    Then the text of the smaller group is scored first

  Scenario: a score call that always fails ends with a lost item
    The service answers 500 to the call at every upstream. After as many such
    answers as the route allows attempts, the item is lost, and its group is
    listed with it. Otherwise the trainer would wait for the group forever.

    Given a site whose service always fails on the score of an item
    Then the item is listed as lost after 4 score calls, the others are scored
    And the step took at most 2 s

  Scenario Outline: an answer without proof is no score
    The service's first answers are <kind>. The call is retried, at once at
    another upstream and then after pauses, until an answer has a proof. None
    of the failed answers is a 500, so none counts against the item.

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

  Scenario: score calls wait for a route that the next manifest has
    The trainer names a route that is in force at other entries already. The
    texts wait for the route and are scored once this entry knows it.

    Given a site whose route for score calls is added after 2 s
    Then every result has the score of its item

  Scenario: a planned stop between text and score loses neither
    The service is unavailable when the owner is stopped. The texts are handed
    off without scores. The next owner sends the score calls, and no text is
    generated again.

    Given a site whose owner is stopped while its service is away
    Then every result has the score of its item
    And no text was generated twice

  Scenario: an owner that is killed between text and score loses neither
    The service is unavailable and the owner is killed. The next owner loads
    the saved texts and sends the score calls. No text is listed without a
    score.

    Given a site whose owner is killed while its service is away
    Then every result has the score of its item
    And no text was generated twice

  Scenario: a score is handed off with its text
    A group waits for its last item when the owner is stopped. The scores of
    the other items are handed off with the texts, and are not requested again.

    Given a site whose owner is stopped while a scored group waits
    Then every result has the score of its item
    And each score call was sent once

  Scenario: answers of 500 are counted across a handoff
    A call has failed twice of four times when the owner is stopped. The next
    owner reports the item as lost after two more failures.

    Given a site whose owner is stopped after two failed score calls
    Then the item was given up after 4 score calls in all

  Scenario: no score call is sent after the end of its job
    Given a site whose job ends while its texts wait for the service
    Then no score call is sent later than 100 ms after the end

  Scenario: score calls in progress are cancelled when their job ends
    The trainer has enough results and ends its job while the service works on
    scores that no client will read.

    Given a site whose job ends while its service is slow
    Then no service works on a score call 0.3 s later
