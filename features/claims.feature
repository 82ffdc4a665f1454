Feature: Work that runs at most once
  Work with an idempotency key is claimed in the table before it runs; the same key anywhere gives its one answer.

  Background:
    Given the claiming hosts "gateway-1" and "gateway-2"

  Scenario: The same key on another host gives the one answer
    When "gateway-1" is asked "check in" under key "k1" and answers "ticket 7"
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" answers "ticket 7" without running it
    And the work has run 1 time

  Scenario: A long answer is kept in the object store
    When "gateway-1" is asked "check in" under key "k1" and answers with 9000 characters
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" answers with 9000 characters without running it

  Scenario: Both hosts are asked at the same moment
    When both hosts are asked "check in" under key "k1" at the same moment
    Then one is told to run it, and the other that it is running or may have run
    And the work has run 1 time

  Scenario: One host is asked twice at the same moment
    When "gateway-1" is asked "check in" under key "k1" twice at the same moment
    Then one is told to run it, and the other that it is running or may have run
    And the work has run 1 time

  Scenario: Without the check in the table both run it
    Given hosts that write claims without a check
    When both hosts are asked "check in" under key "k1" at the same moment
    Then the work has run 2 times

  Scenario: Another body under the same key
    When "gateway-1" is asked "check in" under key "k1" and answers "ticket 7"
    And "gateway-2" is asked "check out" under key "k1"
    Then "gateway-2" refuses with status 422 and verdict "notRun"

  Scenario: The same key of another caller
    When "gateway-1" is asked "check in" under key "k1" and answers "ticket 7"
    And "gateway-2" is asked "check in" under key "k1" by another caller
    Then "gateway-2" runs it

  Scenario: What was not run may be asked again
    When "gateway-1" is asked "check in" under key "k1" and fails as "notRun"
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" runs it

  Scenario: What may have run is not run again
    When "gateway-1" is asked "check in" under key "k1" and fails as "mayHaveRun"
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" refuses with status 409 and verdict "mayHaveRun"

  Scenario: A host dies between claim and answer
    When "gateway-1" is asked "check in" under key "k1"
    And "gateway-1" dies
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" refuses with status 409 and verdict "mayHaveRun"
    And the work has run 1 time

  Scenario: The table is down before the claim
    Given the claims' table is down
    When "gateway-1" is asked "check in" under key "k1"
    Then "gateway-1" refuses with status 503 and verdict "mayHaveRun"
    And the work has run 0 times

  Scenario: The table is down at the second try of work that ran
    When "gateway-1" is asked "check in" under key "k1" and answers "ticket 7"
    And the claims' table is down
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" refuses with status 503 and verdict "mayHaveRun"
    When the claims' table is back
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" answers "ticket 7" without running it

  Scenario Outline: The table's answer to the claim is lost
    Given the claims' platform has "<fault>" set to 1
    When "gateway-1" is asked "check in" under key "k1"
    Then "gateway-1" <outcome>
    When 10 seconds pass
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" <later>
    And the work has run 1 time

    Examples:
      | fault       | outcome                                           | later                                             |
      | lostAnswers | runs it                                           | refuses with status 409 and verdict "mayHaveRun"  |
      | lostWrites  | refuses with status 503 and verdict "mayHaveRun"  | runs it                                           |
      | lateWrites  | refuses with status 503 and verdict "mayHaveRun"  | runs it                                           |

  Scenario: Without the fence a late claim blocks its key, although nobody ran the work
    Given hosts that do not fence lost writes
    And the claims' platform has "lateWrites" set to 1
    When "gateway-1" is asked "check in" under key "k1"
    Then "gateway-1" refuses with status 503 and verdict "mayHaveRun"
    When 10 seconds pass
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" refuses with status 409 and verdict "mayHaveRun"
    And the work has run 0 times

  Scenario: The table goes down before the claim's fate is known
    Given the claims' platform has "lostAnswers" set to 1
    And the claims' table goes down as soon as an answer is lost
    When "gateway-1" is asked "check in" under key "k1"
    Then "gateway-1" refuses with status 503 and verdict "mayHaveRun"
    When 10 seconds pass
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" refuses with status 503 and verdict "mayHaveRun"
    When the claims' table is back
    And 10 seconds pass
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" runs it

  Scenario: The answer is stored although the table is down when it comes
    When "gateway-1" is asked "check in" under key "k1"
    And the claims' table is down
    And "gateway-1" answers "ticket 7" in the meantime
    And 10 seconds pass
    And the claims' table is back
    And 10 seconds pass
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" answers "ticket 7" without running it
    And the work has run 1 time

  Scenario: Claims and answers of the same moment share transactions
    When "gateway-1" is asked 100 times at once, each under a key of its own, and answers all
    Then the work has run 100 times
    And the table has taken at most 10 transactions

  Scenario: Claims are kept for a day, and not much longer
    Given the sweep of old rows runs
    When "gateway-1" is asked "check in" under key "k1" and answers with 9000 characters
    And 82800 seconds pass
    And "gateway-2" is asked "check in" under key "k1"
    Then "gateway-2" answers with 9000 characters without running it
    And after 3 more hours the table holds no claim, and the object store no answer
