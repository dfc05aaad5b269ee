Feature: which engine of a service serves which model

  Scenario: three of four trainers demand 1.8 times as much as the fourth
    Guards against engines that are divided evenly by count: the trainer with
    little work has idle engines while the steps of the others end late.

    Given 22 engines, of which 0 take half the time for an event
    And models that demand 180, 180, 180 and 100 events per second
    When plans are made until none changes
    Then the largest ratio is under that of the even assignment by 10 % or more
    And each plan moves 2 engines at most

  Scenario: a quarter of the engines take half the time for an event
    Guards against a model that has one fast engine while another has three.

    Given 22 engines, of which 5 take half the time for an event
    And models that demand 150, 150, 150 and 150 events per second
    When plans are made until none changes
    Then the largest ratio is under that of the even assignment by 10 % or more

  Scenario: equal demand and equal engines need no plan
    Guards against plans, and so weight loads, in a deployment that the even
    assignment serves well.

    Given 22 engines, of which 0 take half the time for an event
    And models that demand 150, 150, 150 and 150 events per second
    Then there is no plan

  Scenario: a single model needs no plan
    Given 5 engines, of which 2 take half the time for an event
    And a model that demands 150 events per second
    Then there is no plan

  Scenario: more models than engines need no plan
    Guards against a plan that names one model for each engine, so that some
    models get no new weights.

    Given 2 engines, of which 1 take half the time for an event
    And models that demand 150, 10 and 10 events per second
    Then there is no plan

  Scenario: a model without demand keeps an engine
    Guards against a trainer whose first step finds no engine with the newest
    weights.

    Given 8 engines, of which 2 take half the time for an event
    And models that demand 150, 150, 150 and 0 events per second
    When plans are made until none changes
    Then each model has an engine
    And the model without demand has 1 engine

  Scenario Outline: noise of 10 % in demand and speed changes no plan
    Guards against weight loads that gain nothing, since each measurement
    differs from the one before. A model has a step every 4 s, and each owner
    tells the demand and the intervals of its own engines.

    Given 22 engines, of which <fast> take half the time for an event
    And models that demand <demands> events per second
    When plans are made until none changes
    Then 600 s with 10 % of noise change nothing

    Examples:
      | fast | demands                   |
      | 5    | 180, 180, 180 and 100     |
      | 5    | 149, 84, 123 and 149      |
      | 0    | 139, 79, 139 and 123      |
      | 0    | 150, 150, 150 and 150     |

  Scenario: a new engine is added at once, and one that is gone is no move
    Given 22 engines, of which 5 take half the time for an event
    And models that demand 180, 180, 180 and 100 events per second
    When plans are made until none changes
    And one engine is replaced by another one shortly after the last plan
    Then the next plan names the new engine and moves no other

  Scenario: a model that lost its only engine gets another one at once
    Given 10 engines, of which 0 take half the time for an event
    And models that demand 150, 150, 150 and 0 events per second
    When plans are made until none changes
    And the only engine of a model is gone shortly after the last plan
    Then each model has an engine after the next plan

  Scenario: an engine that drains keeps its model and counts for nothing
    Guards against a weight load of an engine that completes its last items.

    Given 10 engines, of which 0 take half the time for an event
    And models that demand 150, 150, 150 and 10 events per second
    When plans are made until none changes
    And all engines of the model with most engines but one drain
    Then the next plans leave these as they are and give the model another

  Scenario: engines of a model of unknown demand are left alone
    Guards against the first demand that is told after a start: if the other
    models counted as ones without demand, their engines would be taken.

    Given 10 engines, of which 0 take half the time for an event
    And models that demand 150, 0, 0 and 0 events per second
    And the demand of the last 3 models is unknown
    Then there is no plan

  Scenario: an engine is given to a model without one despite unknown demand
    Guards against a model that nobody serves after its only engine is gone,
    because the demand of all other models is unknown.

    Given 10 engines, of which 0 take half the time for an event
    And models that demand 150, 0, 0 and 0 events per second
    And the demand of the last 3 models is unknown
    Then the first model gets an engine of another one if it has none

  Scenario: an engine for a model without one starts no other moves
    Guards against engines that change their model although the last change of
    the plan has had no effect yet.

    Given 22 engines, of which 0 take half the time for an event
    And models that demand 300, 20, 20 and 20 events per second
    Then only one engine moves to a model without one while none may move

  Scenario: an engine that moved a short time ago stays
    Guards against engines that move back and forth with the noise of the
    measurements.

    Given 22 engines, of which 0 take half the time for an event
    And models that demand 300, 20, 20 and 20 events per second
    Then engines are held for 60 s after their move
    And the rest of a change is made only for a gain of 5 %

  Scenario: a search ends soon with many engines
    Guards against an event loop that stops for seconds while a plan of
    hundreds of engines is searched.

    Then a plan of 700 engines and 9 models compares few exchanges
    And there is no search where no assignment can gain enough

  Scenario: a trainer whose owner cannot reach the planner keeps its engines
    Guards against a planner that takes the engines of a model because it has
    not heard of it for 30 s, although its trainer publishes versions.

    Then a model that is not told is unknown for 30 s after its version rose

  Scenario: a model whose steps have no due time keeps its engines
    Guards against a planner that takes the engines of a model because the
    demand of its steps cannot be computed.

    Then a model is unknown for 30 s after it is told with a demand of 0

  Scenario: plans of any input have the promised properties
    Then in 300 cases the same input gives the same plan, every model has an engine, few engines move and the plans end

  Scenario: the demand of a model does not depend on how often steps come
    Guards against a trainer that falls behind and loses engines because of it.

    Given steps of 10 and 20 events per second, 14 s apart
    Then the second demand is told as 20, and one 2 s later of 5 as 20
    And a step of 5 after 20 s more is told as 5

  Scenario: items without a hint count with the mean of the others
    Then items of 100, 300, no and no tokens count as 800

  Scenario: told intervals and demands expire
    Given the owner of a model tells a demand of 5 and an interval of 40 ms
    Then the owner of another model hears of it for 15 s, and its own does not
    And the demand is settled after 8 s
    And the model has a demand for 30 s
    And other models are unknown for 30 s from the first demand on
    And figures that are not positive are ignored

  Scenario: agents follow a plan, and else the even assignment
    Given 6 engines that 2 models share
    Then an engine that the plan names with a model loads that model
    And engines without a place in the plan are assigned evenly
    And a model in the plan that is no longer registered has no effect
    And turns count the engines of the same model in the plan

  Scenario: an agent keeps its plans while they cannot be listed
    Guards against engines that all load weights in an outage of the store.

    Then an agent that cannot list the plans again keeps those that it has

  Scenario: an agent that starts waits for the plans
    Guards against an engine that loads the weights of the even assignment
    first and those of its plan later, because the plans could not be listed.

    Then an agent that cannot list plans has no model until it can
    And it uses the even assignment after 10 s without a listing

  Scenario: the state shows no demand that is too old to count
    Guards against a state that lists the demand of a trainer that has ended.

    Then a demand is in the state for 30 s

  Scenario: intervals near zero are ignored
    Guards against an engine that counts as many times faster than the others,
    because an owner that was paused measured events that arrived together.

    Then an interval under a quarter of the median of all engines is ignored
    And the interval of an engine is the median of what was told

  Scenario: engines move in portions, and none that drains is counted
    Guards against many engines that load weights at the same time.

    Then plans that move engines are written at least 8 s apart until none is
    And an engine that drains is planned without capacity
