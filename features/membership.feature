Feature: State exchange between schedulers
  Each scheduler has a link to every other one and sends what it knows over it.

  Scenario: A host is known to all peers before it appears on the list
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And the list lags a minute behind and peer 4 joins and knows peer 1
    And the peers run for 1000 milliseconds
    Then every peer is connected to every other
    And gateways were notified of peer 4

  Scenario: A host that goes away is removed
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And peer 2 goes away
    And the peers run for 1000 milliseconds
    Then every peer is connected to every other

  Scenario: Suspect contents are known to every host
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And peer 1 reports that request "f" caused crash "engine-1/a"
    And peer 2 reports that request "f" caused crash "engine-2/b"
    And the peers run for 100 milliseconds
    Then every peer refuses request "f"
    And a peer 5 that joins now refuses request "f" after 3000 milliseconds

  Scenario: Peers report an outage of the table only while it lasts
    Given peers 1, 2, 3 on a list that lags 500 milliseconds
    When the peers run for 3000 milliseconds
    And the table stops responding to peers 2, 3
    And the peers run for 1000 milliseconds
    Then peer 1 has outage reports of "scheduler-2, scheduler-3"
    When the table responds to peer 3 again
    And the peers run for 3000 milliseconds
    Then peer 1 has outage reports of "scheduler-2"

  Scenario: A host sends at most 4 KB of control messages a second
    When 9 hosts with 12 endpoints serve 250 requests and 4 loads a second for 60 seconds
    Then a host sends at most 4096 bytes of control messages a second

  Scenario: Applying the published changes gives the current summaries
    Then for 500 random pairs of summaries, applying the computed changes to the first gives the second
