Feature: Requests whose callers have left
  Nothing of a request leaves a host once its caller has gone, whichever buffer it lies in.

  Scenario Outline: A request that was <ended> while its path hung is not delivered when the path lives again
    Given an endpoint behind a path that hangs
    When a request of 200 bytes is written to it
    And the request is <ended> after 200 ms
    And the path lives again
    Then the endpoint gets no whole request

    Examples:
      | ended     |
      | cancelled |
      | given up  |

  Scenario: An order that timed out while its path hung is not delivered when the path lives again
    Given an endpoint behind a path that hangs
    When an order is sent to it, which times out after 200 ms
    And the path lives again
    Then the endpoint gets no whole request

  Scenario: A request that is larger than the buffers of its connection is not written to its end after it was cancelled
    Given an endpoint behind a relay that reads nothing
    When a request of 32000000 bytes is written to it
    And the request is cancelled after 200 ms
    And the relay reads again
    Then the endpoint gets no whole request

  Scenario: Requests of callers that leave while the links of their host hang never run
    Given 2 hosts with links of their own to 2 engines and 2 services
    When the links of host 1 to all endpoints fall silent for 900 ms
    And 16 callers send requests of all kinds to host 1 and leave after 200 ms
    And 1500 ms pass
    Then none of their requests began to run after they had left
  Scenario: Requests that a process reads after it stood still, and whose callers have left, never run
    Given 1 hosts with links of their own to 1 engines and 2 services
    When the process stands still for 1500 ms, while 6 callers send a request, and leave 300 ms later
    And 500 ms pass
    Then none of their requests reached an endpoint

  Scenario: The second of two requests in a row on a connection ends with its caller
    Given 1 hosts with links of their own to 1 engines and 1 services
    When a caller sends two streams in a row on one connection, and leaves while the first runs
    Then the first run ends within 500 ms, and the second request never reaches an endpoint
