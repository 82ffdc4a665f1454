Feature: Where an adapter's requests went
  An adapter's home remembers which other engine took its requests, so that they meet there.

  Scenario: The engine that took the last request is remembered
    When "engine-2" takes a request for "a1"
    And "engine-3" takes a request for "a1"
    Then requests for "a1" are sent to "engine-3"

  Scenario: What was long ago is forgotten
    When "engine-2" takes a request for "a1"
    And 31 s pass for the directory
    Then requests for "a1" stay at home

  Scenario: Only the latest adapters are remembered
    When "engine-2" takes a request for "a1"
    And "engine-2" takes requests for 5000 other adapters
    Then requests for "a1" stay at home
