Feature: Untracked requests on an engine
  After a takeover an engine may run requests that its owner has no reservation for. They may use any adapter, and an unload
  that waits for one of them blocks all other orders.

  Scenario: Adapters are protected while more than a few untracked requests run
    Given an engine that runs 6 requests of which its owner tracks 1
    When its owner takes it over
    Then its adapters are protected for 1500 ms

  Scenario: The protection ends early once only a few untracked requests run
    Given an engine that runs 6 requests of which its owner tracks 1
    When its owner takes it over
    And it runs 4 requests after 400 ms
    Then its adapters are protected for 600 ms
    And its owner was notified that the protection ended

  Scenario: Adapters are not protected where only a few untracked requests run
    Given an engine that runs 4 requests of which its owner tracks 1
    When its owner takes it over
    Then its adapters are protected for 0 ms

  Scenario: The adapters of an unresponsive engine are protected for the whole time
    Given an engine that runs 6 requests of which its owner tracks 1
    When its owner takes it over
    And it becomes unresponsive
    Then its adapters are protected for 1500 ms
