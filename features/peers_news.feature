Feature: one entry of a zone watches the store for the others

  Scenario: entries of a zone hear of changes from one of them
    Each change of a manifest or an upstream ends a watch of every process.
    With one process of a zone that watches, the others' calls are saved.

    Given a zone of 6 entries that is idle for 20 s
    Then fewer watches are made than by 3 entries that watch the store alone

  Scenario: a zone of few entries watches the store
    Given a zone of 3 entries that is idle for 20 s
    Then no entry follows a kind for others

  Scenario: an upstream that registers and leaves is known everywhere
    Given a zone of 6 entries, of which one watches for the others
    When a service registers, and another one begins to drain
    Then every entry sends calls to the first and none to the second 2 s later

  Scenario Outline: a manifest reaches everybody though the source <fault>
    The entry that watches for its zone <fault>, and in the same moment the
    manifest changes. Callers of the other entries, which lose nothing, must
    be answered by it within the bound of two seconds.

    Given a zone of 6 entries, of which one watches for the others
    When that entry <fault> and the manifest changes
    Then each other entry has the newest manifest 2 s later

    Examples:
      | fault            |
      | is killed        |
      | answers nothing  |
      | loses the store  |
      | stops as planned |

  Scenario: two sources in series
    The source is killed, the entry that follows it answers nothing, and the
    manifest changes after each.

    Given a zone of 6 entries, of which one watches for the others
    When that entry is killed and the manifest changes
    And the next one answers nothing and the manifest changes
    Then each other entry has the newest manifest 2 s later

  Scenario: the store forgets its history while one watches for the others
    Given a zone of 6 entries, of which one watches for the others
    When the store drops its history with a change in it
    Then each other entry has the newest manifest 2 s later

  Scenario: whoever follows a log of changes ends where the store is
    Followers begin at any revision, ask at any moment, and may be told of a
    change twice. None may keep what is gone or miss what is there.

    Then in no history of changes a follower ends elsewhere than the store

  Scenario: the bounds of a change's way leave time to list
    Then with bounds of 2, 3 and 4 s each way takes less than three quarters

  Scenario: the source is the same for a zone, and another one while it rests
    Given the entries of a zone by name
    Then all choose one of them, which watches the store itself
    And while it is unreachable all choose the next, and after 30 s it again
    And with 3 of them unreachable all watch the store

  Scenario: a source whose watch is never answered asks the store no faster
    The store drops its history and leaves the source's watch open, beyond
    its time. An entry that lists again and again until its own watch ends
    makes hundreds of calls a second.

    Given a zone of 6 entries, of which one watches for the others
    When the store answers no watch of the source for 6 s
    Then no more than 12 listings of a kind are made for each entry
