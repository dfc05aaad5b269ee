Feature: pages of results

  Scenario: the last groups of a step come in one page where the link is fast
    Three groups of eight items become whole together. In pages of 250 kB
    a trainer needs three reads, half a second apart, and trains a second
    later.

    Given 24 results of 25 kB and a link of 1000 Mbit/s
    Then one page holds them all

  Scenario: pages stay small where the link is slow
    Five readers come at once after a restart. Pages of a megabyte would
    queue for a second behind a link of 30 Mbit/s, and the readers' entries
    would take the owner for lost.

    Given 24 results of 25 kB and a link of 30 Mbit/s
    Then a page holds at most 260000 bytes

  Scenario: pages stay small where nothing is known of the link
    Given 24 results of 25 kB and a link of 0 Mbit/s
    Then a page holds at most 260000 bytes

  Scenario: no page is larger than a reader takes
    Given 80 results of 25 kB and a link of 10000 Mbit/s
    Then a page holds at most 1000000 bytes

  Scenario: a caller gets all that is listed in one read, however slow a link
    Twelve long texts of a step's last groups are listed together. In pages
    of 250 kB a trainer reads three times, half a second apart, and hands in
    its next step a second later.

    Given a site whose entries have links of 30 Mbit/s, and 500 kB of results
    Then one read at their owner shows them all
