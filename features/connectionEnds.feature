Feature: Connections that end in other ways than after an answer
  What a host has begun for a caller ends with the caller's connection, and no connection ends the host.

  # Guards against a connection without listeners for its errors, which ends the process.
  Scenario Outline: A host runs on when a caller asks for a tunnel <where> and resets its connection
    Given a running host process
    When a caller asks for a tunnel <where>, and resets its connection
    Then the host process runs on

    Examples:
      | where                     |
      | at once                   |
      | behind a whole request    |

  # Guards against requests that run although their caller has closed its connection.
  Scenario Outline: A caller that leaves with <what> behind its requests leaves nothing to run
    Given a listener whose requests take 600 ms
    When a caller sends 3 requests and <what>, and closes its connection after 200 ms
    And its requests have had 1600 ms
    Then the first request was cancelled, and no other one has begun

    Examples:
      | what                      |
      | nothing                   |
      | half a head               |
      | half a body               |
      | bytes that are no request |
      | a request for a tunnel    |

  # Guards against requests that run although an answer before them ends their connection.
  Scenario Outline: No request runs behind <what>
    Given a listener whose requests take 600 ms
    When a caller sends <what> with a request behind it, and its connection ends
    Then the request behind it has not begun

    Examples:
      | what                                 |
      | a request without a host             |
      | a kept request of HTTP/1.0           |

  Scenario: An answer that its caller reads slowly is whole with a request for a tunnel behind it
    Given a listener whose answers have 20000000 bytes in pieces
    When a caller sends a request and one for a tunnel, and reads from 500 ms on
    Then it receives all of the answer

  Scenario: A request that expects what no host offers is answered by a host that stops
    Given a listener whose requests take 600 ms
    When a caller sends a request and one that expects what no host offers, and the listener stops
    Then both get an answer

  # Guards against a caller whose waiting requests take the memory of the host, and its time once they are dropped.
  Scenario: A caller that sends 20000 requests at once does not have all of them read
    Given a listener whose requests take 30000 ms
    When a caller writes 20000 requests without an answer for 2000 ms
    Then at most 2000 requests wait at the listener

  # Guards against bytes between requests that hold a stop up to its deadline.
  Scenario Outline: A connection with <what> and no request is closed by a listener that stops
    Given a listener whose requests take 20 ms
    When a caller has an answer and sends <what>, and the listener has 8000 ms to stop
    Then it has stopped within 4500 ms

    Examples:
      | what            |
      | an empty line   |
      | half a head     |
