Feature: listings of several pages

  Scenario Outline: an object that <change> between two pages is followed <when>
    Guards against a watch that begins after a change which the listing, read
    page by page, does not have.

    Given a kind of 60 objects that are listed in two pages
    When an object of the first page <change> between the pages, <when>
    Then a follower of the kind has the store's objects

    Examples:
      | change                 | when                   |
      | changes                | at the start           |
      | changes                | after an interruption  |
      | changes                | after a lost history   |
      | is removed             | at the start           |
      | is removed             | after an interruption  |
      | is removed             | after a lost history   |
      | is created             | at the start           |
      | is created             | after an interruption  |
      | is created             | after a lost history   |
      | is removed and created | at the start           |
      | is removed and created | after an interruption  |
      | is removed and created | after a lost history   |

  Scenario Outline: an upstream that <leaves> while an entry <lists> gets no calls
    Guards against calls to an upstream that leaves between two pages of the
    listing of upstreams.

    Given a site of 60 upstreams
    When an upstream of the first page <leaves> while an entry <lists>
    Then no call reaches that upstream 2 s later

    Examples:
      | leaves     | lists                         |
      | drains     | starts                        |
      | drains     | lists after an interruption   |
      | drains     | lists after a lost history    |
      | is removed | starts                        |
      | is removed | lists after an interruption   |
      | is removed | lists after a lost history    |

  Scenario: an agent learns of a version that is published between two pages
    Guards against an engine that keeps old weights since its agent read the
    list of versions page by page.

    Given a site with 60 models
    When a version is published between two pages, as the agent starts
    Then the engine has that version 4 s later

  Scenario: changes that a listing has already do not turn a view back
    Guards against a view that shows an older state of an object again, since
    a listing has newer objects than the changes that follow it.

    Then after every history a view is never older than its listing

  Scenario: results that are stored between two pages leave no gap
    Guards against a job that is loaded without a result at a known position.

    Given a job whose parts and results take two pages
    When results are stored between the pages of its listing
    Then the loaded job has every result that was stored before
