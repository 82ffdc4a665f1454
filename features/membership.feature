Feature: Schedulers know each other
  Each scheduler has a link to every other one, and tells what it knows.

  Scenario: A host is known to all before the list shows it
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And the list lags a minute behind and peer 4 joins that knows peer 1
    And the peers run for 1000 milliseconds
    Then every peer knows every other
    And gateways were told of peer 4

  Scenario: A host that goes away is dropped
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And peer 2 goes away
    And the peers run for 1000 milliseconds
    Then every peer knows every other

  Scenario: A suspect is known to every host
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And peer 1 sees request "f" crash "engine-1/a"
    And peer 2 sees request "f" crash "engine-2/b"
    And the peers run for 100 milliseconds
    Then every peer refuses request "f"
    And a peer 5 that joins now refuses request "f" after 3000 milliseconds

  Scenario: Peers report an outage of the table, and only while it lasts
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And the table gives peers 2, 3 no answer
    And the peers run for 1000 milliseconds
    Then peer 1 has outage reports of "scheduler-2, scheduler-3"
    When the table answers peer 3 again
    And the peers run for 3000 milliseconds
    Then peer 1 has outage reports of "scheduler-2"

  Scenario: Control messages stay within 4 KB a second for a host
    When 9 hosts with 12 endpoints serve 250 requests and 4 loads a second for 60 seconds
    Then a host sends at most 4096 bytes of control messages a second

  Scenario: Changes turn what gateways know into what there is
    Then 500 random pairs of summaries are carried over by their changes
