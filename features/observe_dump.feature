Feature: state dump

  Scenario: an error in one part does not hide the others
    An operator requests a dump because something is wrong. One part raises
    an exception while its state is read, and the state of another one is too
    large. The dump still contains all other parts, and the types of the two
    errors in place of their parts.
    Given a dump of a valid part, one that raises and one that is too large
    When the dump is collected
    Then the dump shows the valid part and the types of the two errors

  Scenario: no secret leaves the process in a dump
    Parts dump their settings completely. A reader of a dump must not learn
    the keys by which processes authenticate themselves.
    Given a dump of settings with keys and tokens at several depths
    When the dump is collected
    Then the dump holds no secret but shows fencing tokens and unset keys

  Scenario: a second part with the same name is rejected
    Given a dump of settings with keys and tokens at several depths
    When another part is registered for the dump under the same name
    Then the error contains the name of the part
