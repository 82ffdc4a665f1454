Feature: Streams that are slow, paused or stalled
  A pause in a stream is not a failure. Only the request's deadline ends a stream that its engine keeps open.

  Scenario: Slow but healthy streams are relayed to their end
    Given 2 hosts before a platform with 2 engines
    And streams send one event every 300 ms
    When 6 streams of kind "resumable" with 5000 ms left are sent for adapter "a1"
    Then every answer is whole and signed
    And each of them ran once

  Scenario Outline: A paused stream is neither given up nor started on another engine
    Given 2 hosts before a platform with 3 engines
    And streams pause for 1500 ms after their second event
    When 6 streams of kind "<kind>" with 5000 ms left are sent for adapter "a1"
    Then every answer is whole and signed
    And each of them ran once

    Examples:
      | kind      |
      | resumable |
      | stream    |

  Scenario: Streams that trickle single bytes end at the deadlines of their requests
    Given 1 host before a platform with 2 engines
    And streams send a byte every 100 ms and never end
    When 4 streams of kind "stream" with 1200 ms left are sent for adapter "a1"
    Then no incomplete response looks complete
    And each response ended within 1600 ms
    And no engine runs a request 500 ms later
