Feature: the fault soak with faults aimed at the owner of a job

  Scenario: an owner continues beside the entry that took its job over
    The owner of a job is paused or cut off from the other entries. One of
    them takes the job over, and then the former owner returns and lists
    results of its own. Graceful stops follow one another while the store is
    slow. Readers at every entry compare the results and bodies that they get.

    Given a soak of seed 21 with aimed faults for 13 s
    Then every promise was kept, positions and bodies were checked, and entries reached each other over proxies
