Feature: A gateway that can reach neither the table nor a scheduler
  It cannot know whether a change of the configuration was accepted, so it accepts no new requests.

  Scenario: It refuses requests as not run and fails its health check
    Given a system with 1 engine, 1 scheduler and 1 gateway
    When a caller asks for 5 tokens from "cluj-tax"
    Then the answer has status 200
    When the platform's table goes down
    And a caller asks for 5 tokens from "cluj-tax"
    Then the answer has status 200
    When every scheduler stops
    And callers send requests until the answer has code "configuration_unconfirmed"
    Then the answer has status 503
    And the answer says verdict "not-run" and code "configuration_unconfirmed"
    And the gateway's health check fails
    When the platform's table is back
    Then the gateway's health check succeeds
