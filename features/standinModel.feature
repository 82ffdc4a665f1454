Feature: The time model of stand-in engines
  On a virtual clock, without I/O.

  Scenario: A full batch gives way to a more urgent request
    Given an engine model with a batch of 1 and a pre-emption gap of 1
    When a request "slow" of 10 tokens with priority 5 runs for 3 steps
    And a request "urgent" of 2 tokens with priority 0 arrives
    Then the requests finish in the order "urgent, slow"
    And the request "slow" was sent each of its 10 tokens once

  Scenario: Without a gap, only the order of the queue counts
    Given an engine model with a batch of 1 and no pre-emption
    When a request "slow" of 10 tokens with priority 5 runs for 3 steps
    And a request "urgent" of 2 tokens with priority 0 arrives
    Then the requests finish in the order "slow, urgent"

  Scenario: A restarted engine starts cold and loses what it had
    Given an engine model with a batch of 1 and no pre-emption
    When the engine restarts
    Then a request is refused with code "engine_starting"
    And 500 ms later a request is refused with code "handle_unknown"

  Scenario: A report shows the past
    Given an engine model with a batch of 1 and no pre-emption
    And its reports lag by 300 ms
    When reports are read each 100 ms while a request of 1000 tokens arrives at 250 ms
    Then the request shows first in the report read at 600 ms

  Scenario: The weight store spaces its loads
    Given a weight store of 4 loads a second, 3 at full speed, 600 ms each
    When 6 loads begin at once
    Then loads arrive after 600, 600, 600, 1050, 1500, 1950 ms

  Scenario: A weight store that is down, then slow
    Given a weight store of 4 loads a second, 3 at full speed, 600 ms each
    When the weight store is down
    Then a load gets no weights
    When the weight store is up and 3 times as slow
    Then a load arrives after 1800 ms

  Scenario: Cached prefixes save time, and their events come late and with gaps
    Given a prefix cache of 3 blocks, with events 200 ms late and every 2nd lost
    When the blocks "a b c" are used
    Then the blocks "a b x" have 2 cached at their start
    And 100 ms later the cache shows the events ""
    And 100 ms later the cache shows the events "1 stored a, 3 stored c, 5 removed c"
