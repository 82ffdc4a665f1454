Feature: Orders to one engine, one at a time
  Each order is conditional on the engine's order count. Responses may be lost.

  Scenario: The response to an unload that waited for running requests is lost
    Given an engine with an order count of 464 whose unloads wait 200 ms
    And its response to the executed unload is lost
    When an unload and then a load are submitted to it
    Then both complete within 700 ms
    And the order count of the engine is 466

  Scenario: An unload waits for running requests
    Given an engine with an order count of 464 whose unloads wait 200 ms
    When an unload and then a load are submitted to it
    Then both complete within 500 ms

  Scenario: An earlier order that is executed late is not mistaken for the one without a response
    Given an engine with an order count of 7 whose unloads wait 0 ms
    And its order queue has been open for 1000 ms
    When an earlier load is executed late and the next load gets no response
    Then the order count of the engine is 8
    And the state of the engine is read again

  Scenario: A load is recognised as executed although its response was lost
    Given an engine with an order count of 7 whose unloads wait 0 ms
    And its order queue has been open for 6000 ms
    When a load is executed and its response is lost
    Then the load is reported as accepted
    And the order count of the engine is 8
