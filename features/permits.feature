Feature: The load budget of the weight store
  The loads of all hosts together stay within the store's limits, without a coordinator and without the table.

  Scenario: The loads of all hosts stay within the limits of rate and concurrency
    Given peers 1, 2, 3 that own engines 1, 2, 3 with 4 loads a second, 2 at full speed
    When every peer asks for 20 loads of 400 milliseconds
    And the peers run for 20000 milliseconds
    Then 60 loads have run
    And no more than 2 loads ran at once
    And no second had more than 6 loads

  Scenario: The most urgent load is granted first, whichever host requests it
    Given peers 1, 2, 3 that own engines 1, 2, 3 with 4 loads a second, 1 at full speed
    When peer 1 asks for load "running" with 0 milliseconds of slack
    And the peers run for 10 milliseconds
    And peer 2 asks for load "patient" with 60000 milliseconds of slack
    And peer 3 asks for load "urgent" with 300 milliseconds of slack
    And the peers run for 5000 milliseconds
    Then the loads ran in the order "running, urgent, patient"

  Scenario: Loads continue when a granter disappears and its endpoint gets another owner
    Given peers 1, 2, 3 that own engines 1, 2, 3 with 4 loads a second, 2 at full speed
    When every peer asks for 4 loads of 400 milliseconds
    And the peers run for 500 milliseconds
    And peer 1 goes away and peer 3 owns its engine 4000 milliseconds later
    And the peers run for 10000 milliseconds
    Then all loads of the peers that are left have run
    And no more than 2 loads ran at once

  Scenario: The next granter counts long loads of the former granter
    Given peers 1, 2, 3 that own engines 1, 2, 3 with 4 loads a second, 2 at full speed
    When peer 3 asks for load "long" with 0 milliseconds of slack, which takes 20000 milliseconds
    And peer 3 asks for load "longer" with 0 milliseconds of slack, which takes 20000 milliseconds
    And the peers run for 1000 milliseconds
    And peer 1 goes away and peer 2 owns its engine 4000 milliseconds later
    And peer 2 asks for load "next" with 0 milliseconds of slack
    And the peers run for 10000 milliseconds
    Then the loads ran in the order "long, longer"
    When the peers run for 10000 milliseconds
    Then the loads ran in the order "long, longer, next"
    And no more than 2 loads ran at once

  Scenario: Without the budget all loads run at once
    Given peers 1, 2, 3 that own engines 1, 2, 3 with 1000 loads a second, 60 at full speed
    When every peer asks for 20 loads of 400 milliseconds
    And the peers run for 400 milliseconds
    Then more than 2 loads ran at once

  Scenario: The permit of a holder that disappears is released
    Given peers 1, 2, 3 that own engines 1, 2, 3 with 4 loads a second, 1 at full speed
    When peer 3 asks for a load that never ends
    And the peers run for 1000 milliseconds
    And peer 3 goes away
    And peer 2 asks for load "next" with 0 milliseconds of slack
    And the peers run for 10000 milliseconds
    Then the loads ran in the order "endless, next"

  Scenario: A new owner of an endpoint grants permits at once
    Given peers 1, 2, 3 on a list that lags 0 milliseconds
    When the peers run for 1600 milliseconds
    And peer 1 owns engine 1 and peer 2 asks for load "first" at the same time
    And the peers run for 100 milliseconds
    Then the loads ran in the order "first"
