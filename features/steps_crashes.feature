Feature: items under which engines end

  Scenario: an item that ends every engine it reaches does not cost its step
    An item ends each engine that begins to run it. It went on at the next
    one at once, since a broken run was never counted, so all that ran there
    began anew each time: 26 ends of five engines in 12 s, by the line
    `item j1.0.1 at engine-0: broken`. Now it rests behind the third. The step
    ends without it. It is not told as lost: no engine has said so.

    Given a site with 5 engines and a job in which one item ends engines
    When the job of 4 groups of 5 items runs for 12 s
    Then at most 6 engines end under the item
    And every other item is listed as completed, the item not at all

  Scenario: an item that ends engines rests with its next owner, too
    The owner is killed after three engines have ended under an item. The
    entry that takes the job over knows of it.

    Given a site with 5 engines and a job in which one item ends engines
    When the job of 2 groups of 4 items runs, and its owner is killed after 2 s
    Then at most 6 engines end under the item

  Scenario: a score call that ends services is left alone
    The call that scores one text ends each service that runs it. It is sent
    again for as long as its job is open, and callers use the same services.

    Given a site whose service ends under the score call of one item
    When its job runs for 12 s, and callers come all the time
    Then at most 6 services end under it
    And the texts of all other groups are listed with their scores

  Scenario: items that ask for the same are one request, under whatever ids
    Guards against a request that ends each engine and comes as many items:
    each was judged by itself, and 8 of them ended 27 engines in 20 s.

    Five are in progress when the first engine ends, and three more may follow.

    Given a site with 5 engines and two jobs of one prompt that ends engines
    When they run for 12 s beside a job of 4 groups of 5 items
    Then at most 8 engines end under the item
    And every other item is listed as completed, the item not at all

  Scenario: what makes two items one request
    Guards against an item at fault that is judged anew under each id.

    Then items of one path and prompt are one request, others are not
