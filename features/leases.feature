Feature: Leases of engines on the users' platform
  One host at a time gives an engine orders, whatever the store does.

  Scenario: Every engine has one owner soon after the start
    Given 3 lease hosts and 6 engines
    When 1000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: A host takes more engines than one transaction holds, and gives them up again
    Given 1 lease host and 60 engines
    When 2000 ms pass for the leases
    Then every engine may be given orders by one host
    When a host joins, and host 1 leaves
    And 12000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: More engines than one transaction holds are freed when their host is gone
    Given 1 lease host and 60 engines
    When 2000 ms pass for the leases
    And a host joins, and lease host 1 is killed
    And 14000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: Hosts are not rated for engines while every engine has its owner
    Given 60 lease hosts and 20 engines
    When 3000 ms pass for the leases
    Then every engine may be given orders by one host
    When 5000 ms pass for the leases without a host being rated for an engine
    Then every engine may be given orders by one host

  Scenario: A host that owns nothing rarely looks for something to do
    Given 12 lease hosts and 4 engines
    When 3000 ms pass for the leases
    And 5000 ms pass for the leases with at most 12 steps of a host that owns nothing
    And lease host 1 is killed
    And 8000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: Renewals of all hosts go to the store together
    Given 8 lease hosts and 8 engines
    When 3000 ms pass for the leases
    And 20 s pass for the leases with at most 2 calls a second to the store
    Then every engine may be given orders by one host

  Scenario: A store that turns calls away leaves no engine without an owner once it is well
    Given 2 lease hosts and 5 engines
    When 1000 ms pass for the leases
    And a host joins and the store is "busy" while engines should be handed over to it
    And the store is well again
    And 3000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: Changes whose answers are lost and that are made late leave one owner
    Given 2 lease hosts and 5 engines
    When 1000 ms pass for the leases
    And a host joins and the store is "lost" while engines should be handed over to it
    And the store is well again
    And 8000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: A slow store does not take the right to give orders away
    Given 7 lease hosts and 6 engines
    When 3000 ms pass for the leases
    And the store is slow
    And 2000 ms pass for the leases
    And 6000 ms pass for the leases while every engine may be given orders at least 90% of the time
    Then every engine may be given orders by one host

  Scenario: The host that gathers renewals is gone
    Given 4 lease hosts and 8 engines
    When 3000 ms pass for the leases
    And lease host 1 is killed
    And 7000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: The host that gathers renewals is cut off from one other
    Given 4 lease hosts and 8 engines
    When 3000 ms pass for the leases
    And lease host 2 is not heard by the others
    And 5000 ms pass for the leases while every engine may be given orders at least 90% of the time
    Then every engine may be given orders by one host

  Scenario: An engine that was handed over does not come back within the time of a lease
    Given 2 lease hosts and 5 engines
    When 1000 ms pass for the leases
    And a host joins, is given an engine and leaves 300 ms later
    And 6000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario Outline: A host that leaves while the store takes no writes goes on with its engines until it does
    Given 3 lease hosts and 6 engines
    When 2000 ms pass for the leases
    And the store is "<fault>" and lease host 1 leaves
    And 1500 ms pass for the leases while every engine may be given orders at least 95% of the time
    And the store is well again
    And 1500 ms pass for the leases
    Then every engine may be given orders by one host
    And lease host 1 owns nothing

    Examples:
      | fault |
      | busy  |
      | lost  |

  Scenario: A host whose store stays away leaves its engines when its time is over
    Given 3 lease hosts and 6 engines
    When 2000 ms pass for the leases
    And the store is "busy" and lease host 1 leaves
    And 8000 ms pass for the leases
    Then lease host 1 owns nothing

  Scenario: A host that starts again at once takes no engine in turn with its successor
    Given 4 lease hosts and 4 engines
    When 14000 ms pass for the leases
    And lease host 2 leaves and starts again 700 ms later
    And 12000 ms pass for the leases
    Then every engine may be given orders by one host

  Scenario: What the successor of a host gives up at once goes to a third one
    Given 4 lease hosts and 4 engines
    When 14000 ms pass for the leases
    And all lease hosts but 1 leave and start again 700 ms later
    And lease host 1 leaves and starts again 300 ms later
    And 12000 ms pass for the leases
    Then every engine may be given orders by one host
