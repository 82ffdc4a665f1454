Feature: Several requests at once on a connection
  Whatever a host has read from a connection is answered before it closes the connection.

  # Guards against answers that end a connection while requests behind them are at endpoints.
  Scenario Outline: <count> <requests> at once are answered by a host that stops
    Given 2 hosts before 2 engines and 2 services
    When 4 callers go on sending <count> <requests> at once to host 1, and it stops after 500 ms
    Then no request is lost

    Examples:
      | count | requests              |
      | 2     | plain requests        |
      | 3     | plain requests        |
      | 3     | requests of all kinds |
      | 8     | requests of all kinds |

  Scenario Outline: Callers that keep <count> requests unanswered are answered by a host that stops
    Given 2 hosts before 2 engines and 2 services
    When 4 callers keep <count> <requests> unanswered at host 1, and it stops after 500 ms
    Then no request is lost

    Examples:
      | count | requests              |
      | 2     | plain requests        |
      | 4     | requests of all kinds |

  # Guards against an answer that breaks off with its connection and takes along what runs behind it.
  Scenario: A request behind a stream that breaks off is not at an endpoint
    Given 1 hosts before 1 engine and 2 services
    When a caller sends a stream that its endpoint breaks off, and two plain requests behind it
    Then no request that was passed on to a sound endpoint is without an answer

  # Guards against requests that run at endpoints although the one before them on their connection has not ended.
  Scenario: Requests that may run once are run one after the other
    Given 1 hosts before 1 engine and 2 services
    When a caller sends 4 requests that may run once at once
    Then each of them began after the one before it had ended, and is answered in turn

  Scenario Outline: Answers are given before a connection is closed because of <what> behind them
    Given 1 hosts before 1 engine and 2 services
    When a caller sends 2 plain requests, and <what> behind them
    Then both requests are answered as a whole
    And the connection ends with <status>

    Examples:
      | what                                   | status        |
      | bytes that are no request              | status 400    |
      | a head that is too large               | status 431    |
      | a body that is too large               | status 413    |
      | a body too large, in many small pieces | status 413    |
      | a chunk that is none                   | status 400    |
      | a request to open a tunnel             | status 501    |

  Scenario: What follows a request with "Connection: close" is not run, and takes no answer along
    Given 1 hosts before 1 engine and 2 services
    When a caller sends a plain request, one with "Connection: close", and another one
    Then the first two are answered as a whole, and the third never runs

  # Guards against answers that are lost because a connection is closed before its bytes have been read.
  Scenario: The refusal of a body reaches a caller that goes on writing it
    Given 1 hosts before 1 engine and 2 services
    When a caller writes a body of 6000000 bytes and reads only when it is written
    Then it gets status 413

  # Guards against a stop that takes a finished answer for delivered while its caller still reads it.
  Scenario: A caller that reads slowly gets its whole answer from a host that stops
    Given a listener whose answers have 8000000 bytes
    When a caller asks for an answer, and reads it only 500 ms after the listener began to drain
    Then the whole answer arrives

  # Guards against a caller that fills a host's memory with requests that wait for each other.
  Scenario: Thousands of requests at once on a connection wait outside the host
    Given a listener whose answers have 10 bytes and take 1 ms
    When a caller sends 4000 requests at once
    Then at most 2500 of them wait at a time, and all are answered in turn
