Feature: entries of two releases side by side

  Scenario: a rejection that an earlier release relays proves nothing
    Guards against a 503 for a job that an older entry has stored.

    Given an entry of an earlier release that makes a relayed call twice
    Then it is not known whether the older entry's call took effect
