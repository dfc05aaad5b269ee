Feature: engines that end by themselves in bursts, over several steps

  Scenario: every item of a trainer's steps is completed after bursts of crashes
    Guards against sound items that are held back, in this step or the next
    ones, since several engines ended while they ran them.

    Given the steps of a trainer, in which some items come again
    When they run with seeds 1 to 3, and engines end in three bursts
    Then each item of each step is listed as completed 15 s after the last burst
