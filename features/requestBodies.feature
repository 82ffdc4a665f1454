Feature: Request bodies in memory
  A host counts the bytes of a body for as long as it holds them, whatever ends the request.

  # Guards against a host that counts bytes which it no longer holds, and refuses every request with a body from then on.
  Scenario Outline: A request with a body is served after <count> bodies <which>
    Given a listener that holds at most 2000000 bytes of bodies, of at most 500000 bytes each
    When callers send <count> bodies <which>
    Then a request with a body of 20 bytes is served
    And the listener holds no bytes within 1000 ms

    Examples:
      | count | which                                        |
      | 20    | of 600000 bytes in one write                 |
      | 20    | of 600000 bytes in chunks                    |
      | 20    | of 450000 bytes, half of each, and leave     |
      | 20    | of 450000 bytes at once                      |
      | 20    | of 600000 bytes behind another request       |

  Scenario Outline: A body whose stated length is too large is refused at its head, <expectation>
    Given a listener that holds at most 2000000 bytes of bodies, of at most 500000 bytes each
    When a caller sends the head of a request with a body of 600000 bytes, <expectation>
    Then it receives status 413 and nothing before it

    Examples:
      | expectation                    |
      | and waits                      |
      | and expects to be told to send |

  Scenario: A request with a small body is served while bodies of others fill the memory
    Given a listener that holds at most 2000000 bytes of bodies, of at most 500000 bytes each
    When callers hold 40 connections with half a body of 450000 bytes
    Then a request with a body of 20 bytes is served

  # Each sequence draws how requests on several connections are sent and ended.
  Scenario: No bytes are held after any sequence of ends
    Given a listener that holds at most 2000000 bytes of bodies, of at most 500000 bytes each
    Then after each of 25 drawn sequences of requests it holds no bytes and has no request in progress

  Scenario: A total is the sum of the shares that are held, in any order of changes
    Then a total equals the sum of its open shares after each of any changes
