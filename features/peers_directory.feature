Feature: which entry runs the steps of a trainer

  Scenario: a step is run in the zone in which it is handed in
    A trainer's steps are handed in in one zone. Their bodies and results
    would otherwise cross the zones' borders twice.

    Given 6 entries in 3 zones
    Then every model's steps are run by an entry of the zone that takes them
    And each of them is the same entry for all entries of the zone

  Scenario: where a zone has no entry another one's runs the steps
    Given 6 entries in 3 zones
    Then the steps of a zone without entries are run by the same entry always

  Scenario: the entry that runs a step hears of weights loaded in other zones
    An agent knows the entries of its own zone. It tells one of these, which
    tells the entry that runs the model's steps; its own view of the
    registrations is a second late, and a step that is asked with the news
    of a version would wait for as long.

    Given a site of two zones whose engine is not in its trainer's zone
    When the engine has loaded version 2
    Then a step that takes no older one begins within 0.3 s

  Scenario: a step is run by an entry with a fast link
    The last groups of a step are several hundred kB. They are sent to the
    store and to the reader's entry; on a link of 30 Mbit/s each way takes a
    tenth of a second, and they come in two or three pages.

    Given 6 entries in 3 zones, one of each zone with a link of 100 Mbit/s
    Then every model's steps are run by the fast entry of the zone
