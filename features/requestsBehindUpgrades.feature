Feature: Requests behind one that asks for another protocol
  No host or gateway changes the protocol of a connection, so that what follows such a request is read as usual.

  # Guards against bytes that Node.js leaves unread behind a request that asks for another protocol.
  Scenario Outline: <count> requests <where> one that asks for another protocol <how> are answered
    Given 1 hosts before 1 engine and 2 services
    When a caller asks for another protocol <how>, with <count> requests <where> it
    Then each request of this connection is answered as a whole

    Examples:
      | how                  | count | where                    |
      | without a body       | 1     | at once behind           |
      | without a body       | 3     | at once behind           |
      | without a body       | 1     | cut in the middle behind |
      | with a body          | 2     | at once behind           |
      | each time            | 3     | at once behind           |
      | behind a request     | 2     | at once behind           |

  # Guards against a body that is read as a request, because the head before it was left unread.
  Scenario: The body of a request behind one that asks for another protocol is not run as a request
    Given 1 hosts before 1 engine and 2 services
    When a caller asks for another protocol, with a request behind it whose body is a request and comes later
    Then each request of this connection is answered as a whole
    And what the body says has not run

  Scenario Outline: Bytes that are no request, <when> behind one that asks for another protocol, are refused
    Given 1 hosts before 1 engine and 2 services
    When a caller asks for another protocol, and sends bytes that are no request <when> behind it
    Then each request of this connection is answered as a whole
    And these bytes are answered with 400

    Examples:
      | when      |
      | at once   |
      | 200 ms    |

  Scenario: Completions behind one that asks for another protocol are answered by a gateway
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When a caller asks the gateway for another protocol with a completion, and sends 2 completions at once behind it
    Then the caller has a whole answer to each of its 3 requests
