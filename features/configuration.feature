Feature: Changes of the configuration
  An accepted change is in force on every host that takes new work within 5 seconds, and never reverts.

  Background:
    Given the hosts "gateway-1, gateway-2, scheduler-1, scheduler-2, scheduler-3"

  Scenario: A change comes into force everywhere
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "accepted"
    And after 5 seconds every host has class "counter" at 2000 ms

  Scenario: The host that makes a large change reports its progress
    Given every call of the table takes 50 ms
    When "gateway-1" registers 20000 adapters and is asked for its progress all the while
    Then the change is "accepted"
    And the reported steps were "reading, writing, confirming", with ever more of 20000 records written
    And at the end 3 schedulers were reported as those that have to confirm
    And no change is reported as in progress any longer

  Scenario: Two operators change the same class at the same moment
    Given "gateway-1" has set class "counter" to 2000 ms
    When "gateway-1" and "gateway-2" set class "counter" to 1000 ms and 3000 ms at the same moment
    Then one change is accepted, and the other is shown the winner's record and version
    And after 5 seconds every host has the winner's class "counter"

  Scenario: Two operators change different classes at the same moment
    When "gateway-1" and "gateway-2" set classes "counter" and "lesson" at the same moment
    Then both changes are accepted

  Scenario: An expected version that is old
    Given "gateway-1" has set class "counter" to 2000 ms
    And "gateway-1" has set class "counter" to 1500 ms
    When "gateway-2" sets class "counter" to 900 ms, expecting version 1
    Then the change is "conflict"
    And after 5 seconds every host has class "counter" at 1500 ms

  Scenario Outline: A change that is wrong in itself
    Given "gateway-1" has set class "counter" to 2000 ms
    When "gateway-1" registers an adapter with <fault>
    Then the change is refused with "<code>"

    Examples:
      | fault                                | code               |
      | default class "nobody"               | class_not_found    |
      | current version "9"                  | version_not_listed |

  Scenario: A class that is still named is not removed
    Given "gateway-1" has set class "counter" to 2000 ms
    And "gateway-1" has registered 1 adapter
    When "gateway-1" removes class "counter"
    Then the change is refused with "class_in_use"

  Scenario Outline: The table's answer to a change is lost
    Given the platform's switch "<fault>" is set to 1
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "<result>"
    And after 5 seconds every host has version <version>

    Examples:
      | fault       | result      | version |
      | lostAnswers | accepted    | 1       |
      | lostWrites  | unavailable | 0       |
      | lateWrites  | unavailable | 0       |

  Scenario: The table is down
    Given the platform's switch "isTableDown" is on
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "unavailable"
    And after 60 seconds every host is current
    And after 5 seconds every host has version 0

  Scenario: Thousands of adapters in one change
    Given "gateway-1" has set class "counter" to 2000 ms
    When "gateway-1" registers 5000 adapters
    Then the change is "accepted"
    And after 5 seconds every host has 5000 adapters

  Scenario: Thousands of adapters, of which one is wrong
    Given "gateway-1" has set class "counter" to 2000 ms
    When "gateway-1" registers 5000 adapters, of which one is wrong
    Then the change is refused with "class_not_found"
    And after 5 seconds every host has 0 adapters

  Scenario: The table goes down while thousands of adapters are written
    Given "gateway-1" has set class "counter" to 2000 ms
    And the table goes down after 1 more write
    When "gateway-1" registers 5000 adapters
    Then the change is "unavailable"
    And once the table is back, after 5 seconds every host has 0 adapters

  Scenario: A host that reaches peers alone learns of a change from them
    Given "gateway-2" does not reach the table
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "accepted"
    And after 5 seconds every host has class "counter" at 2000 ms

  Scenario: A host that reaches neither table nor peers takes no new work once a change is accepted
    Given "gateway-2" does not reach the table
    And "gateway-2" does not reach its peers
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "accepted"
    And after 5 seconds "gateway-2" takes no new work
    And once "gateway-2" reaches all again, after 5 seconds every host has class "counter" at 2000 ms

  Scenario: Without that rule the host takes work under an old configuration
    Given hosts that always hold themselves current
    And "gateway-2" does not reach the table
    And "gateway-2" does not reach its peers
    When "gateway-1" sets class "counter" to 2000 ms
    Then after 5 seconds "gateway-2" takes new work without class "counter"

  Scenario: A host that has not read the list yet does not call a change accepted
    Given "gateway-1" knows the list of hosts only after 2 seconds
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "accepted" after at least 2 seconds

  Scenario: A change that few schedulers confirm is not called accepted
    Given "scheduler-1" and "scheduler-2" reach neither table nor peers
    When "gateway-1" sets class "counter" to 2000 ms
    Then the change is "unconfirmed"

  Scenario: A host that starts while the table is down waits for it
    Given "gateway-1" has set class "counter" to 2000 ms
    And the platform's switch "isTableDown" is on
    When "gateway-2" starts again
    Then after 20 seconds "gateway-2" has not started
    And once the table is back, after 5 seconds every host has class "counter" at 2000 ms

  Scenario: A message that comes again late reverts nothing
    Given "gateway-1" has set class "counter" to 2000 ms
    And "gateway-1" has set class "counter" to 1000 ms
    When every message between hosts comes again, the last one first
    Then after 5 seconds every host has class "counter" at 1000 ms

  Scenario: Without the order of versions such a message reverts a change
    Given hosts that apply changes in any order
    And "gateway-1" has set class "counter" to 2000 ms
    And "gateway-1" has set class "counter" to 1000 ms
    When every message between hosts comes again, the last one first
    Then some host has class "counter" at 2000 ms

  Scenario: A host that slept through hundreds of changes catches up from a snapshot
    Given "gateway-1" has set class "counter" to 2000 ms
    And "gateway-2" does not reach the table
    And "gateway-2" does not reach its peers
    When "gateway-1" makes 700 changes
    And "gateway-2" reaches all again
    Then after 5 seconds every host has version 701
    And the table holds at most 600 changes
