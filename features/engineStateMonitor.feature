Feature: An owner's view of an engine's state
  State reports lag a few hundred milliseconds. An owner learns the result of its orders by sending them again.

  Scenario: A model is used as soon as it is loaded
    Given an engine without a model whose state reports lag 200 ms
    When its owner starts to monitor it and the load of its model takes 600 ms
    Then the owner considers it ready within 700 ms

  Scenario: The state is read again if the load of the model never completes
    Given an engine without a model whose state reports lag 200 ms
    When its owner starts to monitor it and the load of its model takes 60000 ms
    And 5000 ms pass at the engine
    Then the owner does not consider it ready
    And the owner has read its state again

  Scenario: The model is loaded again if the engine restarts during the load
    Given an engine without a model whose state reports lag 200 ms
    When its owner starts to monitor it and the load of its model takes 600 ms
    And 300 ms pass at the engine
    And the monitored engine restarts
    And 6000 ms pass at the engine
    Then the owner considers it ready

  # Guards against an owner that orders the same load without end, as a report denies what each answer says.
  Scenario: An engine that says that it has its model is used though its reports never show it
    Given an engine without a model whose state reports lag 200 ms
    And its reports never show its model
    When its owner starts to monitor it and the load of its model takes 3000 ms
    And 6000 ms pass at the engine
    Then the owner considers it ready
    And it has sent at most 1 orders in the last 2000 ms
