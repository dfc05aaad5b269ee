Feature: the planner of a service writes its plan, and agents follow it

  Scenario: a plan is written and its engines load the other model
    Three of four engines are needed by one model. The plan gives it one of the
    other model's two, whose agent then loads its published version.

    Given a site of 3 entries and 4 engines that 2 models share
    When model b demands 3 times as much as model a for 60 s
    Then the plan gives model b 3 engines
    And the agent of the engine that the plan moved loads model b
    And the state, the metrics and the log show the plan
    And fewer than 20 calls to the store were made for plans

  Scenario: models of equal demand get no plan
    Guards against weight loads, and writes to the store, in a deployment that
    the even assignment serves well.

    Given a site of 3 entries and 4 engines that 2 models share
    When model b demands 1 times as much as model a for 60 s
    Then there is no plan in the store

  Scenario: jobs of a single model are told to nobody
    Given a site of 2 entries whose engines serve one model
    When jobs run there
    Then no demand is told and no call to the store is made for plans

  Scenario: the steps of a trainer are told to the planner
    Given a site of 2 entries and 4 engines that 2 models share
    When a trainer of model m submits steps of 8 items of 20 events, 4 s apart
    Then the planner knows a demand of 18.4 events per second
    And the owner has learned the interval that another owner measured

  Scenario: a trainer whose steps have no due time is known to the planner
    Guards against a planner that takes the engines of a model because its
    owner never tells of it.

    Given a site of 2 entries and 4 engines that 2 models share
    When a trainer of model m submits a step without a due time
    Then the planner knows that the demand of model m is not known

  Scenario: a planner that is gone is replaced by the next entry
    Guards against a plan that is never changed again after the planner ended
    without notice.

    Given a site of 2 entries and 4 engines that 2 models share
    When the planner is killed and a trainer of model m submits a step
    Then the remaining entry knows its demand

  Scenario: three planners that are gone do not stop the telling
    Guards against a demand that nobody is told of while as many entries as
    are asked have ended, and are still registered.

    Given a site of 5 entries and 4 engines of models m and other
    When the first 3 planners are killed and a trainer of model m submits 2 steps
    Then the remaining entry knows its demand

  Scenario: a single model needs no plan from the store
    Given a site of 2 entries whose engines serve one model
    When the demand of that model is told
    Then no call to the store was made for plans

  Scenario: an entry of the previous release does not know the message
    It answers with status 400, as any release does to bytes it can't decode.

    Given a site of 2 entries and 4 engines that 2 models share
    When the planner is of the previous release and a trainer of model m submits a step
    Then the remaining entry knows its demand

  Scenario: two entries that both plan do not overwrite each other
    Guards against entries that see different lists of entries: each would
    replace the other's plan without having read it.

    Given a site of 3 entries and 4 engines that 2 models share
    When two entries are told the same demands for 60 s
    Then the plan was written once

  Scenario: a paused planner writes late
    Another entry has written a plan since the paused one read the store.

    Given a site of 3 entries and 4 engines that 2 models share
    When a planner decides from a plan that is replaced before it writes
    Then the plan of the other entry stays

  Scenario: the store is unavailable
    The planner writes once the store is back, and agents keep the assignment
    that they have.

    Given a site of 3 entries and 4 engines that 2 models share
    When model b demands 3 times as much as model a while the store is down
    Then the plan gives model b 3 engines after the store is back

  Scenario: the answer to a write is lost
    Guards against a planner that repeats a write whose outcome it does not
    know: it reads the plan first, and finds its own.

    Given a site of 3 entries and 4 engines that 2 models share
    When the answer to the first write of a plan is lost
    Then the plan gives model b 3 engines
    And the plan was written once

  Scenario: an object that is no plan
    Guards against another writer's object that stops the planner or an agent.

    Given a site of 3 entries and 4 engines that 2 models share
    And an unreadable object in place of the plan
    When model b demands 3 times as much as model a for 60 s
    Then the plan gives model b 3 engines

  Scenario: a fallback planner leaves engines of models it does not hear of
    The owner of one model cannot reach the first planner and tells the next
    entry. That entry does not know what the other models demand.

    Given a site of 3 entries and 4 engines that 2 models share
    And a plan in force that gives each model 2 engines
    When only the demand of model b is told to another entry for 60 s
    Then the plan was not changed

  Scenario: an engine that restarts keeps its place in the plan
    Guards against a weight load after each restart. A new engine appears while
    the other one is gone, so the plan is written meanwhile.

    Given a site of 3 entries and 4 engines that 2 models share
    And a plan in force that gives each model 2 engines
    When an engine is gone for 10 s while the demands are 1 to 1
    Then the plan names the new engine, and the other one as before
