Feature: The verdict on a request with several attempts
  A caller receives the verdict "not run" only if no attempt may have run.

  Scenario: A lost attempt is followed by a refused one
    Given a request whose first attempt was lost while it ran
    When its next attempt is permanently refused as not run
    Then the caller receives verdict "mayHaveRun"

  Scenario: Without merging, the verdict of the last attempt hides the lost one
    Given a request whose first attempt was lost while it ran, with merging of verdicts disabled
    When its next attempt is permanently refused as not run
    Then the caller receives verdict "notRun"

  Scenario: All attempts are refused
    Given a request whose first attempt was refused as not run
    When its next attempt is permanently refused as not run
    Then the caller receives verdict "notRun"

  Scenario: A request that may run at most once is not retried after a lost attempt
    Given a request that may run at most once, whose first attempt was lost while it ran
    Then the caller receives verdict "mayHaveRun"
    And one attempt was sent

  Scenario: A request is refused after it has crashed two endpoints
    Given a request whose first attempt crashed its endpoint
    When its next attempt also crashes its endpoint
    Then the caller receives verdict "mayHaveRun"
    And the same request, sent again, receives verdict "notRun" without an attempt
