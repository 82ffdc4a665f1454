Feature: A store that is restored from a copy
  In a drill the store comes back from a copy and has lost its last writes, although it had confirmed them. Versions start again from
  the copy's and are given out a second time.

  # Guards against leases that are never renewed again, as the store's versions are lower than those that hosts remember.
  Scenario Outline: Engines get orders again soon after a restore
    Given <hosts> lease hosts and <engines> engines
    When the lease hosts run for 12000 ms
    And the store is away for <away> ms and comes back from a copy that was made <lost> ms before
    And the lease hosts run for 600 ms
    And the lease hosts run for 8000 ms while engines can receive orders at least 99% of the time
    Then each engine can receive orders from exactly one host

    Examples:
      | hosts | engines | away | lost |
      | 4     | 6       | 1000 | 5300 |
      | 4     | 60      | 1000 | 5300 |
      | 1     | 6       | 1000 | 5300 |
      | 3     | 6       | 200  | 700  |
      | 9     | 8       | 5000 | 9000 |

  # Guards against an owner named by the copy that orders beside, or below the token of, the owner that the store has lost.
  Scenario: An engine changes its owner within the seconds that are lost, and the former owner restarts
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And a copy of the store is made
    And the lease hosts run for 3500 ms
    And lease host 1 leaves and restarts 1800 ms later
    And the store is away for 1000 ms and comes back from the copy
    And the lease hosts run for 12000 ms
    Then each engine can receive orders from exactly one host

  Scenario Outline: An owner that the store has lost ends together with the restore
    Given 5 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And a copy of the store is made
    And lease host 5 leaves and restarts 2500 ms later
    And lease host <killed> is killed
    And the store is away for 1000 ms and comes back from the copy
    And the lease hosts run for 14000 ms
    Then each engine can receive orders from exactly one host

    Examples:
      | killed |
      | 3      |
      | 4      |

  Scenario: A second restore follows before the first one is settled
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And the store is away for 1000 ms and comes back from a copy that was made 5000 ms before
    And the lease hosts run for 60 ms
    And the store is away for 700 ms and comes back from a copy that was made 40 ms before
    And the lease hosts run for 600 ms
    And the lease hosts run for 8000 ms while engines can receive orders at least 99% of the time
    Then each engine can receive orders from exactly one host

  Scenario: All hosts restart while the store is restored
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And a copy of the store is made
    And lease host 1 leaves and restarts 2500 ms later
    And all lease hosts are killed
    And the store is away for 1000 ms and comes back from the copy
    And all killed lease hosts restart
    And the lease hosts run for 6000 ms
    Then each engine can receive orders from exactly one host

  Scenario: The first owner of an engine is lost, and ends with the restore
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And a copy of the store is made
    And an engine joins
    And the lease hosts run for 3000 ms
    And all lease hosts are killed
    And the store is away for 1000 ms and comes back from the copy
    And all killed lease hosts restart
    And the lease hosts run for 6000 ms
    Then each engine can receive orders from exactly one host

  # The host learns of the restore late; until then it must not order what others have claimed.
  Scenario: A host is cut off from the store before the restore and reaches it long after
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 12000 ms
    And a copy of the store is made
    And lease host 3 is cut off from the store
    And datagrams to and from lease host 3 are lost
    And the lease hosts run for 3000 ms
    And the store is away for 1000 ms and comes back from the copy
    And the lease hosts run for 9000 ms
    And lease host 3 reaches the store again
    And the lease hosts run for 6000 ms
    Then each engine can receive orders from exactly one host

  # Guards against rows that are dropped because their versions are lower than those that the store had given out before.
  Scenario Outline: A change that follows a restore reaches every host within the bounds
    Given <hosts> hosts in <zones> zones with bounds of <bound> and <bound> ms
    When the store comes back from a copy that was made <lost> ms before, after 1000 ms, and a change is written 0 to 1500 ms later
    Then every host has the change within the bounds, also from a store that takes 200 ms to answer

    Examples:
      | hosts | zones | bound | lost |
      | 4     | 2     | 2000  | 5000 |
      | 9     | 3     | 2000  | 300  |
      | 80    | 3     | 3000  | 5000 |

  Scenario: What a host of an earlier build relays is not used after a restore, as it names no era
    Given 9 hosts in 3 zones with bounds of 2000 and 2000 ms
    When a store reader of an earlier build has missed that the store was restored 1500 ms ago, and a change is written 0 to 1500 ms later
    Then every host that no fault touched has the change within the bounds, also from a store that takes 200 ms to answer

  Scenario Outline: The configuration in force after a restore is <result>
    Given a cluster view that had configuration 7 in row 40 and has configuration 9 in row 80
    When the store is restored from a copy, and <arrives>
    Then configuration <inForce> is in force

    Examples:
      | arrives                                                  | inForce | result                                        |
      | configuration 7 is read in row 40                        | 9       | the known one, where the copy has an older    |
      | configuration 9 is read in row 52                        | 9       | the known one, where it was written again     |
      | configuration 10 is read in row 52                       | 10      | the next one                                  |
      | configuration 8 is read in row 52                        | 8       | one with a lower number, if written since     |
      | configuration 7 in row 40 is followed by 8 in row 52     | 8       | one with a lower number that follows          |
      | configuration 7 in row 40 is followed by 9 in row 52     | 9       | the known one that follows an older           |
      | configuration 6 is read in row 30                        | 9       | the known one, where an unknown row is older  |
      | configuration 6 is read in row 30, and 6000 ms pass      | 6       | an unknown older row that nothing follows     |

  Scenario Outline: The entry of an endpoint that <known> is <used> if the copy has it as ready
    Given an endpoint that <known>
    When the store is restored from a copy that has it as ready, <then>
    Then it is <used>

    Examples:
      | known         | then                                      | used     |
      | has left      | and nothing else is written               | not used |
      | has left      | and a new process of it writes its entry  | used     |
      | is leaving    | and nothing else is written               | not used |
      | is leaving    | and a new process of it writes its entry  | used     |
      | has restarted | and nothing else is written               | used     |

  Scenario Outline: A store that names "<named>" as its era <effect>
    Given a store client whose last response was of era 4
    When the store answers with the era "<named>"
    Then the response <effect>

    Examples:
      | named | effect                 |
      | 4     | is of the latest era   |
      | 5     | begins a new era       |
      | 3     | is not used            |
      |       | is of the latest era   |
      | soon  | is of the latest era   |
      | -5    | is of the latest era   |
      | 5.5   | is of the latest era   |

  Scenario: Evidence of crashes that the store has lost is written again, and what was removed is removed again
    Given 3 hosts that know 2 crash rows, of which the first was removed
    When the store is restored from a copy that has the first row alone
    And 4 s pass for them
    Then the store has the second row alone

  Scenario: Software versions that the store has lost are kept and written again
    Given a host that knows software versions "v1 v2" of a service
    When the store is restored from a copy that knows "v1"
    Then the host still tells the versions "v1 v2", and writes them again

  Scenario: A restore of the store beside callers and new routes
    Given 4 hosts before a platform with 3 engines of 4 adapter slots
    When 40 streams for 20 adapters are sent within 2000 ms
    And the store is away for 700 ms and comes back from a copy that was made before 40 streams for 20 adapters and a new route
    And 300 ms pass
    And a route is dropped
    Then the route is gone from every host within 2000 ms
    And 2000 ms pass
    And 40 streams for 20 adapters are sent within 2000 ms
    And at least 39 of the last 40 streams are whole
    And engines got orders since the restore
    And no endpoint saw what no host may do

  Scenario: Hosts of the last build and of this one understand each other
    Then a host of the last build accepts the renewals, replies, rows, updates and transactions of this one
    And this one accepts those of the last build, and computes the same fencing tokens while the store has not been restored
