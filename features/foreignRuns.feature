Feature: Runs that an engine's owner has not been told of
  They may use any adapter, and an unload that waits for one of them holds all orders up.

  Scenario: Adapters are kept while more than a few such runs go on
    Given an engine that runs 6 requests of which its owner knows 1
    When its owner takes it over
    Then its adapters are kept for 1500 ms

  Scenario: Adapters may make way once few are left
    Given an engine that runs 6 requests of which its owner knows 1
    When its owner takes it over
    And it runs 4 requests after 400 ms
    Then its adapters are kept for 600 ms
    And its owner has been told of it

  Scenario: Nothing is kept where few go on
    Given an engine that runs 4 requests of which its owner knows 1
    When its owner takes it over
    Then its adapters are kept for 0 ms

  Scenario: An engine that does not answer keeps them for the whole time
    Given an engine that runs 6 requests of which its owner knows 1
    When its owner takes it over
    And it does not answer any more
    Then its adapters are kept for 1500 ms
