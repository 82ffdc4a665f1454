Feature: The weight store's budget
  Waiting loads get permits within rate and concurrency, those that are needed first before the others.

  Background:
    Given a load budget of 2 loads a second with 2 at full speed

  Scenario: An urgent load passes a deferrable one
    When load "batch" waits, needed at 60000 ms
    And load "counter" waits, needed at 2000 ms
    Then the permits at 0 ms go to "counter, batch"

  Scenario: No more loads at once than the store serves at full speed
    When load "a" waits, needed at 1000 ms
    And load "b" waits, needed at 1000 ms
    And load "c" waits, needed at 1000 ms
    Then the permits at 0 ms go to "a, b"
    And the permits at 5000 ms go to ""
    And after the permit of "a" is given back, the permits at 5000 ms go to "c"

  Scenario: No more loads a second than the store allows
    When load "a" waits, needed at 1000 ms
    And load "b" waits, needed at 1000 ms
    And load "c" waits, needed at 1000 ms
    Then the permits at 0 ms go to "a, b"
    And after the permit of "a" is given back, the permits at 499 ms go to ""
    And the permits at 500 ms go to "c"
