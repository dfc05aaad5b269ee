Feature: the adapter to the platform's machines

  Scenario: nothing outside the adapter knows the wire's names
    Then no module outside bergamotdoor/platform holds a name of the wire
    And the adapter is small, as a whole and in each file

  Scenario: the manifest is decoded into typed routes
    Given the operator's manifest of two routes and a split
    Then its routes have kinds, shares, bounds and limits with their units
    And its split is drawn by weight

  Scenario: an older manifest that comes late changes nothing
    A listing is delayed and arrives behind a newer one. Callers have seen
    the newer routes already.

    Given a process with manifest 7
    When it is shown manifest 5, then 9
    Then it has manifest 7, then 9

  Scenario Outline: what is no manifest or settings is refused with the field
    Then the <what> <text> is refused, naming <field>

    Examples:
      | what     | text                                        | field    |
      | manifest | {"version": "x"}                            | version  |
      | settings | {"node": "a", "zone": "z", "ip": "1.2.3.4"} | platform |
      | settings | {"node": 5}                                 | node     |
      | settings | [                                           | document |

  Scenario: settings that change while a process runs are taken over
    The file changes without a signal, later with one. A broken file in
    between changes nothing.

    Given a running process and its settings file
    When the file names another store, is broken, and names a third one
    Then the process uses the second store, keeps it, and uses the third

  Scenario: whatever bytes come, parsers fail with an error of their own
    Then no random body makes a parser of the adapter fail otherwise
