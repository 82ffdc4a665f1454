Feature: Limits on the callers' port
  Each limit has its own clear error, applied before memory is spent.

  Scenario Outline: <fault>
    Given a system with 1 engine, 1 scheduler and 1 gateway
    When a stranger or caller sends <fault>
    Then the answer has status <status>
    And the answer says verdict "not-run" and code "<code>"

    Examples:
      | fault                        | status | code                     |
      | no key                       | 401    | key_missing              |
      | an unknown key               | 401    | key_unknown              |
      | a body over the limit        | 413    | body_too_large           |
      | a body that does not tell its length and is over the limit | 413 | body_too_large |
      | headers over the limit       | 431    | headers_too_large        |
      | a body that is not JSON      | 400    | invalid_body             |
      | a body without messages      | 400    | invalid_body             |
      | a body nested too deeply     | 400    | invalid_body             |
      | a class that does not exist  | 400    | class_not_found          |
      | an unknown path              | 404    | path_not_found           |
      | an overlong idempotency key  | 400    | idempotency_key_too_long |

  Scenario: A body that stops half-way
    Given a system whose callers' port takes requests that arrive within 300 ms
    When somebody writes half a body to the callers' port
    Then the connection is answered with status 408 and ended
    And host "gateway-1" has counted bad input "request_timeout"

  Scenario Outline: More than a gateway has room for
    Given a system whose callers' port takes <requests> requests with <bytes> bytes in all at once
    And a caller has <open> streams open
    When a caller asks for 5 tokens from "cluj-tax"
    Then the answer has status 503
    And the answer says verdict "not-run" and code "gateway_full"
    And the answer says when to come back
    When the caller hangs up
    Then the engine cancels every stream
    And a caller asks for 5 tokens from "cluj-tax" until the answer has status 200

    Examples:
      | requests | bytes   | open |
      | 2        | 1000000 | 2    |
      | 100      | 220     | 2    |

  Scenario: Requests behind an unanswered one on a connection that closes
    Given a system whose callers' port takes 3 requests with 1000000 bytes in all at once
    When a caller writes 3 streams to one connection and closes it once the first runs
    Then the engine cancels every stream
    And no other stream has begun
    And a caller asks for 5 tokens from "cluj-tax" until the answer has status 200

  Scenario: A connection without a request does not hold a gateway that stops
    Given a system whose callers' port takes requests that arrive within 250000 ms
    When somebody opens a connection to the callers' port and sends nothing
    And the gateway stops
    Then the connection is closed

  Scenario: More of one caller's requests than a queue holds
    Given a system whose endpoints queue 3 requests
    When a caller sends 200 requests of class "patient" at once
    Then each of them is answered, or refused as "queue_full" and told when to come back
    And no engine has started what was refused
    And each answer names request, adapter, version, endpoint and attempt

  Scenario: An answer of a service that is longer than the limit
    Given a system with 1 engine, 1 scheduler and 1 gateway
    When a caller asks a service for an answer over the limit
    Then the answer has status 502
    And the answer says verdict "ran" and code "answer_too_large"

  Scenario Outline: An answer that <fault>
    Given an answer that <fault>
    Then the request is given up
    And the caller is told code "answer_too_large" and verdict "may-have-run"

    Examples:
      | fault                   |
      | is longer than is kept  |
      | its caller does not read |
