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

  Scenario: A late order of before is not taken for the one whose answer was lost
    Given an engine that has taken 7 orders and waits 0 ms with unloads
    And the line to it has been open for 1000 ms
    When a load of before comes late and the next load gets no answer
    Then the engine has taken 8 orders
    And the engine's state is read again

  Scenario: A load is known to be carried out although its answer was lost
    Given an engine that has taken 7 orders and waits 0 ms with unloads
    And the line to it has been open for 6000 ms
    When a load is carried out and its answer is lost
    Then the load is known to be accepted
    And the engine has taken 8 orders
