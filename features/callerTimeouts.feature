Feature: Estimated time since a caller's first attempt
  A retry carries only the caller's remaining time, so hosts learn the timeouts that a route's callers send at first.

  Background:
    Given 100 first attempts on route "counter" with 6000 ms left

  Scenario Outline: The time since the first attempt is estimated from a retry's remaining time
    When a caller of "counter" has <left> ms left
    Then its first attempt was <elapsed> ms ago

    Examples:
      | left | elapsed |
      | 6000 | 0       |
      | 4500 | 1500    |
      | 7000 | 0       |

  Scenario: First attempts over new connections arrive with slightly less time left
    Given 20 first attempts on route "counter" with 5993 ms left
    When a caller of "counter" has 5993 ms left
    Then its first attempt was 7 ms ago

  Scenario: Rare times are not taken for timeouts
    Given 1 first attempts on route "counter" with 5000 ms left
    When a caller of "counter" has 4500 ms left
    Then its first attempt was 1500 ms ago

  Scenario: No timeout is learned on a route whose requests all have different times left
    Given 200 attempts on route "mixed" with different times left
    When a caller of "mixed" has 1000 ms left
    Then its first attempt was 0 ms ago

  Scenario: Frequent retries after a second without an answer are not taken for first attempts
    Given 60 first attempts on route "counter" with 4993 ms left
    When a caller of "counter" has 4993 ms left
    Then its first attempt was 1007 ms ago

  Scenario: A changed timeout is learned
    Given 2000 first attempts on route "counter" with 3000 ms left
    When a caller of "counter" has 3000 ms left
    Then its first attempt was 0 ms ago
    When a caller of "counter" has 2500 ms left
    Then its first attempt was 500 ms ago
