Feature: Connections whose callers have ended their side
  A caller that ends its side of a connection gets the answers to what it has sent, for as long as it reads.

  # Guards against the end of the caller's side being taken for its leaving.
  Scenario Outline: A caller that sends <requests> and ends its side <when> gets whole answers
    Given 1 host before 2 engines and 2 services
    When 8 callers send <requests> at once and end their side <when>
    Then each of these requests is answered whole

    Examples:
      | requests                          | when        |
      | once                              | at once     |
      | idempotent                        | at once     |
      | stream                            | at once     |
      | resumable                         | at once     |
      | once                              | 20 ms later |
      | resumable                         | 20 ms later |
      | once, idempotent, resumable, once | at once     |

  Scenario: A caller that ends its side gets the answer to a request that takes 1500 ms
    Given 1 host before 1 engine and 2 services
    When 4 callers send once, idempotent at once and end their side at once, while plain requests take 1500 ms
    Then each of these requests is answered whole

  # Events that are far apart leave the host nothing to write by which it could learn that the caller reads.
  Scenario: A caller that ends its side gets a stream whose events are 300 ms apart
    Given 1 host before 2 engines and 2 services
    When 4 callers send resumable at once and end their side 20 ms later, while streams take 300 ms an event
    Then each of these requests is answered whole

  Scenario: A caller that sends 70 requests at once and ends its side gets all answers
    Given 1 host before 2 engines and 2 services
    When 1 callers send 70 times once at once and end their side at once
    Then each of these requests is answered whole

  Scenario: Callers that have ended their side are answered by a host that stops
    Given 2 hosts before 2 engines and 2 services
    When 8 callers send once, resumable at once and end their side at once, while host 1 stops
    Then each of these requests is answered whole

  Scenario Outline: The answer before <what> is whole when its caller has ended its side
    Given 1 host before 1 engine and 2 services
    When a caller sends a request and <what>, and ends its side
    Then it gets status 200 and then 400

    Examples:
      | what                      |
      | half a head               |
      | half a body               |
      | half a body of a request with Connection: close |
      | bytes that are no request |

  # Guards against work for a caller that ended its side at first and left later.
  Scenario: A caller that leaves after it has ended its side leaves nothing to run half a second later
    Given a listener whose requests take 3000 ms
    When a caller sends a request, ends its side, and leaves 700 ms later
    Then the request is cancelled within 400 ms

  # The end of a caller's side long after its request rather means that it has left.
  Scenario Outline: A caller that ends its side 300 ms after a request that may <run> gets status <status>
    Given 1 host before 1 engine and 2 services
    When a caller of HTTP/1.1 sends a request that may <run> and takes 1500 ms, and ends its side after 300 ms
    Then it gets status <status> within <ms> ms

    Examples:
      | run           | status | ms   |
      | be repeated   | 502    | 200  |
      | run only once | 200    | 2500 |

  # A caller of HTTP/1.0 knows no interim responses, so that it cannot be told from one that has left.
  Scenario: A caller of HTTP/1.0 that ends its side gets an answer within half a second
    Given 1 host before 1 engine and 2 services
    When a caller of HTTP/1.0 sends a request that may be repeated and takes 1500 ms, and ends its side after 0 ms
    Then it gets status 502 within 600 ms

  Scenario: A caller of HTTP/1.0 that ends its side gets the answer to a request that may run only once
    Given 1 host before 1 engine and 2 services
    When a caller of HTTP/1.0 sends a request that may run only once and takes 1500 ms, and ends its side after 0 ms
    Then it gets status 200 within 2500 ms

  Scenario: A host that ends its side behind a transaction learns its outcome from the relay
    Given a relay whose store decides in 100 ms
    When a host sends it a transaction on a connection, and ends its side
    Then the connection has brought an answer with status 200
