Feature: Store age reported between hosts

  Scenario Outline: A host that has just started does not report the store as unavailable
    Given a host that never reached the store and has run for <up> ms
    When a peer asks for its state
    Then it reports <age> as the time since the last answer of the store

    Examples:
      | up   | age     |
      | 300  | nothing |
      | 2500 | 2500 ms |
