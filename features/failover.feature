Feature: Processes that die or stop, as real processes
  Stand-ins, schedulers and gateways run as processes of their own, and some of them are killed or stopped.

  Scenario: A killed scheduler's engines serve again
    Given processes with 3 engines, 3 schedulers and 2 gateways
    When the process of scheduler 1 is killed
    Then every engine serves again
    And no promise was broken among the processes

  Scenario: A killed gateway loses only its own connections
    Given processes with 3 engines, 3 schedulers and 2 gateways
    When a long stream runs through gateway 1 and another through gateway 2
    And gateway 1 is killed
    Then the stream through gateway 2 comes out whole
    And the engines cancel the stream of gateway 1

  Scenario: A scheduler that stops cuts off nothing
    Given processes with 3 engines, 3 schedulers and 2 gateways
    When a long stream runs through gateway 1 and another through gateway 2
    And every scheduler but the last is stopped
    Then the stream through gateway 1 comes out whole
    And the stream through gateway 2 comes out whole

  Scenario: A gateway that stops cuts off nothing
    Given processes with 3 engines, 3 schedulers and 2 gateways
    When a long stream runs through gateway 1 and another through gateway 2
    And gateway 1 is stopped
    Then the stream through gateway 1 comes out whole

  Scenario: Killed schedulers cut their streams, and the callers see it
    Given processes with 3 engines, 3 schedulers and 2 gateways
    When a long stream runs through gateway 1 and another through gateway 2
    And every scheduler is killed
    Then the stream through gateway 1 ends with an error that says "may-have-run"

  Scenario: A request that crashes engines is refused on all hosts
    Given processes with 3 engines, 3 schedulers and 2 gateways
    And requests that contain "boom" crash their engine
    When "boom" is sent through gateway 1 until it is refused with "request_crashes_endpoints"
    And "boom" is sent through gateway 2 until it is refused with "request_crashes_endpoints"
    Then the engines have restarted 2 times
    When "harmless" is sent through gateway 1 until it is answered
    Then the engines have restarted 2 times

  Scenario: A paused scheduler wakes beside engines that ignore fencing numbers
    Given processes with 2 engines of 2 slots that ignore fencing numbers, 2 schedulers and 2 gateways
    When 9 requests for adapters in turn are sent, 3 at once
    And the owner of the first engine is paused
    And 12 requests for adapters in turn are sent, 3 at once
    And every engine has another owner
    And the paused owner wakes
    And 12 requests for adapters in turn are sent, 3 at once
    Then no promise was broken among the processes
    And every adapter in turn was answered whole
