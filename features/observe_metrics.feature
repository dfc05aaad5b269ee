Feature: metrics

  Scenario: latencies and counts of a service are summarised
    Given metrics with latencies of 1 to 100 ms for one stage
    And a count of 3 for one reason
    When the metrics are summarised
    Then the metrics give percentiles within one percent, and the count

  Scenario: many service names lose detail, but use no more memory
    A caller sends requests with ever new service names. If each got its own
    histogram, the process would grow by 20 KB per name until it is killed on
    the VM, and all requests in progress would be lost. Beyond the bound, all
    further services share one series.
    Given metrics of 5000 different services
    When the metrics are summarised
    Then the metrics hold a bounded number of series and lost no measurement

  Scenario: a latency outside the range counts as the nearest one in it
    Given metrics with a latency of three days and one below zero
    When the metrics are summarised
    Then the metrics show an hour as the longest and nothing below zero
