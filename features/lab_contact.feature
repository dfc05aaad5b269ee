Feature: rules for processes in touch, judged while faults go on

  Scenario: entries in touch act on manifests and on upstreams that leave
    Guards against an old manifest, and against requests to an upstream that
    has left, while ways are cut, entries freeze, the store is away, and
    changes fall between two pages.

    When histories of the seeds 1, 3 and 7 are played for 20 s each
    Then each promise was checked in them, and none is broken

  Scenario Outline: an entry is <verdict> <seconds> s after <impairment>
    Guards against a judge that excuses too much or too little.

    Given an entry at which <impairment> lasted for 1 s
    Then <seconds> s after its end the entry is <verdict>

    Examples:
      | impairment                       | seconds | verdict      |
      | a pause                          | 2.9     | not in touch |
      | a pause                          | 3.1     | in touch     |
      | a break of the way               | 2.9     | not in touch |
      | a break of the way               | 3.1     | in touch     |
      | an outage of the store           | 2.9     | not in touch |
      | an outage of the store           | 3.1     | in touch     |
      | a pause of another entry         | 0       | in touch     |
