Feature: entries learn the strikes of other entries

  Scenario: entries that restart in turn hold back what ended upstreams
    Guards against an entry that sends before it has learned of any strike.

    Given a site with 5 entries and a request that ends 12 services
    When it arrives at one entry, and at each other one 0.2 s after its restart
    Then 2 upstreams have ended under it

  Scenario: an entry that joins holds back what ended upstreams before
    Guards against an entry that was never told, as it came later.

    Given a site with 2 entries and a request that ends 12 services
    When it arrives at one entry, and at a new one 0.2 s after its start
    Then 2 upstreams have ended under it

  Scenario: an entry that has joined learns of strikes that come afterwards
    Guards against senders that list the entries too rarely to know a new one.

    Given a site with 6 entries and a request that ends 12 services
    When an entry joins, and 6 s later it arrives at another and then there
    Then 2 upstreams have ended under it

  Scenario: strikes that were not stored are learned from the other entries
    Guards against strikes that are lost with the entry that saw them.

    Given a site with 2 entries and a request that ends 12 services
    When it arrives while the store is away, and again as soon as that entry has restarted
    Then 2 upstreams have ended under it

  Scenario: an entry that starts while the store is away learns strikes after it
    Guards against an entry that gives up before there is anything to learn from.

    Given a site with 2 entries and a request that ends 12 services
    When it arrives at one entry, and at the other, which started without store
    Then 2 upstreams have ended under it

  Scenario: strikes reach entries that are listed only after them
    Guards against an entry that sees upstreams end in its first second, before
    it knows whom to tell.

    Given a site with 2 entries and a request that ends 12 services
    When it arrives at an entry 0.1 s after its start, and 2 s later at another
    Then 2 upstreams have ended under it

  Scenario: an entry that stops tells what ended under its last call
    Guards against a planned stop that ends before the last strike is sent.

    Given a site with 2 entries and a request that ends 12 services
    When it arrives 2.15 s after an entry's planned stop began, and at the other
    Then 2 upstreams have ended under it
