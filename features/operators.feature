Feature: The operators' port
  Operators see every host and every request from whichever gateway they ask.

  Background:
    Given a system with 2 engines, 1 scheduler and 2 gateways

  Scenario: The state of the system
    When an operator reads "/api/status" until it shows 2 endpoints
    Then the status names gateways "gateway-1" and "gateway-2"

  Scenario: A request's story from a gateway that did not serve it
    Given a caller asks for 5 tokens from "cluj-tax"
    When an operator explains the request on gateway 2
    Then the story says "answered", class "counter" and version "2"
    And attempt 1 of the story has an endpoint, a handle and verdict "ran"
    And the story names a load as a turn

  Scenario: A request that nobody knows
    When an operator reads "/api/explain/req-nobody"
    Then the operators' answer has status 404 and code "request_unknown"

  Scenario: A live feed of all hosts
    Given an operator watches "class=counter" on gateway 2
    When a caller asks for 3 tokens from "kit-tutor"
    Then the feed shows decisions "admit, chooseEndpoint, dispatch, finish" of the request
    And the feed shows decisions of hosts "gateway-1" and "scheduler-1"

  Scenario: A filter that selects nothing of the request
    Given an operator watches "class=overnight" on gateway 1
    And an operator watches "class=counter" on gateway 1
    When a caller asks for 3 tokens from "kit-tutor"
    Then the feed shows decisions "admit, finish" of the request
    And the first feed has shown nothing

  Scenario: The dump of each process
    When an operator reads "/api/status" until it shows 2 endpoints
    And an operator reads "/api/dump/scheduler-1"
    Then the dump has role "scheduler" and none of the keys
    And the status names gateways "gateway-1" and "gateway-2"
    When an operator reads "/api/dump/gateway-2"
    Then the dump has role "gateway" and none of the keys
    When an operator reads "/api/dump/nobody"
    Then the operators' answer has status 504 and code "host_unreachable"

  Scenario: The live page needs nothing from elsewhere
    When a stranger reads "/" of the operators' port
    Then the page comes with a policy that allows its own script alone

  Scenario: A story outlives the scheduler that ran the request
    Given a caller asks for 5 tokens from "cluj-tax"
    And the scheduler has gone
    When an operator explains the request on gateway 2
    Then attempt 1 of the story has an endpoint, a handle and verdict "ran"
    And attempt 1 of the story tells a wait for "load"

  Scenario: The story of a call of a plain service
    Given a caller posts "hello" to service path "/services/claims/decisions"
    When an operator explains the request on gateway 2
    Then the story's admission says "the call may run once only"

  Scenario: The story of a request that was refused at once
    Given a caller asks for 5 tokens from "nobody"
    When an operator reads the story of the refused request on gateway 2
    Then the story's admission says "refused: adapter "nobody" does not exist"
