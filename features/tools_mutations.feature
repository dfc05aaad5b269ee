Feature: safeguards that are switched off to see whether a test notices

  Scenario: each names a piece of code that is there once
    A change moves the code of a safeguard. Its entry names code that is not
    there any more, and the command that tries all of them breaks off.

    Then every safeguard's code is found once
