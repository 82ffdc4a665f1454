Feature: The task of one endpoint
  What the task plans with agrees with what its engine holds.

  Scenario: A load that waited for its permit when the engine restarted
    Given an endpoint of 2 slots whose loads wait for permits
    When a request for adapter "a" comes
    And the engine restarts empty
    And permit 2 is given
    And permit 1 is given
    And a request for adapter "a" comes
    Then the engine was ordered to load "a" 1 time
    And all 2 requests were answered

  Scenario: A second handle that the engine does not unload at once
    Given an endpoint of 2 slots
    When a request for adapter "a" comes
    And the engine shows "a@1#1.99" too, and keeps it
    And a request for adapter "b" comes
    Then the engine refused no load
    When a request for adapter "a" comes
    Then the engine was ordered to load "a" 1 time
    And all 3 requests were answered
