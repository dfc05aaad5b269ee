Feature: another entry that relays calls to the store and stops answering

  Scenario Outline: <change> is not missed while the relay <fault>
    Guards against a watch that waits for the silent entry although the own way
    to the store is back.

    Given two entries, one of which loses its way to the store for 5.5 s
    When the other one <fault> 0.2 s before that way is back
    And <change> 0.3 s after it is back
    Then the first entry acts on it within the bounds

    Examples:
      | change                 | fault           |
      | the manifest changes   | freezes for 4 s |
      | the manifest changes   | loses power     |
      | an upstream drains     | freezes for 4 s |
      | an upstream drains     | loses power     |
      | an upstream is removed | freezes for 4 s |
      | an upstream is removed | loses power     |

  Scenario: a relayed watch that is not answered ends soon and is sent once
    Guards against a watch that waits twice for a silent entry.

    Given an entry that answers no message
    When a watch of 2.5 s is sent through it
    Then the watch ends as cut short within 1.4 s and was sent once

  Scenario: a relayed read that is not answered is sent directly
    Guards against a listing that waits for a silent entry before the direct
    path is tried.

    Given an entry that answers no message
    And a direct path to the store that works again
    When a page is read through it first
    Then the page is there within 0.4 s
