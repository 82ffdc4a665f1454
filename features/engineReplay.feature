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

  Scenario Outline: Engines of different speeds on machines that are slow at times answer more requests on time if they tell it
    When 16 engines, a quarter at 0.55 and the others at 1.2 of the usual speed, get <rate> requests per second each for 15 s
    And their machines are slower by a factor of 2.5 for 600 ms at a time, 15% of the time
    Then at least <parts> of the requests that are late without telling it are on time with it

    Examples:
      | rate | parts |
      | 20   | 0.5   |
      | 24   | 0.3   |
      | 28   | 0.15  |

  Scenario: What an engine tells of its machine expires
    Given the allocator of an engine with 3 adapter slots, batches of 8 and loads of 250 ms
    And the engine has a prefill backlog of 400 ms
    When the engine told 150 ms ago that its machine is slow by a factor of 2.5
    And 100 ms pass without planning
    Then the prefill backlog is about 354 ms
    When 600 ms pass without planning
    And the engine has a prefill backlog of 400 ms
    And 100 ms pass without planning
    Then the prefill backlog is about 320 ms

  Scenario: A proxy reports an engine's slowness only if the engine told it, so that messages of other deployments stay the same
    When a proxy releases reservations of responses that told a slowness of 2.5, and none
    Then the first release reports a slowness of 2.5, and the second has no such field
