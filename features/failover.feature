Feature: Processes that die or stop, as real processes
  Stand-ins, schedulers and gateways run as processes of their own, and some of them are killed or stopped.

  Background:
    Given processes with 3 engines, 3 schedulers and 2 gateways

  Scenario: A killed scheduler's engines serve again
    When the process of scheduler 1 is killed
    Then every engine serves again
    And no promise was broken among the processes

  Scenario: A killed gateway loses only its own connections
    When a long stream runs through gateway 1 and another through gateway 2
    And gateway 1 is killed
    Then the stream through gateway 2 comes out whole
    And the engines cancel the stream of gateway 1

  Scenario: A scheduler that stops cuts off nothing
    When a long stream runs through gateway 1 and another through gateway 2
    And every scheduler but the last is stopped
    Then the stream through gateway 1 comes out whole
    And the stream through gateway 2 comes out whole

  Scenario: A gateway that stops cuts off nothing
    When a long stream runs through gateway 1 and another through gateway 2
    And gateway 1 is stopped
    Then the stream through gateway 1 comes out whole

  Scenario: Killed schedulers cut their streams, and the callers see it
    When a long stream runs through gateway 1 and another through gateway 2
    And every scheduler is killed
    Then the stream through gateway 1 ends with an error that says "may-have-run"

  Scenario: A request that crashes engines is refused on all hosts
    Given requests that contain "boom" crash their engine
    When "boom" is sent through gateway 1 until it is refused with "request_crashes_endpoints"
    And "boom" is sent through gateway 2 until it is refused with "request_crashes_endpoints"
    Then the engines have restarted 2 times
