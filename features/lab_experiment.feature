Feature: experiments on the project's own models

  Scenario: two settings are compared over the same load
    One engine becomes slow. Steps whose items may move to another engine are
    complete sooner than steps whose items stay on it.

    Given a load in which an engine turns slow at 2 s
    When it is run with items that may move, and with items that stay
    Then steps with items that may move are at least a quarter faster
    And the changed constant has its previous value again

  Scenario: two runs of one seed are the same
    Given a load in which an engine turns slow at 2 s
    Then two runs of one seed measure the same

  Scenario: a report holds a row for each scenario
    Given a load in which an engine turns slow at 2 s
    When it is run with items that may move, and with items that stay
    Then its report names both scenarios in JSON and HTML

  Scenario Outline: the error of an invalid scenario file names the field
    Then the scenario file <text> is rejected with an error that names <field>

    Examples:
      | text                              | field      |
      | {"name": "a", "enries": 3}        | enries     |
      | {"name": "a", "entries": "three"} | entries    |
      | {}                                | name       |
      | {"name": "a", /* comment          | scenario   |
