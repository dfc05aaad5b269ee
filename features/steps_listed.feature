Feature: results that an entry has shown before

  Scenario: whatever was shown and in which order, a page is a part of the job
    Pages drawn by Hypothesis are taken in any order. What is shown from a
    position on is what the job has there, without a gap, within the limit
    for a page; it is called enough only if the job ends there or no more fits.

    Then 300 histories of pages show nothing else

  Scenario: steps that were read long ago make room for new ones
    Given an entry that keeps 1000 bytes of results
    When it has shown 5 jobs of 300 bytes
    Then it knows the last 3 of them

  Scenario: a step that was read whole is read again without its owner
    Clients read steps again and again at entries of other zones. Positions
    never change, so the owner is asked for what is new only.

    Given a site whose other entry has shown a whole job
    When it is read there again from 3 positions
    Then the pages are right, and the owner was asked nothing

  Scenario: what was shown once is shown though owner and store are gone
    An entry that has shown a part of a step reaches neither its owner nor
    the store. It denies nothing of what it has shown.

    Given a site whose other entry has shown a part of a job
    When the owner is killed and the store refuses all calls
    Then the other entry shows the same part again
