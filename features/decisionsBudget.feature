Feature: Load budget of the weight store
  Waiting loads are granted permits within a rate and a concurrency limit, in the order in which they are needed.

  Background:
    Given a load budget of 2 loads per second and 2 concurrent loads

  Scenario: An urgent load is granted a permit before a deferrable one
    When load "batch" waits, needed at 60000 ms
    And load "counter" waits, needed at 2000 ms
    Then the permits at 0 ms are granted to "counter, batch"

  Scenario: Concurrent loads are limited to those that the store serves at full speed
    When load "a" waits, needed at 1000 ms
    And load "b" waits, needed at 1000 ms
    And load "c" waits, needed at 1000 ms
    Then the permits at 0 ms are granted to "a, b"
    And the permits at 5000 ms are granted to ""
    And after the permit of "a" is released, the permits at 5000 ms are granted to "c"

  Scenario: Loads per second are limited to the rate that the store allows
    When load "a" waits, needed at 1000 ms
    And load "b" waits, needed at 1000 ms
    And load "c" waits, needed at 1000 ms
    Then the permits at 0 ms are granted to "a, b"
    And after the permit of "a" is released, the permits at 499 ms are granted to ""
    And the permits at 500 ms are granted to "c"
