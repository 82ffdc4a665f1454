Feature: Findings of the review of requests behind streams

  # Guards against a stop that lasts as long as a caller goes on sending one stream after the other.
  @knownRed
  Scenario: A gateway stops beside callers that wait for each stream
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When 4 callers go on sending streams to the gateway, each 20 ms after the end of the one before, and it stops
    Then the gateway has stopped within 4000 ms

  # Guards against a reset of a connection whose caller still receives a stream when listening ends.
  @knownRed
  Scenario: A stream that is still received at the end of listening is whole, though its caller sends a request
    Given a listener whose stream of 1000000 bytes begins after 100 ms and ends after 220 ms
    When a caller that reads nothing for 580 ms sends a stream to the listener, which begins to drain, and a request after 480 ms
    Then the caller has received the whole stream
