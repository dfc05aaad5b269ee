Feature: the fault soak aims at the owner of a step

  Scenario: an owner goes on beside the one that took its step over
    The owner of a step is paused, or cut off from the other entries; one of
    them takes the step over; the first one comes back and lists results of
    its own. Planned stops follow one another while the store is slow.
    Readers at every entry compare what they are told.

    Given a soak of seed 21 with aimed faults for 13 s
    Then every promise was kept, positions and bodies were checked, and entries reached each other over proxies
