Feature: The path of a request on the users' platform
  Hosts before a stand-in of the platform serve, retry, resume and refuse as the operators' routes allow.

  Scenario: Every kind of request is served through every host
    Given 3 hosts before a platform with 3 engines
    When each kind of request is sent through each host for adapter "a1"
    Then every answer is whole and signed
    And no endpoint saw what no host may do

  Scenario: Many adapters for few slots
    Given 3 hosts before a platform with 2 engines of 3 adapter slots
    When 60 streams for 12 adapters are sent within 2000 ms
    Then every answer is whole or refused with a time to come back
    And at least 50 streams are whole
    And no endpoint saw what no host may do

  Scenario: A stream that breaks off goes on at another engine
    Given 2 hosts before a platform with 3 engines
    And half of the streams break off
    When 20 streams of kind "resumable" are sent for adapter "a1"
    Then no answer joins or repeats events
    And some streams were resumed

  Scenario: A stream that breaks off long after its start goes on as well
    Given 2 hosts before a platform with 2 engines
    When a stream of kind "resumable" has run for 3400 ms and its engine crashes
    Then every answer is whole and signed
    And some streams were resumed

  Scenario: A stream that must not be repeated is never run twice
    Given 2 hosts before a platform with 3 engines
    And half of the streams break off
    When 20 streams of kind "stream" are sent for adapter "a1"
    Then no request ran more than once
    And no answer that is not whole looks whole

  Scenario: Answers that break off are never passed on as whole
    Given 2 hosts before a platform with 1 engine
    And half of the answers of services break off
    When 40 requests of kind "once" are sent
    Then no request ran more than once
    And no answer that is not whole looks whole
    When 40 requests of kind "idempotent" are sent
    Then at least 25 answers are whole

  Scenario: Second answers on a connection reach nobody
    Given 2 hosts before a platform with 1 engine
    And half of the answers of services come twice
    When 40 requests of kind "idempotent" are sent
    Then every answer that is whole belongs to its request

  Scenario: Answers without a length are whole when their connection ends in order
    Given 2 hosts before a platform with 1 engine
    And all answers of services have no length
    When 10 requests of kind "once" are sent
    Then every answer is whole and signed

  Scenario: Answers without a length that are reset are not whole
    Given 2 hosts before a platform with 1 engine
    And all answers of services have no length and are reset before their end
    When 30 requests of kind "once" are sent
    Then no answer that is not whole looks whole

  Scenario: Headers that only the system sets are dropped
    Given 1 host before a platform with 1 engine
    When a caller sends a request that names another endpoint to be expected
    Then every answer is whole and signed

  Scenario: Orders that get no answer and are carried out late
    Given 2 hosts before a platform with 2 engines of 3 adapter slots
    And 40% of the orders get no answer and are carried out late
    When 60 streams for 10 adapters are sent within 6000 ms
    Then no endpoint saw what no host may do

  Scenario: A crashed engine is left alone until it tells its state
    Given 2 hosts before a platform with 3 engines
    When 10 streams of kind "resumable" are sent for adapter "a1"
    And the engine that ran most of them crashes
    And 10 streams of kind "resumable" are sent for adapter "a1"
    Then at least 18 streams are whole
    And no endpoint saw what no host may do

  Scenario: An adapter that an engine has lost is looked for elsewhere or loaded again
    Given 2 hosts before a platform with 1 engine
    When 10 streams of kind "resumable" are sent for adapter "a1"
    And the engines lose adapter "a1"
    And 10 streams of kind "resumable" are sent for adapter "a1"
    Then every answer is whole and signed
    And at most 15 repeats were sent in all
    And no endpoint saw what no host may do

  Scenario: An endpoint that leaves gets no new work
    Given 2 hosts before a platform with 2 engines
    When engine 1 says that it leaves
    And 1200 ms pass
    And 20 streams for 5 adapters are sent within 500 ms
    Then engine 1 ran none of the last 20

  Scenario: A new version of an adapter is in use soon
    Given 2 hosts before a platform with 2 engines
    When 5 streams of kind "stream" are sent for adapter "a1"
    And version 2 of adapter "a1" is declared
    And 1500 ms pass
    And 5 streams of kind "stream" are sent for adapter "a1"
    Then the last 5 ran on version 2

  Scenario: A request whose caller has left stops at the engine
    Given 1 host before a platform with 1 engine
    When a caller sends a stream and leaves after 40 ms
    Then the engine stops its run within 500 ms

  Scenario: The route's time ends the wait
    Given 1 host before a platform with 1 engine
    And all endpoints are dark
    When 4 requests of kind "once" with 600 ms left are sent
    Then every answer has status 504 and came within 900 ms
