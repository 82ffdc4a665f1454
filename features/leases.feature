Feature: Engine leases on the users' platform
  At most one host at a time may send orders to an engine, even when the store fails.

  Scenario: Every engine has one owner shortly after startup
    Given 3 lease hosts and 6 engines
    When the lease hosts run for 1000 ms
    Then each engine can receive orders from exactly one host

  Scenario: A host claims and releases more engines than fit in one transaction
    Given 1 lease host and 60 engines
    When the lease hosts run for 2000 ms
    Then each engine can receive orders from exactly one host
    When a lease host joins, and lease host 1 leaves
    And the lease hosts run for 12000 ms
    Then each engine can receive orders from exactly one host

  Scenario: More engines than fit in one transaction are released after their host is killed
    Given 1 lease host and 60 engines
    When the lease hosts run for 2000 ms
    And a lease host joins, and lease host 1 is killed
    And the lease hosts run for 14000 ms
    Then each engine can receive orders from exactly one host

  Scenario: Hosts are not ranked for engines while every engine has an owner
    Given 60 lease hosts and 20 engines
    When the lease hosts run for 3000 ms
    Then each engine can receive orders from exactly one host
    When the lease hosts run for 5000 ms without ranking hosts for engines
    Then each engine can receive orders from exactly one host

  Scenario: A host that owns nothing runs few steps
    Given 12 lease hosts and 4 engines
    When the lease hosts run for 3000 ms
    And the lease hosts run for 5000 ms with at most 12 steps on a host that owns nothing
    And lease host 1 is killed
    And the lease hosts run for 8000 ms
    Then each engine can receive orders from exactly one host

  Scenario: Renewals of all hosts are written to the store in batches
    Given 8 lease hosts and 8 engines
    When the lease hosts run for 3000 ms
    And the lease hosts run for 20 s with at most 2 store calls per second
    Then each engine can receive orders from exactly one host

  Scenario: Every engine has an owner again after a store that rejected calls has recovered
    Given 2 lease hosts and 5 engines
    When the lease hosts run for 1000 ms
    And a lease host joins, and the store is "busy" while engines are due to be handed over to it
    And the store is healthy again
    And the lease hosts run for 3000 ms
    Then each engine can receive orders from exactly one host

  Scenario: Writes that are applied late, after their responses are lost, leave one owner per engine
    Given 2 lease hosts and 5 engines
    When the lease hosts run for 1000 ms
    And a lease host joins, and the store is "lost" while engines are due to be handed over to it
    And the store is healthy again
    And the lease hosts run for 8000 ms
    Then each engine can receive orders from exactly one host

  Scenario: Owners may still send orders while the store is slow
    Given 7 lease hosts and 6 engines
    When the lease hosts run for 3000 ms
    And the store is slow
    And the lease hosts run for 2000 ms
    And the lease hosts run for 6000 ms while engines can receive orders at least 90% of the time
    Then each engine can receive orders from exactly one host

  Scenario: The renewal collector is killed
    Given 4 lease hosts and 8 engines
    When the lease hosts run for 3000 ms
    And lease host 1 is killed
    And the lease hosts run for 7000 ms
    Then each engine can receive orders from exactly one host

  Scenario: The renewal collector cannot be reached by one host
    Given 4 lease hosts and 8 engines
    When the lease hosts run for 3000 ms
    And datagrams to and from lease host 2 are lost
    And the lease hosts run for 5000 ms while engines can receive orders at least 90% of the time
    Then each engine can receive orders from exactly one host

  Scenario: An engine that was handed over does not return to its former owner within the lease duration
    Given 2 lease hosts and 5 engines
    When the lease hosts run for 1000 ms
    And a lease host joins, receives an engine and leaves 300 ms later
    And the lease hosts run for 6000 ms
    Then each engine can receive orders from exactly one host

  Scenario Outline: A host that leaves while the store accepts no writes keeps its engines until the store has recovered
    Given 3 lease hosts and 6 engines
    When the lease hosts run for 2000 ms
    And the store is "<fault>" and lease host 1 leaves
    And the lease hosts run for 1500 ms while engines can receive orders at least 95% of the time
    And the store is healthy again
    And the lease hosts run for 1500 ms
    Then each engine can receive orders from exactly one host
    And lease host 1 owns nothing

    Examples:
      | fault |
      | busy  |
      | lost  |

  Scenario: A host that leaves while the store stays unavailable releases its engines at its deadline
    Given 3 lease hosts and 6 engines
    When the lease hosts run for 2000 ms
    And the store is "busy" and lease host 1 leaves
    And the lease hosts run for 8000 ms
    Then lease host 1 owns nothing

  Scenario: A restarted host does not claim an engine back from its successor within the lease duration
    Given 4 lease hosts and 4 engines
    When the lease hosts run for 14000 ms
    And lease host 2 leaves and restarts 700 ms later
    And the lease hosts run for 12000 ms
    Then each engine can receive orders from exactly one host

  Scenario: An engine that a host's successor releases soon after claiming it goes to a third host
    Given 4 lease hosts and 4 engines
    When the lease hosts run for 14000 ms
    And all lease hosts except 1 leave and restart 700 ms later
    And lease host 1 leaves and restarts 300 ms later
    And the lease hosts run for 12000 ms
    Then each engine can receive orders from exactly one host

  # Guards against two applied copies of one registration, after which a host's checks never hold again.
  Scenario Outline: All hosts restart while the store is busy, <apart> ms apart
    Given <hosts> lease hosts and <engines> engines
    When the lease hosts run for 12000 ms
    And the store turns "busy"
    And the lease hosts run for 1000 ms
    And all lease hosts are killed
    And the lease hosts run for 800 ms
    And all killed lease hosts restart <apart> ms apart
    And the lease hosts run for 2700 ms
    And the store is healthy again
    And the lease hosts run for 8000 ms
    Then each engine can receive orders from exactly one host
    And no lease host conflicts with its own row within 3000 ms

    Examples:
      | hosts | engines | apart |
      | 4     | 6       | 0     |
      | 4     | 6       | 450   |
      | 40    | 6       | 0     |

  Scenario: All hosts restart twice while the store changes between refusing calls and answering none
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And the store turns "busy"
    And the lease hosts run for 1000 ms
    And all lease hosts are killed
    And the lease hosts run for 800 ms
    And all killed lease hosts restart 0 ms apart
    And the lease hosts run for 600 ms
    And the store turns "lost"
    And all lease hosts are killed
    And all killed lease hosts restart 0 ms apart
    And the lease hosts run for 1500 ms
    And the store turns "busy"
    And the lease hosts run for 700 ms
    And the store is healthy again
    And the lease hosts run for 9000 ms
    Then each engine can receive orders from exactly one host
    And no lease host conflicts with its own row within 3000 ms

  # Its registration, sent before it left, must not bring its rows back, nor its leaving remove those of the next process.
  Scenario: A host that owns nothing leaves while writes are applied late, and restarts
    Given 7 lease hosts and 2 engines
    When the lease hosts run for 12000 ms
    And the store turns "lost"
    And a lease host that owns nothing leaves and restarts
    And the store is healthy again
    And the lease hosts run for 8000 ms
    Then each lease host that runs is registered

  Scenario: A host that responds but has not renewed for long loses its engines
    Given 4 lease hosts and 8 engines
    When the lease hosts run for 12000 ms
    And lease host 3 is cut off from the store
    And datagrams to and from lease host 3 are lost
    And the lease hosts run for 14000 ms
    Then each engine can receive orders from exactly one host
    And lease host 3 may order nothing
