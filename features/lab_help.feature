Feature: help of the lab commands

  Scenario Outline: the help of a command shows its own example and flags
    Failure: the help of a command describes another command, lists the flags
    of all commands, and ends with the exit code of a failure.

    Given the help of <words>
    Then it succeeds, shows <example> and not <other>

    Examples:
      | words           | example                   | other     |
      | demo --help     | python -m lab demo        | --depth   |
      | soak --help     | python -m lab soak --see  | --depth   |
      | experiment -h   | python -m lab experiment  | --depth   |
      | model --help    | python -m lab model       | --engines |
      | --help          | python -m lab COMMAND     | --depth   |
