Feature: Streams that are slow, silent for a while, or stalled
  Silence is no failure: only the time that a caller has ends a stream that its engine keeps open.

  Scenario: Slow but sound streams are passed on to their end
    Given 2 hosts before a platform with 2 engines
    And streams have 300 ms between their events
    When 6 streams of kind "resumable" with 5000 ms left are sent for adapter "a1"
    Then every answer is whole and signed
    And each of them ran once

  Scenario Outline: The run of an engine that is silent for a while is neither given up nor started elsewhere
    Given 2 hosts before a platform with 3 engines
    And streams send nothing for 1500 ms after their second event
    When 6 streams of kind "<kind>" with 5000 ms left are sent for adapter "a1"
    Then every answer is whole and signed
    And each of them ran once

    Examples:
      | kind      |
      | resumable |
      | stream    |

  Scenario: Streams that send a byte now and then end with their callers' time
    Given 1 host before a platform with 2 engines
    And streams send a byte every 100 ms and never end
    When 4 streams of kind "stream" with 1200 ms left are sent for adapter "a1"
    Then no answer that is not whole looks whole
    And each answer ended within 1600 ms
    And no engine is at work 500 ms later
