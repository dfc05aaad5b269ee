Feature: choice of the entry that runs a trainer's steps

  Scenario: a step is run in the zone in which it is submitted
    Guards against steps that are run by an entry of another availability
    zone than the trainer's. Their bodies and results would cross zone borders
    twice.

    Given 6 entries in 3 zones
    Then every model's steps are run by an entry of the zone of their trainer
    And all entries of the zone choose the same entry for a model

  Scenario: steps from a zone without entries are run in another zone
    Given 6 entries in 3 zones
    Then the steps of a zone without entries are run by the same entry always

  Scenario: the entry that runs a step learns of weights loaded in other zones
    An agent knows only the entries of its own zone. It notifies one of these,
    which forwards the message to the entry that runs the model's steps.
    Without that, a step that requires a version and is submitted when the
    version is announced would wait for the entry's own view of the
    registrations, which is a second late.

    Given a site of two zones whose engine is not in its trainer's zone
    When the engine has loaded version 2
    Then a step that requires this version begins within 0.3 s

  Scenario: a step is run by an entry with a fast link
    The last groups of a step are several hundred kB, which are sent to the
    store and to the reader's entry. On a link of 30 Mbit/s each transfer
    takes a tenth of a second, and the results arrive in two or three pages.

    Given 6 entries in 3 zones, one of each zone with a link of 100 Mbit/s
    Then every model's steps are run by the fast entry of the zone

  Scenario: an entry that starts without the store lists the others soon after
    Guards against an entry that tells nobody anything for 15 s, since its first
    listings failed.

    Given a site of 2 entries, one of which starts while the store is away
    When the store is back for 2 s
    Then the entry knows the other one
