Feature: prompts that end engines, in several steps of a trainer

  Scenario: a prompt is sent on at most three times once three engines ended
    Guards against strikes that other items take away.

    Given a trainer's steps with 1 prompt that ends engines
    When the steps of seeds 1 to 3 run at a site with 5 engines
    Then each prompt is sent at most 3 times once 3 engines have ended under it

  Scenario: each of several such prompts is sent on at most three times
    Guards against a count that stays low: copies of a prompt end engines at
    the same moment, and beside copies of the others.

    Given a trainer's steps with 3 prompts that end engines
    When the steps of seeds 4 to 6 run at a site with 5 engines
    Then each prompt is sent at most 3 times once 3 engines have ended under it

  Scenario: each of many such prompts is sent on at most three times
    Guards against the same where no engine ends under one prompt alone.

    Given a trainer's steps with 6 prompts that end engines
    When the steps of seeds 1 to 3 run at a site with 5 engines
    Then each prompt is sent at most 3 times once 3 engines have ended under it
