Feature: Request handling on the users' platform
  Hosts in front of a stand-in platform serve, retry, resume and refuse requests as the operators' routes allow.

  Scenario: Every kind of request is served through every host
    Given 3 hosts before a platform with 3 engines
    When each kind of request is sent through each host for adapter "a1"
    Then every answer is whole and signed
    And no endpoint saw what no host may do

  Scenario: Many adapters share few slots
    Given 3 hosts before a platform with 2 engines of 3 adapter slots
    When 60 streams for 12 adapters are sent within 2000 ms
    Then every answer is whole or refused with a time to come back
    And at least 50 streams are whole
    And no endpoint saw what no host may do

  Scenario: A truncated stream is resumed on another engine
    Given 2 hosts before a platform with 3 engines
    And half of the streams break off
    When 20 streams of kind "resumable" are sent for adapter "a1"
    Then no answer joins or repeats events
    And some streams were resumed

  Scenario: A stream that is truncated long after its start is resumed too
    Given 2 hosts before a platform with 2 engines
    When a stream of kind "resumable" has run for 3400 ms and its engine crashes
    Then every answer is whole and signed
    And some streams were resumed

  Scenario: A stream that is not resumable never runs twice
    Given 2 hosts before a platform with 3 engines
    And half of the streams break off
    When 20 streams of kind "stream" are sent for adapter "a1"
    Then no request ran more than once
    And no incomplete response looks complete

  Scenario: Truncated responses are never relayed as complete
    Given 2 hosts before a platform with 1 engine
    And half of the answers of services break off
    When 40 requests of kind "once" are sent
    Then no request ran more than once
    And no incomplete response looks complete
    When 40 requests of kind "idempotent" are sent
    Then at least 25 answers are whole

  Scenario: A duplicate response on a connection is not relayed
    Given 2 hosts before a platform with 1 engine
    And half of the answers of services come twice
    When 40 requests of kind "idempotent" are sent
    Then every complete response belongs to its request

  Scenario: A response without a length is complete if its connection is closed cleanly
    Given 2 hosts before a platform with 1 engine
    And all answers of services have no length
    When 10 requests of kind "once" are sent
    Then every answer is whole and signed

  Scenario: A response without a length is incomplete if its connection is reset
    Given 2 hosts before a platform with 1 engine
    And all answers of services have no length and are reset before their end
    When 30 requests of kind "once" are sent
    Then no incomplete response looks complete

  Scenario: Headers that only hosts may set are removed from callers' requests
    Given 1 host before a platform with 1 engine
    When a caller sends a request with headers that only hosts may set
    Then every answer is whole and signed

  Scenario: Orders that get no response and are executed late
    Given 2 hosts before a platform with 2 engines of 3 adapter slots
    And 40% of the orders get no answer and are carried out late
    When 60 streams for 10 adapters are sent within 6000 ms
    Then no endpoint saw what no host may do

  Scenario: A crashed engine gets no requests until it reports its state
    Given 2 hosts before a platform with 3 engines
    When 10 streams of kind "resumable" are sent for adapter "a1"
    And the engine that ran most of them crashes
    And 10 streams of kind "resumable" are sent for adapter "a1"
    Then at least 18 streams are whole
    And no endpoint saw what no host may do

  Scenario: An adapter that engines have lost is found on another engine or reloaded
    Given 2 hosts before a platform with 1 engine
    When 10 streams of kind "resumable" are sent for adapter "a1"
    And the engines lose adapter "a1"
    And 10 streams of kind "resumable" are sent for adapter "a1"
    Then every answer is whole and signed
    And at most 15 retries were sent in total
    And no endpoint saw what no host may do

  Scenario: A leaving endpoint gets no new requests
    Given 2 hosts before a platform with 2 engines
    When engine 1 says that it leaves
    And 1200 ms pass
    And 20 streams for 5 adapters are sent within 500 ms
    Then engine 1 ran none of the last 20

  Scenario: A new version of an adapter is used shortly after it is declared
    Given 2 hosts before a platform with 2 engines
    When 5 streams of kind "stream" are sent for adapter "a1"
    And version 2 of adapter "a1" is declared
    And 1500 ms pass
    And 5 streams of kind "stream" are sent for adapter "a1"
    Then the last 5 ran on version 2

  Scenario: An engine stops a request whose caller has disconnected
    Given 1 host before a platform with 1 engine
    When a caller sends a stream request and disconnects after 40 ms
    Then the engine stops the request within 500 ms

  Scenario: The deadline of a request ends the wait for a response
    Given 1 host before a platform with 1 engine
    And all endpoints are dark
    When 4 requests of kind "once" with 600 ms left are sent
    Then every response has status 504 and arrived within 900 ms
