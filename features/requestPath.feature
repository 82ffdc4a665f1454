Feature: The path of a request
  A caller's request reaches an engine that has the right adapter and version, and the whole answer comes back.

  Background:
    Given a system with 2 engines, 1 scheduler and 1 gateway

  Scenario: A streamed answer of the current version
    When a caller streams 5 tokens from "cluj-tax"
    Then the answer has status 200
    And the answer is whole, with 5 tokens from "cluj-tax@2"

  Scenario: A whole answer of a named version
    When a caller asks for 5 tokens from "cluj-tax@1"
    Then the answer has status 200
    And the answer is whole, with 5 tokens from "cluj-tax@1"

  Scenario: An adapter that does not exist
    When a caller asks for 5 tokens from "nobody"
    Then the answer has status 404
    And the answer says verdict "not-run" and code "model_not_found"

  Scenario: A call of a plain service
    When a caller posts "hello" to service path "/services/claims/decisions"
    Then the answer has status 200
    And the service has run 1 call

  Scenario: A service that does not exist
    When a caller posts "hello" to service path "/services/nobody/x"
    Then the answer has status 404
    And the answer says verdict "not-run" and code "service_not_found"
