Feature: experiments on the project's own models

  Scenario: two settings are compared over the same load
    An engine turns slow. With items that may leave it, steps are whole
    sooner than with items that stay.

    Given a load in which an engine turns slow at 2 s
    When it is played with items that may move, and with items that stay
    Then steps with items that may move are at least a quarter faster
    And what was changed for the one is as before for the other

  Scenario: a seed gives the same run again
    Given a load in which an engine turns slow at 2 s
    Then two runs of one seed measure the same

  Scenario: a report holds a row for each scenario
    Given a load in which an engine turns slow at 2 s
    When it is played with items that may move, and with items that stay
    Then its report names both in JSON and HTML

  Scenario Outline: a mistyped scenario file is refused with the field
    Then the scenario file <text> is refused, naming <field>

    Examples:
      | text                              | field      |
      | {"name": "a", "enries": 3}        | enries     |
      | {"name": "a", "entries": "three"} | entries    |
      | {}                                | name       |
      | {"name": "a", /* comment          | scenario   |
