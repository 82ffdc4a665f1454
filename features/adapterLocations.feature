Feature: Recorded locations of adapters
  The preferred engine of an adapter records which other engine served it last, so that its requests are sent there.

  Scenario: The engine that served the last request is recorded
    When "engine-2" serves a request for "a1"
    And "engine-3" serves a request for "a1"
    Then requests for "a1" are sent to "engine-3"

  Scenario: An old entry expires
    When "engine-2" serves a request for "a1"
    And 31 s pass for the recorded locations
    Then requests for "a1" stay at the preferred engine

  Scenario: Only the most recent adapters are kept
    When "engine-2" serves a request for "a1"
    And "engine-2" serves requests for 5000 other adapters
    Then requests for "a1" stay at the preferred engine
