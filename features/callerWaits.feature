Feature: Since when a caller has been waiting
  A caller that comes back tells only what is left of its time; hosts learn what callers of a route tell at first.

  Background:
    Given 100 first tries on route "counter" with 6000 ms left

  Scenario Outline: Later tries are told from first ones
    When a caller of "counter" has <left> ms left
    Then it has been waiting for <spent> ms

    Examples:
      | left | spent |
      | 6000 | 0     |
      | 4500 | 1500  |
      | 7000 | 0     |

  Scenario: First tries over new connections tell a little less
    Given 20 first tries on route "counter" with 5993 ms left
    When a caller of "counter" has 5993 ms left
    Then it has been waiting for 7 ms

  Scenario: Times that are rare are no habit
    Given 1 first tries on route "counter" with 5000 ms left
    When a caller of "counter" has 4500 ms left
    Then it has been waiting for 1500 ms

  Scenario: A route whose callers all tell other times has no habit
    Given 200 tries on route "mixed" with times of their own
    When a caller of "mixed" has 1000 ms left
    Then it has been waiting for 0 ms

  Scenario: Tries after a second without an answer are no first tries, however many there are
    Given 60 first tries on route "counter" with 4993 ms left
    When a caller of "counter" has 4993 ms left
    Then it has been waiting for 1007 ms

  Scenario: A new habit is learned
    Given 2000 first tries on route "counter" with 3000 ms left
    When a caller of "counter" has 3000 ms left
    Then it has been waiting for 0 ms
    When a caller of "counter" has 2500 ms left
    Then it has been waiting for 500 ms
