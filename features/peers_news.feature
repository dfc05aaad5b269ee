Feature: one entry of a zone watches the store for the other processes

  The source is the entry that watches the store for the other processes of
  its availability zone. The others, its followers, wait for changes at the
  source.

  Scenario: the entries of a zone learn of changes from one of them
    Each change of a manifest or an upstream ends a watch in every process. If
    one process of the zone watches, the calls of the others are saved.

    Given a zone of 6 entries that is idle for 20 s
    Then fewer watches are made than by 3 entries that watch the store alone

  Scenario: every entry of a zone with few entries watches the store itself
    Given a zone of 3 entries that is idle for 20 s
    Then no entry watches the store for others

  Scenario: all entries learn that an upstream registers or drains
    Given a zone of 6 entries, of which one watches for the others
    When a service registers, and another one begins to drain
    Then every entry sends calls to the first and none to the second 2 s later

  Scenario Outline: the manifest reaches all entries although the source <fault>
    The source <fault>, and the manifest changes at the same moment. The other
    entries are not affected themselves and must use the new manifest within
    the bound of two seconds.

    Given a zone of 6 entries, of which one watches for the others
    When that entry <fault> and the manifest changes
    Then each other entry has the newest manifest 2 s later

    Examples:
      | fault            |
      | is killed        |
      | answers nothing  |
      | loses the store  |
      | stops as planned |

  Scenario: two sources fail one after the other
    The source is killed, then the next source answers nothing. The manifest
    changes after each fault.

    Given a zone of 6 entries, of which one watches for the others
    When that entry is killed and the manifest changes
    And the next one answers nothing and the manifest changes
    Then each other entry has the newest manifest 2 s later

  Scenario: the store drops its history while an entry watches for the others
    Given a zone of 6 entries, of which one watches for the others
    When the store drops its history with a change in it
    Then each other entry has the newest manifest 2 s later

  Scenario: a follower of a change log ends with the objects of the store
    A follower may begin at any revision, request changes at any time, and
    receive a change twice. It must neither keep a removed object nor miss an
    existing one.

    Then after every history of changes a follower has the store's objects

  Scenario: the time limits for a change leave enough time for a listing
    Then with bounds of 2, 3 and 4 s each limit is below 3/4 of it

  Scenario: all entries of a zone choose the same source, and the same next one
    Given the entries of a zone by name
    Then all choose one of them, which watches the store itself
    And while it is unreachable all choose the next, and after 30 s it again
    And with 3 of them unreachable all watch the store

  Scenario: a source whose watch is not answered does not list more often
    The store drops its history and leaves the watch of the source open beyond
    its duration. Guards against followers that list again and again until
    that watch ends, with hundreds of calls a second.

    Given a zone of 6 entries, of which one watches for the others
    When the store answers no watch of the source for 6 s
    Then no more than 12 listings of a kind are made for each entry
