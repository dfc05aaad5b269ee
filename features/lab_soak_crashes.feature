Feature: the fault soak sends requests that end services

  Scenario: entries are killed and cut off while a request ends services
    One request ends each service that runs it, and comes again at any entry.
    Entries are killed, paused and cut off from the store meanwhile, so some
    hear late of what it did. It is left alone all the same.

    Given a soak of seed 2 with requests that end services for 8 s
    Then every promise was kept, and such a request was left alone
