Feature: What hosts of the platform's program cost while nothing is asked of them
  For control a host spends at most 4 KB a second, whatever the number of hosts and engines.

  Scenario: Owners whose renewals go through another host do not ask all others about the store
    Given 24 hosts before a platform with 6 engines
    When 2500 ms pass
    Then within 3000 ms no host sends the others more than 4096 bytes a second
