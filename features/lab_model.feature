Feature: histories of entries that run a job

  Scenario: histories drawn from seeds break no promise
    Entries are paused, killed and stopped; calls are lost before or after
    they are done, done seconds later, done twice, refused. What a trainer
    reads meanwhile is checked answer by answer.

    Given the histories of seeds 1 to 120, of 20 steps each
    Then none of them breaks a promise

  Scenario: an entry that adopts a job late does not hide what is listed
    A trainer hands a job in; its home entry is paused and does not hear of
    it. Another entry takes the job over and lists results, which are read.
    The home goes on, hears that it should run the job, and begins with an
    empty ledger that it takes for complete: it denies a position that was
    read.

    Then this history breaks no promise
      """
      {"name":"seed 486","entries":3,"lengths":[[3,12]],"scored":true,
      "watched":true,"steps":[{"verb":"pause","where":2,"gap_s":0.2},
      {"verb":"fate","where":2,"call":"that stores a job's body",
      "fate":"lost before it was done","count":2,"gap_s":2.3},
      {"verb":"read","where":2,"count":3,"gap_s":0.05}]}
      """

  Scenario: what is read while a record waits for its turn is left out of it
    The owner is paused and taken over. It goes on with texts that the other
    one has listed. A reader makes it read what is in the store; meanwhile a
    record with the same items waits for its turn, and is stored as it was:
    its items stand in the store twice.

    Then this history breaks no promise
      """
      {"name":"seed 559","entries":3,"lengths":[[12,3],[40,12]],
      "scored":false,"watched":false,"steps":[{"verb":"go on","gap_s":0.2},
      {"verb":"pause","gap_s":2.3},{"verb":"read","where":2,"count":2,
      "gap_s":2.3},{"verb":"go on","gap_s":1.1}]}
      """

  Scenario: an owner that wakes up lists behind what another one has listed
    The owner is paused and taken over; its items end at the engines
    meanwhile. It goes on and lists them under a number that is taken. Were
    the refusal read as a success, it would show its own results at positions
    at which the other one has shown others.

    Then this history breaks no promise
      """
      {"name":"seed 440","entries":3,"lengths":[[120,3],[3,12]],
      "scored":false,"watched":true,"steps":[{"verb":"heal","where":2,
      "gap_s":2.3},{"verb":"pause","gap_s":1.1},{"verb":"version","where":2,
      "gap_s":0.05}]}
      """

  Scenario: an owner that wakes up asks before it denies a position
    The owner is paused past a takeover. A reader has read at the new owner,
    comes back to the one that has just gone on, which knows of nothing yet.
    Not asking the store first, it would deny a position that was read.

    Then this history breaks no promise
      """
      {"name":"seed 181","entries":2,"lengths":[[120,120],[120,120]],
      "scored":true,"watched":true,"steps":[{"verb":"body","where":1,
      "gap_s":2.3},{"verb":"pause","gap_s":2.3},{"verb":"stop","gap_s":2.3},
      {"verb":"read","where":1,"count":2,"gap_s":0.0}]}
      """
