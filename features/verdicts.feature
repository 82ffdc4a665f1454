Feature: The verdict on a request that had several attempts
  A caller is told "not run" only where no attempt may have run.

  Scenario: A lost attempt followed by one that was refused
    Given a request whose first attempt was lost while it ran
    When its next attempt is refused as not run, for good
    Then the caller is told verdict "mayHaveRun"

  Scenario: The same without the mechanism
    Given a request whose first attempt was lost while it ran, with verdicts left unmerged
    When its next attempt is refused as not run, for good
    Then the caller is told verdict "notRun"

  Scenario: Every attempt was refused
    Given a request whose first attempt was refused as not run
    When its next attempt is refused as not run, for good
    Then the caller is told verdict "notRun"

  Scenario: Work that may run at most once is not tried again after it was lost
    Given a request that may run once, whose first attempt was lost while it ran
    Then the caller is told verdict "mayHaveRun"
    And one attempt was sent

  Scenario: A request that crashes endpoints is refused after two of them
    Given a request whose first attempt crashed its endpoint
    When its next attempt crashes its endpoint too
    Then the caller is told verdict "mayHaveRun"
    And the same request sent again is told verdict "notRun" with no attempt
