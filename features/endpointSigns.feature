Feature: Endpoint notices in responses
  A leaving endpoint announces this in all its responses. An endpoint that rejects a request may state a retry delay, for which it
  accepts no requests. The host that receives such a notice follows it, whatever the store says and while it is unavailable.

  Scenario Outline: A host sends no new requests to an endpoint that announced that it is leaving
    Given 2 hosts before a platform with 2 engines
    And the store is "<store>"
    When endpoint 1 of "<service>" announces in its responses that it is leaving
    And 30 requests of kind "<kind>" are sent to host 1 within 1500 ms
    Then endpoint 1 of "<service>" ran at least 1 of them, and started none later than 200 ms after the first

    Examples:
      | service | kind   | store  |
      | desk    | once   | none   |
      | desk    | once   | silent |
      | llm     | stream | none   |
      | llm     | stream | silent |

  Scenario: A restarted endpoint is not bound by the notices of its previous process
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "desk" announces in its responses that it is leaving
    And 10 requests of kind "once" are sent to host 1 within 300 ms
    And endpoint 1 of "desk" restarts and no longer announces that it is leaving
    And 1500 ms pass
    And 40 requests of kind "once" are sent to host 1 within 800 ms
    Then endpoint 1 of "desk" ran at least 5 of them

  Scenario: The owner of a leaving engine grants no reservations there, and a false notice expires
    Given 3 hosts before a platform with 2 engines
    When endpoint 1 of "llm" announces in its responses that it is leaving
    And 10 requests of kind "stream" are sent to host 1 within 500 ms
    And endpoint 1 of "llm" stops announcing that it is leaving
    And 20 requests of kind "stream" are sent to host 2 within 1000 ms
    Then endpoint 1 of "llm" ran at most 0 of them
    When 5500 ms pass
    And 40 requests of kind "stream" are sent to host 2 within 1500 ms
    Then endpoint 1 of "llm" ran at least 1 of them

  Scenario Outline: An endpoint leaves while a request waits for its reservation there
    Given a request that waits for a reservation
    When the entry of that engine <change>
    And the wait ends with a reservation
    Then the request is not sent there

    Examples:
      | change          |
      | says it leaves  |
      | is removed      |

  Scenario Outline: An endpoint leaves while a request waits for a connection to it
    Given a request that waits for a reservation
    When the wait ends with a reservation
    And the entry of that engine <change>
    Then the request is not written to the connection that opens then

    Examples:
      | change          |
      | says it leaves  |
      | is removed      |

  Scenario: A request that is withdrawn as its connection opens is not sent
    Given an endpoint that counts requests
    When a request is sent to it and withdrawn as the connection opens
    Then the request failed as one that was not sent, and the endpoint received none

  Scenario: A host sends no requests to a paused endpoint
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "desk" rejects requests with a retry delay of "1.2" seconds
    And 50 requests of kind "once" are sent to host 1 within 1100 ms
    Then endpoint 1 of "desk" rejected one of them and received no other within 1150 ms
    And every answer is whole and signed

  Scenario: Callers are refused at once while all endpoints of a service are paused
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "desk" rejects requests with a retry delay of "3" seconds
    And endpoint 2 of "desk" rejects requests with a retry delay of "1.5" seconds
    And 30 requests of kind "once" are sent to host 1 within 600 ms
    Then all of them are refused within 200 ms, with spread retry delays of 0.8 to 2.1 seconds

  Scenario: Requests that wait for a reservation at an engine that pauses select another endpoint
    Given a proxy that waits for a reservation at engine "i-1"
    When engine "i-1" pauses requests
    Then the wait ends at once and the owner of the engine is notified

  Scenario: A paused engine receives no orders and no state reads
    Given the order client of an engine that is paused for 300 ms
    When an order is sent to it and its state is read
    Then the order is refused at once and the state is read after 300 ms

  Scenario Outline: Parsing of retry delays
    When an endpoint rejects a request with the retry delay "<value>"
    Then the host parses it as <parsed>

    Examples:
      | value                         | parsed     |
      | 2                             | 2000 ms    |
      | 0.25                          | 250 ms     |
      | 0                             | 0 ms       |
      |                               | nothing    |
      | -1                            | unreadable |
      | soon                          | unreadable |
      | NaN                           | unreadable |
      | Wed, 21 Oct 2026 07:28:00 GMT | unreadable |
