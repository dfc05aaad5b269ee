Feature: the assembly of a step

  Scenario: spans have to account for an answer
    Given the assembly's answers with these spans and token counts
      | spans     | tokens | problem    |
      | 3:10      | 10     |            |
      | 3:6 4:4   | 10     |            |
      |           | 10     | MISSING    |
      | 3:9       | 10     | MISCOUNTED |
      | 3:10 4:0  | 10     | EMPTY      |
      | 0:10      | 10     | EMPTY      |
    Then each is taken or refused as the assembly's table says

  Scenario: the first whole answer of a hedged sample wins
    Given the assembly of a step of 2 groups of 4 samples
    When all but one sample of the assembly finish and one runs 9 times as long
    Then the assembly asks where the straggler is and runs it elsewhere
    And the second run's answer counts, the first is cancelled
    And the assembly commits 8 samples, each once

  Scenario: long samples are not run again, those of a slow engine are
    Lengths are heavy-tailed. On the engines that keep up the last samples
    are long, and a second run would be as long; one engine lags.
    Given the assembly of a step of 10 groups of 20 samples
    When the assembly's engines are prompt on 85% but engine-0 on nothing
    Then the assembly runs only samples of engine-0 a second time
    And a sample that the assembly gets back may run on engine-0 again

  Scenario: the longest samples run first when a step is drawn again
    Given the assembly of a step of 1 groups of 8 samples
    When the assembly's samples took 8 to 1 s and then become too old
    Then the assembly runs them again in the order of their lengths

  Scenario: second runs are bounded
    The engines are not loaded with second runs when many samples are long.
    Given the assembly of a step of 10 groups of 20 samples
    When half of the assembly's samples finish and the rest runs on and on
    Then the assembly runs at most 20 samples a second time

  Scenario: a sample that is refused waits as long as it was told
    Given the assembly of a step of 1 groups of 8 samples
    When engines refuse the assembly's runs and ask for 2000 ms
    Then no run of the assembly begins before 2 s and all begin within 3 s

  Scenario: few slots that all hang do not stop a step for good
    Engines refused all but four runs, and then these four hang: no run
    ends, so no end widens the window.
    Given the assembly of a step of 1 groups of 8 samples
    When engines refuse all but 4 runs of the assembly, which then hang
    Then every sample of the assembly has begun a run within 30 s

  Scenario: a version makes finished and running samples too old
    Given the assembly of a step of 1 groups of 8 samples
    When half of the assembly finishes on version 1 and version 3 is published
    Then the assembly cancels 4 runs and begins 8 runs on version 3

  Scenario: an uncollected batch is refreshed, but not without end
    The trainer may be gone; its batch must not keep the engines busy.
    Given the assembly of a step of 1 groups of 8 samples
    When the assembly's batch is committed and 10 versions are published
    Then the assembly ran each sample 3 times

  Scenario Outline: fresher engines are preferred as the bound nears
    Given the assembly's view of versions with a bound of <bound>
    When versions were published every 600 s up to <current>
    Then a run with <left> s to go prefers version <floor> <since> s later

    Examples:
      | bound | current | left | since | floor |
      | 0     | 5       | 10   | 0     | 5     |
      | 1     | 5       | 10   | 0     | 4     |
      | 1     | 5       | 10   | 595   | 5     |
      | 2     | 5       | 10   | 0     | 3     |
      | 2     | 5       | 700  | 0     | 4     |
      | 2     | 5       | 1900 | 0     | 5     |

  Scenario: parts stay below the size of a stored object
    Given the assembly's batch of 300 samples of 4 KB and one of 900 KB
    Then each of its parts has at most 1000000 bytes, and all unpack alike
