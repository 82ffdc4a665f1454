Feature: Replay of loads against the planners of engines
  Without a network, the load of a requirement runs against the planners of several engines.

  Scenario Outline: An account that sends many times its usual takes no capacity from others
    When 16 accounts of which the largest sends <times> times its usual use 4 engines for 10 s
    Then without accounts at most <without> of the requests of the others are on time
    And with accounts at least <with> of the requests of the others are on time

    Examples:
      | times | without | with |
      | 3     | 0.95    | 0.99 |
      | 5     | 0.8     | 0.98 |
      | 7.5   | 0.5     | 0.98 |
