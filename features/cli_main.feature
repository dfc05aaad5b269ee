Feature: command line

  Scenario: the help shows the commands and only their own flags
    Then the command line ends
      | words                                  | code | says                        |
      | --help                                 | 0    | run beside an engine        |
      |                                        | 2    | usage: bergamotdoor COMMAND |
      | gatewya                                | 2    | perhaps 'gateway'           |
      | gateway --help                         | 0    | SIGHUP has it read the file |
      | agent -h                               | 0    | BERGAMOTDOOR_CONFIG         |
      | gateway --settings=x                   | 2    | It takes no arguments       |
      | ctl --help                             | 0    | --entries=IP[:PORT]         |
      | ctl                                    | 2    | one SUBCOMMAND is expected  |
      | ctl aply                               | 2    | no subcommand 'aply'        |
      | ctl status                             | 2    | --entries=IP[:PORT],... is  |
      | ctl status now --entries=127.0.0.1     | 2    | one SUBCOMMAND is expected  |
      | ctl status --entires=127.0.0.1         | 2    | Did you mean: entries       |
      | ctl status --entries=localhost:x       | 2    | expected IP:PORT            |
      | ctl status --entries=127.0.0.1:1       | 1    | 127.0.0.1:1: no answer      |
      | ctl dump --entries=127.0.0.1:1         | 1    | {"127.0.0.1:1": null}       |
    And no help of the command line shows a flag of absl

  Scenario: commands check the settings before a process starts
    Then the command line ends with settings
      | words   | settings                                    | code | says                    |
      | gateway | none                                        | 1    | a readable JSON file    |
      | gateway | {"node": 5}                                 | 1    | node                    |
      | agent   | {"node": "a", "zone": "z", "ip": "1.2.3.4"} | 1    | platform                |

  Scenario: ctl status shows the state of all entries
    Two entries have manifests 7 and 9, and one does not respond. One entry
    sends no requests to an engine that refused one, until a backoff ends.
    Both know which entry reports usage.

    Then the status of the entries is
      """
      entries: 2 of 3 answer
        127.0.0.1:3: no answer
      manifest: 7 and newer in force everywhere
      manifest: known to be current 7.5 s ago everywhere
      usage: reported by entry-1, token 4, decided below window 90, 1 open
      upstreams: 1
        i-1 (lm): 5 in flight, resting at 1 of 2 entries, leaving, takes 150 % of the usual time, up to 4 told by other entries, load known at 1 entries, up to 0.5 s old, m 4
      jobs in progress: 1
        j-1: 3 of 8 results listed
      """

  Scenario: a daemon of the command line stops gracefully on the first signal
    When a daemon of the command line gets SIGTERM after 5 seconds
    Then the daemon of the command line was started and stopped, with code 0

  Scenario: a second signal ends a daemon of the command line at once
    # The graceful stop waits for a long request. The operator sends a
    # second signal to end the process without waiting.
    When a daemon of the command line gets SIGTERM after 5 and SIGINT after 6 seconds
    Then the daemon of the command line was ended at 6 seconds with code 130

  Scenario: a repeated SIGTERM does not cut a graceful stop short
    Guards against requests in progress that are cut off since the platform
    sends its signal twice.

    When a daemon of the command line gets SIGTERM after 5 and SIGTERM after 6 seconds
    Then the daemon of the command line was started and stopped, with code 0

  Scenario: a daemon of the command line can be stopped while it starts
    # The platform is down and the start waits for it. The stop must not
    # wait for the platform as well.
    When a daemon of the command line whose start hangs gets SIGTERM after 5 seconds
    Then the daemon of the command line was stopped but not started, with code 0

  Scenario: a daemon of the command line whose start fails exits with code 1
    When the port of a daemon of the command line is already in use
    Then the daemon of the command line was stopped but not started, with code 1

  Scenario: a daemon of the command line whose stop hangs is ended at its timeout
    When a daemon of the command line whose stop hangs gets SIGTERM after 5 seconds
    Then the daemon of the command line ended after 15 seconds with code 1

  Scenario: callers can connect before the modules of a gateway are loaded
    A VM restarts, and callers connect at once. The process opens its socket
    first, and then loads its modules, which takes a tenth of a second.

    Then a gateway listens for callers before asyncio and its own modules load

  Scenario: signals that arrive while a process loads its modules
    The platform starts a process, and at once sends it a signal that its
    settings have changed, or that it must stop. The process must not end as
    in a crash.

    Then a process that gets SIGHUP before its modules are loaded goes on
    And a process that gets SIGTERM before its modules are loaded exits with code 0

  Scenario: settings that change while a process starts are applied
    When the settings file changes between its reading and the start
    Then the settings of the changed file are applied
