Feature: pages of results

  Scenario: the last groups of a step fit into one page if the link is fast
    Three groups of eight items become complete together. With pages of 250 kB
    a trainer would need three reads, half a second apart, and would train a
    second later.

    Given 24 results of 25 kB and a link of 1000 Mbit/s
    Then one page holds them all

  Scenario: pages are small if the link is slow
    Five readers send requests together after a restart. Pages of a megabyte
    would queue for a second at a link of 30 Mbit/s, and the readers' entries
    would take the owner for lost.

    Given 24 results of 25 kB and a link of 30 Mbit/s
    Then a page holds at most 260000 bytes

  Scenario: pages are small if the bandwidth of the link is not known
    Given 24 results of 25 kB and a link of 0 Mbit/s
    Then a page holds at most 260000 bytes

  Scenario: no page is larger than a reader accepts
    Given 80 results of 25 kB and a link of 10000 Mbit/s
    Then a page holds at most 1000000 bytes

  Scenario: one read returns all listed results to a caller, also on a slow link
    Twelve long texts of a step's last groups are listed together. With pages
    of 250 kB a trainer would read three times, half a second apart, and
    submit its next step a second later.

    Given a site whose entries have links of 30 Mbit/s, and 500 kB of results
    Then one read at the job's owner returns them all
