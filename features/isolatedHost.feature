Feature: A gateway that reaches neither the table nor its schedulers
  It cannot know whether a change of the configuration was accepted, so it takes no new work.

  Scenario: It refuses as not run, and says so to the balancer
    Given a system with 1 engine, 1 scheduler and 1 gateway
    When a caller asks for 5 tokens from "cluj-tax"
    Then the answer has status 200
    When the platform's table goes down
    And a caller asks for 5 tokens from "cluj-tax"
    Then the answer has status 200
    When every scheduler goes away
    And callers ask until they are told code "configuration_unconfirmed"
    Then the answer has status 503
    And the answer says verdict "not-run" and code "configuration_unconfirmed"
    And the gateway tells the balancer that it is not well
    When the platform's table is back
    Then the gateway tells the balancer that it is well
