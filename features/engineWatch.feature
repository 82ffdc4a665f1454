Feature: What an owner knows of an engine
  Reports tell the state as of some hundred milliseconds ago; an owner learns of what it ordered by asking again.

  Scenario: A model is used as soon as its load is done
    Given an engine without its model whose reports are 200 ms old
    When its owner takes it and the load of its model takes 600 ms
    Then the owner uses it within 700 ms

  Scenario: A load of the model that never ends is looked up again
    Given an engine without its model whose reports are 200 ms old
    When its owner takes it and the load of its model takes 60000 ms
    And 5000 ms pass at the engine
    Then the owner does not use it
    And the owner has read its state again

  Scenario: An engine that starts anew while its model loads is given its model again
    Given an engine without its model whose reports are 200 ms old
    When its owner takes it and the load of its model takes 600 ms
    And 300 ms pass at the engine
    And the engine starts anew
    And 6000 ms pass at the engine
    Then the owner uses it
