Feature: cache of listed results

  Scenario: a cached page is a gapless part of the job
    Hypothesis draws pages and the order in which they are added. The results
    that the cache returns from a position on are those of the job there,
    without a gap and within the limit for a page. They are marked as all that
    a page needs only if the job ends there or no more results fit.

    Then this holds for 300 histories of pages

  Scenario: jobs whose pages were added long ago are evicted
    Given a result cache of 1000 bytes
    When pages of 5 jobs of 300 bytes are added
    Then the last 3 of them are cached

  Scenario: a job that was read completely is read again without its owner
    Clients read jobs again and again at entries of other availability zones.
    Positions never change, so only new results are requested from the owner.

    Given a site whose other entry has shown a whole job
    When it is read there again from 3 positions
    Then the pages are right, and the owner received no message

  Scenario: cached results are returned without owner and store
    An entry has returned a part of a job, and now reaches neither the job's
    owner nor the store. It still returns the results that it returned before.

    Given a site whose other entry has shown a part of a job
    When the owner is killed and the store refuses all calls
    Then the other entry shows the same part again
