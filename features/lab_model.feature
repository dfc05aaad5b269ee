Feature: histories of entries that run a job

  Scenario: histories drawn from seeds break no promise
    Entries are paused, killed and stopped. Calls are lost before or after
    they are done, done seconds later, done twice, or refused. Each response
    that the trainer receives meanwhile is checked.

    Given the histories of seeds 1 to 120, of 20 steps each
    Then none of them breaks a promise

  Scenario: an entry that adopts a job late does not deny listed results
    A trainer submits a job. The entry that should own it is paused and is
    not notified. Another entry takes the job over and lists results, which
    are read. Failure: the first entry resumes, is notified that it should
    run the job, and uses an empty ledger as if that were complete. Symptom:
    it denies a position that was read.

    Then this history breaks no promise
      """
      {"name":"seed 486","entries":3,"lengths":[[3,12]],"scored":true,
      "watched":true,"steps":[{"verb":"pause","where":2,"gap_s":0.2},
      {"verb":"fate","where":2,"call":"that stores a job's body",
      "fate":"lost before it was done","count":2,"gap_s":2.3},
      {"verb":"read","where":2,"count":3,"gap_s":0.05}]}
      """

  Scenario: a record leaves out results that are listed before its turn
    The owner is paused and taken over. It resumes with texts that the new
    owner has listed. A read makes it load the results from the store, while
    a record of its own with the same items waits to be written. Failure: the
    record is written unchanged. Symptom: its items are in the store twice.

    Then this history breaks no promise
      """
      {"name":"seed 559","entries":3,"lengths":[[12,3],[40,12]],
      "scored":false,"watched":false,"steps":[{"verb":"go on","gap_s":0.2},
      {"verb":"pause","gap_s":2.3},{"verb":"read","where":2,"count":2,
      "gap_s":2.3},{"verb":"go on","gap_s":1.1}]}
      """

  Scenario: a resumed owner lists its results after those of the new owner
    The owner is paused and taken over, while its items complete at the
    engines. It resumes and lists them under a record number that is in use.
    Failure: it treats the conflict as a success. Symptom: it shows its own
    results at positions at which the new owner has shown others.

    Then this history breaks no promise
      """
      {"name":"seed 440","entries":3,"lengths":[[120,3],[3,12]],
      "scored":false,"watched":true,"steps":[{"verb":"heal","where":2,
      "gap_s":2.3},{"verb":"pause","gap_s":1.1},{"verb":"version","where":2,
      "gap_s":0.05}]}
      """

  Scenario: a resumed owner reads the record under a number in use
    Failure: a resumed owner treats the conflict of its record number as a
    success.

    Then this history breaks no promise
      """
      {"name":"seed 676","entries":3,"lengths":[[12,40],[120,40],[12,12]],
      "scored":false,"watched":true,"steps":[{"verb":"fate","where":1,
      "call":"between entries","fate":"done, and again two seconds later",
      "gap_s":0.5},{"verb":"kill","where":2,"gap_s":0.5},{"verb":"pause",
      "gap_s":0.2},{"verb":"version","where":1,"gap_s":1.1},
      {"verb":"break","where":1,"gap_s":0.2}]}
      """

  Scenario: a resumed owner reads the store before it denies a position
    The owner is paused during a takeover. After it resumes, it does not know
    of the takeover, while a reader has read at the new owner. Failure: the
    old owner does not read the store before it responds to this reader.
    Symptom: it denies a position that was read.

    Then this history breaks no promise
      """
      {"name":"seed 181","entries":2,"lengths":[[120,120],[120,120]],
      "scored":true,"watched":true,"steps":[{"verb":"body","where":1,
      "gap_s":2.3},{"verb":"pause","gap_s":2.3},{"verb":"stop","gap_s":2.3},
      {"verb":"read","where":1,"count":2,"gap_s":0.0}]}
      """

  Scenario: a job that is refused at each attempt never runs
    The job is submitted up to three times, at any entry. The calls that create
    it are rejected, lost, never answered or done seconds later, by the store or
    by another entry. Outages of the store begin with some of them.

    Given the histories of seeds 1 to 60 of a job submitted in 12 steps
    Then none of them breaks a promise

  Scenario: a job that was stored before its connection was reset is not refused
    The store creates a job, resets the connection and is busy for seconds.

    Then this history breaks no promise
      """
      {"name":"submissions","entries":3,"lengths":[[3,12]],"scored":false,
      "watched":true,"steps":[{"verb":"fate","call":"that creates a job",
      "fate":"done, its answer lost, and all others refused","gap_s":0},
      {"verb":"submit","where":1,"gap_s":2.6},{"verb":"submit","where":0,
      "gap_s":2.6}],"steps_submit":true,"kept_connections":true,"startup_s":5}
      """

  Scenario: a job that another entry has created is not refused
    The store rejects the calls of one entry. Another entry relays the creation,
    the connection between them is reset, and the store is busy for seconds.

    Then this history breaks no promise
      """
      {"name":"submissions","entries":3,"lengths":[[3,12]],"scored":false,
      "watched":true,"steps":[{"verb":"reject","where":1,"gap_s":0},
      {"verb":"fate","call":"that relays the creation of a job",
      "fate":"done, its answer lost, and all others refused","gap_s":0},
      {"verb":"submit","where":1,"gap_s":2.6},{"verb":"submit","where":0,
      "gap_s":2.6}],"steps_submit":true,"kept_connections":true,"startup_s":5}
      """

  Scenario: a job whose creation is under way is not refused
    The store loses the connection, creates the job seconds later, and rejects
    all calls meanwhile.

    Then this history breaks no promise
      """
      {"name":"submissions","entries":3,"lengths":[[3,12]],"scored":false,
      "watched":true,"steps":[{"verb":"fate","call":"that creates a job",
      "fate":"done two seconds later, and all others refused","gap_s":0},
      {"verb":"submit","where":1,"gap_s":2.6}],"steps_submit":true,
      "kept_connections":true,"startup_s":5}
      """

  Scenario: a job whose relayed creation is under way is not refused
    The creation is relayed and carried out seconds later, while the store
    rejects all other calls.

    Then this history breaks no promise
      """
      {"name":"submissions","entries":3,"lengths":[[3,12]],"scored":false,
      "watched":true,"steps":[{"verb":"reject","where":1,"gap_s":0},
      {"verb":"fate","call":"that relays the creation of a job",
      "fate":"done two seconds later, and all others refused","gap_s":0},
      {"verb":"submit","where":1,"gap_s":2.6}],"steps_submit":true,
      "kept_connections":true,"startup_s":5}
      """

  Scenario: a job that was stored before the store ended is not refused
    The store creates a job, resets the connection, and then nothing listens at
    its address.

    Then this history breaks no promise
      """
      {"name":"submissions","entries":3,"lengths":[[3,12]],"scored":false,
      "watched":true,"steps":[{"verb":"fate","call":"that creates a job",
      "fate":"done, its answer lost, and nothing listens then","gap_s":0},
      {"verb":"submit","where":1,"gap_s":2.6},{"verb":"submit","where":2,
      "gap_s":2.6}],"steps_submit":true,"kept_connections":true,"startup_s":5}
      """
