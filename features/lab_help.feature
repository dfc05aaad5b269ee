Feature: help of the laboratory's commands

  Scenario Outline: each command tells what it does, with an example
    A newcomer asks a command for help. It described another command, listed
    the flags of all of them, and ended as if it had failed.

    Given the help of <words>
    Then it ends well, shows <example> and not <other>

    Examples:
      | words           | example                   | other     |
      | demo --help     | python -m lab demo        | --depth   |
      | soak --help     | python -m lab soak --see  | --depth   |
      | experiment -h   | python -m lab experiment  | --depth   |
      | model --help    | python -m lab model       | --engines |
      | --help          | python -m lab COMMAND     | --depth   |
