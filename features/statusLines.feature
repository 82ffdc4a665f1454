Feature: Status lines of endpoints
  A response with a status outside 100 to 599 is no response: its request may have run, and nothing of it reaches the caller.

  Scenario Outline: A caller gets the body of a response with status <status>
    Given 2 hosts with links of their own to 2 engines and 2 services
    When all endpoints answer with status <status>
    And 12 requests of all kinds are sent to host 1 within 600 ms
    Then the last 12 callers got 502 and nothing of an endpoint's body within 1500 ms

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: Requests that may run twice fail for one endpoint that answers with status <status>
    Given 2 hosts with links of their own to 2 engines and 2 services
    When one endpoint of each service answers with status <status>
    And 24 requests of all kinds are sent to host 1 within 1200 ms
    Then the last 24 callers got whole answers or 502, and whole ones if their request may run twice

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: A stream that goes on with a response of status <status> looks complete
    Given 2 hosts with links of their own to 2 engines and 2 services
    When 6 resumable streams of 1200 ms begin at host 1
    And all endpoints break off their streams and answer with status <status>
    Then the streams are broken off without an event of the later responses

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: A caller gets the body of a response with status <status> through another host
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of host 1 to all endpoints are reset and refused
    And 2000 ms pass
    And all endpoints answer with status <status>
    And 12 requests of all kinds are sent to host 1 within 600 ms
    Then the last 12 callers got 502 and nothing of an endpoint's body within 1500 ms

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: A link reports a response with status <status> and <body> as a response
    Given a server that answers everything with status <status> and <body>
    When a link sends it a request
    Then the request is lost within 300 ms

    Examples:
      | status | body    |
      | 000    | no body |
      | 000    | a body  |
      | 600    | no body |
      | 999    | a body  |

  # Guards: neither an order nor a state read nor a call of the store takes an unknown status for a result.
  Scenario Outline: An order, a state read and a call of the store take status <status> for a result
    Given a server that answers everything with status <status> and a report
    When it gets an order, a state read and calls of the store
    Then the order and the transaction are unknown, and all reads fail

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: The gateway takes status <status> for a result of a service or an engine
    Given a server that answers everything with status <status> and a report of an engine
    When the gateway's clients send it a call, an order, a report read, a request and a request to go on
    Then the order is unknown, the report read fails, and the others may have run, within 2000 ms

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  # Guards against the HTTP client's rule that the end of the connection is the end of such a response, also where it is a reset.
  # The buffers of a loopback connection take 3,000,000 bytes of an upload that is not read.
  Scenario Outline: A response without a length that is reset during a long upload looks complete <path>
    Given 3 hosts, the first of which <reach> endpoints
    When all endpoints reset uploads after a response without a length
    And 6 requests with 4000000 bytes are sent to host 1
    Then none of the last 6 answers looks whole, and at least 2 are broken off or 502

    Examples:
      | path                 | reach       |
      | at the host itself   | reaches all |
      | through another host | reaches no  |
