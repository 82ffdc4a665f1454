Feature: Limits on the callers' port
  Each limit has its own clear error, applied before memory is spent.

  Background:
    Given a system with 1 engine, 1 scheduler and 1 gateway

  Scenario Outline: <fault>
    When a stranger or caller sends <fault>
    Then the answer has status <status>
    And the answer says verdict "not-run" and code "<code>"

    Examples:
      | fault                        | status | code                     |
      | no key                       | 401    | key_missing              |
      | an unknown key               | 401    | key_unknown              |
      | a body over the limit        | 413    | body_too_large           |
      | headers over the limit       | 431    | headers_too_large        |
      | a body that is not JSON      | 400    | invalid_body             |
      | a body without messages      | 400    | invalid_body             |
      | a class that does not exist  | 400    | class_not_found          |
      | an unknown path              | 404    | path_not_found           |
      | an overlong idempotency key  | 400    | idempotency_key_too_long |
