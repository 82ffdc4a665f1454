Feature: Requests with an idempotency key run at most once
  Such a request is claimed in the table before it runs. A request with the same key at any host gets the stored answer.

  Background:
    Given the hosts "gateway-1" and "gateway-2" with idempotency claims

  Scenario: The same key at another host gets the stored answer
    When "gateway-1" receives "check in" with key "k1" and answers "ticket 7"
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" answers "ticket 7" without running it
    And the request has run 1 time

  Scenario: A long answer is stored in the object store
    When "gateway-1" receives "check in" with key "k1" and answers with 9000 characters
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" answers with 9000 characters without running it

  Scenario: Both hosts receive the request at the same time
    When both hosts receive "check in" with key "k1" at the same time
    Then one request runs, and the other is refused because it is running or may have run
    And the request has run 1 time

  Scenario: One host receives the request twice at the same time
    When "gateway-1" receives "check in" with key "k1" twice at the same time
    Then one request runs, and the other is refused because it is running or may have run
    And the request has run 1 time

  Scenario: Without the version check in the table both hosts run the request
    Given hosts that write claims without a version check
    When both hosts receive "check in" with key "k1" at the same time
    Then the request has run 2 times

  Scenario: Another body with the same key
    When "gateway-1" receives "check in" with key "k1" and answers "ticket 7"
    And "gateway-2" receives "check out" with key "k1"
    Then "gateway-2" refuses with status 422 and verdict "notRun"

  Scenario: The same key of another caller
    When "gateway-1" receives "check in" with key "k1" and answers "ticket 7"
    And "gateway-2" receives "check in" with key "k1" from another caller
    Then "gateway-2" runs it

  Scenario: A request that did not run can be retried
    When "gateway-1" receives "check in" with key "k1" and fails as "notRun"
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" runs it

  Scenario: A request that may have run is not run again
    When "gateway-1" receives "check in" with key "k1" and fails as "mayHaveRun"
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" refuses with status 409 and verdict "mayHaveRun"

  Scenario: A host crashes between claim and answer
    When "gateway-1" receives "check in" with key "k1"
    And "gateway-1" crashes
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" refuses with status 409 and verdict "mayHaveRun"
    And the request has run 1 time

  Scenario: The table is down before the claim
    Given the claims table is down
    When "gateway-1" receives "check in" with key "k1"
    Then "gateway-1" refuses with status 503 and verdict "mayHaveRun"
    And the request has run 0 times

  Scenario: The table is down when a request that ran is retried
    When "gateway-1" receives "check in" with key "k1" and answers "ticket 7"
    And the claims table is down
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" refuses with status 503 and verdict "mayHaveRun"
    When the claims table is up again
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" answers "ticket 7" without running it

  Scenario Outline: The table's response to the claim is lost
    Given the claims platform has "<fault>" set to 1
    When "gateway-1" receives "check in" with key "k1"
    Then "gateway-1" <outcome>
    When 10 seconds pass
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" <later>
    And the request has run 1 time

    Examples:
      | fault       | outcome                                           | later                                             |
      | lostAnswers | runs it                                           | refuses with status 409 and verdict "mayHaveRun"  |
      | lostWrites  | refuses with status 503 and verdict "mayHaveRun"  | runs it                                           |
      | lateWrites  | refuses with status 503 and verdict "mayHaveRun"  | runs it                                           |

  Scenario: Without fencing of lost writes a late claim blocks its key although the request never ran
    Given hosts that do not fence lost writes
    And the claims platform has "lateWrites" set to 1
    When "gateway-1" receives "check in" with key "k1"
    Then "gateway-1" refuses with status 503 and verdict "mayHaveRun"
    When 10 seconds pass
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" refuses with status 409 and verdict "mayHaveRun"
    And the request has run 0 times

  Scenario: The table goes down before the result of the claim is known
    Given the claims platform has "lostAnswers" set to 1
    And the claims table goes down as soon as a response is lost
    When "gateway-1" receives "check in" with key "k1"
    Then "gateway-1" refuses with status 503 and verdict "mayHaveRun"
    When 10 seconds pass
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" refuses with status 503 and verdict "mayHaveRun"
    When the claims table is up again
    And 10 seconds pass
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" runs it

  Scenario: The answer is stored although the table is down when the request completes
    When "gateway-1" receives "check in" with key "k1"
    And the claims table is down
    And "gateway-1" answers "ticket 7" in the background
    And 10 seconds pass
    And the claims table is up again
    And 10 seconds pass
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" answers "ticket 7" without running it
    And the request has run 1 time

  Scenario: Simultaneous claims and answers share transactions
    When "gateway-1" receives 100 requests at once, each with its own key, and answers all
    Then the request has run 100 times
    And the table has executed at most 10 transactions

  Scenario: Claims are retained for a day, and not much longer
    Given expired rows are removed
    When "gateway-1" receives "check in" with key "k1" and answers with 9000 characters
    And 82800 seconds pass
    And "gateway-2" receives "check in" with key "k1"
    Then "gateway-2" answers with 9000 characters without running it
    And after 3 more hours the table has no claim, and the object store has no answer
