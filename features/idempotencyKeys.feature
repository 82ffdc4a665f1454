Feature: Idempotency keys on the callers' port

  Background:
    Given a system with 2 engines, 1 scheduler and 2 gateways

  Scenario: A call of a plain service runs once
    When gateway 1 is asked to post "visit 7" to "/services/claims/decisions" with key "k1"
    And gateway 2 is asked to post "visit 7" to "/services/claims/decisions" with key "k1"
    Then the answer is a replay of the earlier one
    And the service has run 1 call

  Scenario: A complete answer of a model
    When gateway 1 is asked for 5 tokens with key "k1"
    And gateway 2 is asked for 5 tokens with key "k1"
    Then the answer is a replay of the earlier one
    And the engines have run 1 request

  Scenario: A streamed answer of a model
    When gateway 1 is asked to stream 200 tokens with key "k1"
    And gateway 2 is asked to stream 200 tokens with key "k1"
    Then the answer is a replay of the earlier one
    And the engines have run 1 request

  Scenario: Another body with the same key
    When gateway 1 is asked to post "visit 7" to "/services/claims/decisions" with key "k1"
    And gateway 2 is asked to post "visit 8" to "/services/claims/decisions" with key "k1"
    Then the answer has status 422
    And the answer says verdict "not-run" and code "idempotency_key_reused"

  Scenario: A caller disconnects and retries
    When a caller asks gateway 1 to stream 400 tokens with key "k1", and disconnects
    And gateway 2 is asked to stream 400 tokens with key "k1" until it is not refused
    Then the answer has status 200
    And the answer is marked as replayed
    And the engines have run 1 request

  Scenario: A request that did not run can be retried
    When gateway 1 is asked for 5 tokens of "nobody" with key "k1"
    Then the answer says verdict "not-run" and code "model_not_found"
    When gateway 2 is asked for 5 tokens with key "k1"
    Then the answer has status 200
