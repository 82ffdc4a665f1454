Feature: Requests on the operators' port of a gateway that stops
  A request that was read gets an answer, so that its operator knows whether a change was made, and no stop waits for a watcher.

  # Guards against changes that are made, and whose answers are cut off by the stop.
  Scenario: A change in progress is answered
    Given an operators' port whose changes take 400 ms
    When an operator sends 1 change on a connection, and the port stops once the first one is being made
    Then the connection has 1 whole answer, the first one with status 200
    And the stop has taken at most 3000 ms

  Scenario: Several changes at once on a connection are answered, and those that are refused are not made
    Given an operators' port whose changes take 400 ms
    When an operator sends 3 changes on a connection, and the port stops once the first one is being made
    Then the connection has 3 whole answers, the first one with status 200
    And as many changes were made as answers have status 200
    And the stop has taken at most 3000 ms

  Scenario: A change behind a live feed is answered once the feed has ended
    Given an operators' port whose changes take 400 ms
    When an operator watches, sends 1 change behind it, and the port stops
    Then the connection has 2 whole answers, the first one with status 200
    And as many changes were made as answers after the first have status 200
    And the stop has taken at most 3000 ms

  # Guards against answers that are dropped for callers that end their side with each request.
  Scenario: An operator that ends its side behind a change gets the answer
    Given an operators' port whose changes take 400 ms
    When an operator sends 1 change on a connection and ends its side
    Then the connection has 1 whole answer, the first one with status 200

  Scenario: Watchers that end their side are watchers no more
    Given an operators' port whose changes take 400 ms
    When an operator watches and ends its side
    Then nobody watches within 1000 ms

  Scenario: A watcher that reads nothing does not hold up the stop
    Given an operators' port whose changes take 400 ms
    When an operator watches without reading, more is sent than its connection holds, and the port stops
    Then the stop has taken at most 3000 ms

  # Guards against a stop that lasts as long as a change that never ends.
  Scenario: A change that does not end bounds the stop
    Given an operators' port whose changes take 60000 ms
    When an operator sends 1 change on a connection, and the port stops once the first one is being made
    Then the stop has taken at most 13000 ms
