Feature: the adapter to the platform

  Scenario: only the adapter uses names of the platform's protocol
    Then no module outside bergamotdoor/platform contains a name of the protocol
    And the adapter is small, as a whole and in each file

  Scenario: the manifest is decoded to typed routes
    Given the operator's manifest of two routes and a split
    Then its routes have kinds, shares, bounds and limits with their units
    And its split is drawn by weight

  Scenario: fields without a usable value do not make a manifest unreadable
    Otherwise an entry that is upgraded serves no route of the manifest.

    Given a manifest whose priority and strides are null or no table
    Then its route has priority 0, and its services have 58 tokens per event

  Scenario: a route whose weights are all 0 leads where its calls are sent
    Otherwise each of its calls that waited is refused as not admitted.

    Then a route to s1 and s2 with weights of 0 leads to s2 only

  Scenario: an older manifest that arrives late is ignored
    A listing is delayed and arrives after a newer one. Requests of callers
    have already used the newer routes.

    Given a process with manifest 7
    When it receives manifest 5, then 9
    Then it has manifest 7, then 9

  Scenario Outline: an invalid manifest or settings file is rejected with the field
    Then the <what> <text> is rejected with the field <field>

    Examples:
      | what     | text                                        | field    |
      | manifest | {"version": "x"}                            | version  |
      | settings | {"node": "a", "zone": "z", "ip": "1.2.3.4"} | platform |
      | settings | {"node": 5}                                 | node     |
      | settings | [                                           | document |

  Scenario: settings that change while a process runs are applied
    The file may change with or without a signal to the process. A malformed
    file in between is ignored.

    Given a running process and its settings file
    When the file names another store, is malformed, and names a third store
    Then the process uses the second store, keeps it, and uses the third

  Scenario: parsers raise only their documented errors, whatever the bytes
    Then no random body makes a parser raise another error
