Feature: the fault soak with requests that crash services

  Scenario: entries are killed and cut off while a request crashes services
    One request crashes each service that runs it, and is sent repeatedly to
    any entry. Entries are killed, paused and cut off from the store meanwhile,
    so some of them learn late of the crashes. The request is held back
    nevertheless.

    Given a soak of seed 2 with requests that crash services for 8 s
    Then every promise was kept, and requests that crash services were checked
