Feature: What hosts tell each other of the store

  Scenario Outline: A host that has just started does not say that the store is away
    Given a host that never reached the store and has run for <up> ms
    When a peer asks how it is
    Then it tells <told> as the age of the store's word

    Examples:
      | up   | told    |
      | 300  | nothing |
      | 2500 | 2500 ms |
