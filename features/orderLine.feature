Feature: Orders to an engine, one after the other
  Each order has the number of orders before it as its condition; answers get lost.

  Scenario: The answer to an unload that waited for its runs is lost
    Given an engine that has taken 464 orders and waits 200 ms with unloads
    And its answer to the carried out unload is lost
    When an unload and then a load are given to it
    Then both are done within 700 ms
    And the engine has taken 466 orders

  Scenario: An unload waits for its runs
    Given an engine that has taken 464 orders and waits 200 ms with unloads
    When an unload and then a load are given to it
    Then both are done within 500 ms
