Feature: Control traffic of idle hosts
  A host sends at most 4 KB of control messages a second, whatever the number of hosts and engines.

  Scenario: Owners whose renewals are written by another host do not ping all other hosts for the age of their store data
    Given 24 hosts before a platform with 6 engines
    When 2500 ms pass
    Then within 3000 ms no host sends the others more than 4096 bytes a second
