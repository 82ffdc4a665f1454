Feature: Transactions that a host runs for others while it stops
  A host that cannot reach the store learns whether its transaction took effect from the host that ran it.

  Scenario Outline: A host that stops answers <count> transactions that the store is still deciding
    Given a relay whose store decides in 100 ms
    When <count> hosts send it a transaction, and it stops once the store has them
    Then each of these hosts learns that its transaction was applied
    And the relay has stopped within 1000 ms

    Examples:
      | count |
      | 1     |
      | 4     |

  # Guards against a stop that waits for readers of updates, which hold their calls for seconds, or for a store that does not respond.
  Scenario: Neither a reader of updates nor a store that does not respond holds up the stop
    Given a relay whose store decides in 60000 ms
    When 1 host sends it a transaction and another one waits for updates, and it stops once the store has them
    Then the host learns that its transaction may have been applied
    And the relay has stopped within 1000 ms
