Feature: Who may come in
  Each port takes its own keys alone, and says no before it reads a body.

  Background:
    Given a system with 1 engine, 1 scheduler and 1 gateway

  Scenario Outline: Strangers and wrong roles on the operators' port
    When somebody sends <method> "<path>" with key "<key>" to the operators' port
    Then the operators' answer has status 401 and code "<code>"
    And the operators' port has counted 1 bad input "<code>"

    Examples:
      | method | path                   | key                   | code        |
      | GET    | /api/status            |                       | key_missing |
      | GET    | /api/status            | sv-nobody             | key_unknown |
      | GET    | /api/status            | sv-example-caller-key | key_unknown |
      | GET    | /api/watch             | sv-example-caller-key | key_unknown |
      | GET    | /api/dump/gateway-1    | sv-example-caller-key | key_unknown |
      | GET    | /api/explain/req-1     | sv-example-caller-key | key_unknown |

  Scenario: An operator's key opens nothing for callers
    When somebody asks the callers' port with key "sv-example-operator-key"
    Then the answer has status 401
    And the answer says verdict "not-run" and code "key_unknown"

  Scenario: A registered operator's key opens the operators' port, until it is a caller's
    Given key "sv-second-operator" is registered for an operator
    When somebody sends GET "/api/status" with key "sv-second-operator" to the operators' port
    Then the operators' answer has status 200
    When somebody asks the callers' port with key "sv-second-operator"
    Then the answer has status 401
    Given key "sv-second-operator" is registered for a caller
    When somebody sends GET "/api/status" with key "sv-second-operator" to the operators' port
    Then the operators' answer has status 401 and code "key_unknown"

  Scenario: A stranger on the peers' port
    When a stranger opens a link to the scheduler with key "not-the-key-of-the-peers"
    Then the link is closed and the stranger has received nothing
    And host "scheduler-1" has counted bad input "peer_key_unknown"

  Scenario: A peer that sends something other than messages
    When a peer with the right key sends "not a batch of messages"
    Then its link is closed
    And host "scheduler-1" has counted bad input "peer_message_invalid"
    When a caller asks for 3 tokens from "kit-tutor"
    Then the answer has status 200

  Scenario: A peer that does not begin with a hello
    When a peer with the right key sends a message before its hello
    Then its link is closed
    And host "scheduler-1" has counted bad input "peer_message_unexpected"

  Scenario: Strangers on the callers' port are counted
    When somebody asks the callers' port with key "sv-example-operator-key"
    Then host "gateway-1" has counted bad input "key_unknown"

  Scenario Outline: Bad input on the operators' port
    When an operator reads "<path>"
    Then the operators' answer has status <status> and code "<code>"
    And the operators' port has counted 1 bad input "<code>"

    Examples:
      | path                     | status | code               |
      | /api/nothing             | 404    | path_not_found     |
      | /api/explain/a_b%22      | 400    | invalid_request_id |
      | /api/watch?weight=3      | 400    | invalid_query      |
      | /api/watch?class=a&class=b | 400  | invalid_query      |

  Scenario Outline: Wrong changes change nothing and name no key
    When an operator posts <body> as "<type>" to "/api/changes"
    Then the operators' answer has status <status> and code "<code>"
    And the operators' answer does not hold "sv-secret"
    And the operators' port has counted 1 bad input "<code>"

    Examples:
      | body                                                                    | type             | status | code                     |
      | {"puts":                                                                | application/json | 400    | invalid_body             |
      | {"puts":[]}                                                             | application/json | 400    | invalid_change           |
      | {"puts":[{"kind":"key","name":"a","hash":"sv-secret"}],"removes":[],"ifVersions":[]} | application/json | 400 | invalid_change |
      | {"puts":[{"kind":"class","name":"a b"}],"removes":[],"ifVersions":[]}   | application/json | 400    | invalid_change           |
      | hello                                                                   | image/png        | 415    | content_type_unsupported |
      | 17 MiB                                                                  | application/json | 413    | body_too_large           |

  Scenario Outline: What is not HTTP, on either port
    When somebody writes <text> to the <port> port
    Then the connection is answered with status <status> and ended
    And host "gateway-1" has counted bad input "<code>"

    Examples:
      | port       | text                    | status | code              |
      | operators' | "JUNK"                  | 400    | invalid_http      |
      | callers'   | "JUNK"                  | 400    | invalid_http      |
      | operators' | a header of 20000 bytes | 431    | headers_too_large |
      | callers'   | a header of 20000 bytes | 431    | headers_too_large |

  Scenario: No state that a process shows holds a key
    Given key "sv-second-operator" is registered for an operator
    When somebody sends GET "/api/status" with key "sv-a-stranger" to the operators' port
    And somebody asks the callers' port with key "sv-a-stranger"
    And a caller asks for 3 tokens from "kit-tutor"
    Then no state that a host shows holds a key that is set or registered, or "sv-a-stranger"

  Scenario: A long name in a refused request is not kept whole
    When a caller asks for 3 tokens from an adapter with a name of 100000 letters
    Then the answer has status 404
    And the gateway keeps less than 20000 bytes of decisions
