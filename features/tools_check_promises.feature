Feature: check that what the table of promises names exists

  Scenario: the table names checks, scenarios and mutations that exist
    Guards against rules that lose their check unnoticed, and against checks
    that no rule of the table leads to.

    Then the table of promises has no problem

  Scenario Outline: a row that names <something> is reported
    Guards against a check of the table that finds nothing.

    Given the table of promises with a row that names <something>
    Then its only problem is that <problem>

    Examples:
      | something                       | problem                                               |
      | a check that does not exist     | there is no check soak NOTHING                        |
      | a removed scenario              | utils has no scenario 'gone'                          |
      | a scenario of a missing feature | gone has no scenario 'gone'                           |
      | a removed mutation              | there is no mutation 'gone'                           |
      | a mutation of another feature   | no feature of the row notices 'figures about a load expire' |

  Scenario: a check that stands in no row is reported
    Guards against a promise that is added without its rule.

    Given the table of promises without its rows
    Then each promise of the soak and of the model is reported
