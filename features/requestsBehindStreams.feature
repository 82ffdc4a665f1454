Feature: Requests behind a stream of a host that stops
  A request that a host has read is answered, also where it came while its caller still received the answer before it.

  # Guards against requests that are dropped because the head of an unfinished answer has announced the end of their connection.
  Scenario Outline: Requests behind a stream <when> are answered
    Given a listener whose streams begin after <begins> ms and have 6 events, 100 ms apart
    When 4 callers send a stream to the listener, which begins to drain, and <behind> requests, each 150 ms after the one before it
    Then each request on these connections has a whole answer

    Examples:
      | when                                   | begins | behind |
      | that begins before listening has ended | 100    | 1      |
      | that begins before listening has ended | 100    | 3      |
      | that begins after listening has ended  | 400    | 1      |
      | that begins after listening has ended  | 400    | 3      |

  # Guards against a close that is not announced, which the next request of a caller that waits for each answer crosses.
  Scenario Outline: A caller that sends its next request <gap> ms after a stream is not cut
    Given a listener whose streams begin after 100 ms and have 6 events, 100 ms apart
    When 4 callers send a stream to the listener, which begins to drain, and a request <gap> ms after its end where that does not announce the close
    Then each request on these connections has a whole answer
    And the last answer on each of these connections announces the close

    Examples:
      | gap |
      | 0   |
      | 30  |

  # Guards against a stop that waits for callers which send nothing further.
  Scenario: A listener whose last answer was a stream has soon closed its connection
    Given a listener whose streams begin after 100 ms and have 6 events, 100 ms apart
    When 4 callers send a stream to the listener, which begins to drain, and nothing after it
    Then the listener has drained within 500 ms of the last answer

  Scenario: Callers that send a request behind each stream are answered by a host that stops
    Given 2 hosts with 8000 ms to stop before 2 engines and 2 services
    And streams send one event every 100 ms
    When 8 callers go on sending a stream and a request behind it to host 1, each pair on a new connection, and it stops after 500 ms
    Then no request is lost

  Scenario Outline: <count> completions behind a stream are answered by a gateway that stops
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When a caller sends 1 long stream to the gateway, which stops, and <count> completions behind it, 100 ms apart
    Then the caller has a whole answer to each of its <all> requests

    Examples:
      | count | all |
      | 1     | 2   |
      | 3     | 4   |

  # Guards against a stop that lasts as long as a caller goes on sending one stream after the other.
  Scenario: A gateway stops beside callers that wait for each stream
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When 4 callers go on sending streams to the gateway, each 20 ms after the end of the one before, and it stops
    Then the gateway has stopped within 4000 ms

  # Guards against a reset of a connection whose caller still receives a stream when listening ends.
  Scenario: A stream that is still received at the end of listening is whole, though its caller sends a request
    Given a listener whose stream of 1000000 bytes begins after 100 ms and ends after 220 ms
    When a caller that reads nothing for 580 ms sends a stream to the listener, which begins to drain, and a request after 480 ms
    Then the caller has received the whole stream

  # Guards against a close that the head of a long response announces though its end is far.
  Scenario: A request behind a long response that is still received is answered by a gateway's server that stops
    Given a gateway's server whose responses begin after 200 ms and have 20000000 bytes
    When 4 callers that read nothing for 600 ms send a request to the server, which begins to stop, and another one after 400 ms
    Then each of these callers has two whole responses
