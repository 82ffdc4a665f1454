Feature: Owners that go on through an outage of the store
  An owner may send orders without renewals while the store is unavailable to most of its witnesses. Hosts that are cut off together see the
  same as in an outage, so that nobody takes their engines over unless enough of their witnesses confirm that they can't go on.

  # Guards against two owners of one engine where most of the hosts are cut off together from the store and the others.
  Scenario Outline: Most of the hosts are cut off together
    Given <hosts> lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts <first> to <last> are cut off together
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts
    When all cuts end
    And the lease hosts run for 12000 ms
    Then each engine can receive orders from exactly one host

    Examples:
      | hosts | first | last |
      | 2     | 1     | 1    |
      | 3     | 1     | 2    |
      | 3     | 2     | 3    |
      | 4     | 2     | 4    |
      | 5     | 1     | 3    |
      | 5     | 2     | 5    |
      | 9     | 1     | 5    |
      | 40    | 1     | 24   |

  Scenario: Most of the hosts are cut off one after the other
    Given 5 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts 2 to 4 are cut off together, 700 ms apart
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts

  Scenario: Most of the hosts that are left are cut off after others have left
    Given 7 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts 4 to 7 leave
    And the lease hosts run for 3000 ms
    And lease hosts 2 to 3 are cut off together
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts

  Scenario: Hosts of which some were killed before are cut off
    Given 7 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts 4 to 7 are killed
    And the lease hosts run for 9000 ms
    And lease hosts 2 to 3 are cut off together
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts

  Scenario: The store comes back to one host that the others do not reach
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And all lease hosts lose the store
    And the lease hosts run for 4000 ms
    And lease host 1 reaches the store and none of the others
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts

  Scenario: A host that starts while the others are without the store reaches it, and none of them
    Given 4 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And all lease hosts lose the store
    And the lease hosts run for 2000 ms
    And a lease host starts that reaches the store and none of the others
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts

  Scenario: One of the hosts that are cut off reaches the store again, and still the others
    Given 5 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts 2 to 4 are cut off together
    And the lease hosts run for 5000 ms
    And lease host 3 reaches the store again
    And the lease hosts run for 14000 ms
    Then no engine could receive orders from two hosts

  Scenario Outline: Owners go on through an outage, also where some of the hosts were killed just before it
    Given <hosts> lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts <first> to <last> are killed
    And the lease hosts run for <apart> ms
    And all lease hosts lose the store
    And the lease hosts run for 9000 ms while engines can receive orders at least <percent>% of the time
    Then no engine could receive orders from two hosts

    Examples:
      | hosts | first | last | apart | percent |
      | 3     | 3     | 2    | 0     | 90      |
      | 9     | 9     | 8    | 0     | 90      |
      | 9     | 6     | 9    | 9000  | 90      |
      | 3     | 3     | 3    | 0     | 60      |
      | 9     | 7     | 9    | 0     | 60      |

  # A takeover may wait where most witnesses are lost at once, but not for ever.
  Scenario Outline: Engines of hosts that were lost together with most others have an owner again
    Given <hosts> lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts <first> to <last> are killed
    And the lease hosts run for <ms> ms
    Then each engine can receive orders from exactly one host

    Examples:
      | hosts | first | last | ms    |
      | 3     | 2     | 2    | 7000  |
      | 9     | 2     | 5    | 9000  |
      | 3     | 2     | 3    | 38000 |
      | 7     | 2     | 7    | 38000 |

  Scenario: Owners send no orders beyond the bound of an outage
    Given 3 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And all lease hosts lose the store
    And the lease hosts run for 31000 ms
    Then lease host 1 may order nothing
    And lease host 2 may order nothing
    And lease host 3 may order nothing

  # Guards against calls to the store that grow with the square of the hosts: every owner wrote its list at every change of the hosts.
  Scenario: Owners list other witnesses only once an eighth of them was lost
    Given 24 lease hosts and 24 engines
    When the lease hosts run for 10000 ms
    And lease hosts 16 to 24 are killed, 1500 ms apart
    And the lease hosts run for 2000 ms
    Then no owner among lease hosts 1 to 15 has written its row more than 3 times meanwhile

  # Guards against rows that all owners write and all hosts read whenever witnesses restart.
  Scenario: Owners keep their list of witnesses where these restart
    Given 24 lease hosts and 24 engines
    When the lease hosts run for 10000 ms
    And lease hosts 16 to 24 restart, 1500 ms apart
    And the lease hosts run for 2000 ms
    Then no owner among lease hosts 1 to 15 has written its row more than 0 times meanwhile

  # Guards against owners that stop at an outage as they know the former processes of their witnesses only.
  Scenario: Owners go on through an outage with witnesses that restarted after they were listed
    Given 9 lease hosts and 6 engines
    When the lease hosts run for 4000 ms
    And lease hosts 4 to 9 restart, 500 ms apart
    And the lease hosts run for 4000 ms
    And all lease hosts lose the store
    And the lease hosts run for 9000 ms while engines can receive orders at least 90% of the time
    Then no engine could receive orders from two hosts

  # Guards against lists that fill the links by which all hosts read each other's rows.
  Scenario: A row with a full list of witnesses is little longer than one without
    Given 24 lease hosts and 24 engines
    When the lease hosts run for 10000 ms
    Then the lists of witnesses add at most 20 bytes for each of 12 witnesses to the rows of hosts

  Scenario Outline: Hosts are cut off, killed and restarted in any order while the store comes and goes
    Then no engine could receive orders from two hosts in 25 random histories from seed <seed> on

    Examples:
      | seed |
      | 1    |
      | 1001 |
