Feature: Metrics and dumps
  Few lines leave a host however many requests it serves.

  Scenario: Waits and stalls are told by class and cause
    Given a process that sends metrics
    When 100 requests of class "counter" are dispatched after 200 ms for "load" and 50 ms for "queue"
    And the metrics of 12 seconds are sent
    Then metric "stalls.sum_ms" of class "counter" is 20000
    And metric "waits.sum_ms" of class "counter" and cause "queue" is 5000
    And metric "waits.p95_ms" of class "counter" and cause "load" is within 2 of 200
    And metric "dispatches" of class "counter" is 100
    And at most 40 lines were sent
    And the page on metrics names each of them

  Scenario: Batch efficiency is the share of the places in busy batches
    Given a process that sends metrics
    When its endpoint runs 4 of 16 requests of class "overnight" for 5 seconds and nothing for 5 seconds
    And the metrics of 12 seconds are sent
    Then metric "batch_efficiency.class" of class "overnight" is 0.25

  Scenario: The page on metrics lists what is sent, and nothing else
    Given a process that sends metrics
    When a decision of every kind is taken, input is refused and an endpoint has a queue
    And the metrics of 12 seconds are sent
    Then the names sent are those that the page on metrics lists

  Scenario: Figures reach a StatsD server
    Given a StatsD server and a system that sends to it
    When a caller asks for 3 tokens from "cluj-tax"
    And the system is stopped
    Then the server has got "sedgevalve.requests.answered:1|c" with the tags of a gateway
    And the server has got "sedgevalve.loads:1|c" with the tags of a scheduler

  Scenario: A process writes its state at SIGUSR2 and goes on
    Given the quick start runs in a process of its own
    When the process gets SIGUSR2
    Then its standard error holds a line of JSON with every task and none of the keys
    When the process gets SIGUSR2
    Then its standard error holds a line of JSON with every task and none of the keys

  Scenario: A failed load is counted and told
    Given a process that sends metrics
    When a load fails
    And the metrics of 12 seconds are sent
    Then metric "loads.failed" is 1
