Feature: The live feed
  Watching never slows serving, and tells what was missed.

  Scenario: A slow watcher misses decisions and is told how many
    Given a watcher who reads nothing
    When 1000 decisions are taken
    Then at most 300000 bytes wait for the watcher
    When the watcher reads again and one more decision is taken
    Then the watcher has been told of every decision or counted it as missed

  Scenario: A watcher sees what it asked for alone
    Given a watcher who reads everything with the filter "class" "counter"
    When 10 decisions of class "overnight" and 5 of class "counter" are taken
    Then the watcher has seen 5 decisions

  Scenario: A scheduler sends to a watching gateway at a bounded rate
    Given a gateway that watches a scheduler
    When the scheduler takes 500 decisions at once
    Then the gateway has got 20 decisions and a count of 480 missed

  Scenario: Nothing is sent once nobody watches
    Given a gateway that watches a scheduler
    When the subscription is not renewed for 16 seconds
    And the scheduler takes 5 decisions at once
    Then the gateway has got 0 decisions and a count of 0 missed
