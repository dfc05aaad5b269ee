Feature: entries learn the strikes of other entries

  Scenario: entries that restart in turn hold back what ended upstreams
    Guards against an entry that sends before it has learned of any strike.

    Given a site with 5 entries and a request that ends 12 services
    When it arrives at one entry, and at each other one 0.2 s after its restart
    Then 2 upstreams have ended under it
