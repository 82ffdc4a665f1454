Feature: Requests that crash endpoints
  A request may crash every endpoint that starts to run it, and its caller retries it. It reaches only a few endpoints, even if
  hosts restart, the store is unavailable or messages are lost meanwhile.

  Scenario: A request that crashes endpoints of a plain service is refused on every host
    Given 3 hosts before a platform with 1 engine
    And crashed endpoints restart after 300 ms
    When a "once" request that crashes endpoints is sent 8 times, to each host in turn
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Restarted hosts know which requests crash engines
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    When a "stream" request that crashes endpoints is sent 8 times, and all hosts restart after every 2nd time
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Hosts learn which requests crash engines although messages between them are lost
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And messages between hosts about crashes are lost
    When a "stream" request that crashes endpoints is sent 8 times, to each host in turn
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Hosts learn which requests crash engines while the store is unavailable
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the store is "silent"
    When a "stream" request that crashes endpoints is sent 8 times, to each host in turn
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Crashes are distinguished although entries do not report when their endpoints started
    Given 3 hosts before a platform with 3 engines whose entries report no start time
    And crashed endpoints restart after 300 ms
    When a "stream" request that crashes endpoints is sent 8 times, to each host in turn
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Harmless requests beside one that crashes engines are not refused permanently
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    When a "resumable" request that crashes endpoints is sent 8 times, to each host in turn, beside 20 harmless ones a second for its adapter
    Then it reached endpoints at most 6 times
    And no harmless request is refused permanently

  Scenario: A request that is sent often is not refused although endpoints crash while they run it
    Given 3 hosts before a platform with 1 engine
    And crashed endpoints restart after 300 ms
    When services crash 5 times while the same "idempotent" request is sent 100 times a second
    Then no harmless request is refused permanently

  Scenario: A request that is found to crash endpoints while it waits for a reservation is refused at once
    Given a request that waits for a reservation
    When its fingerprint is found to crash endpoints
    Then the request is refused permanently and not sent

  Scenario: A request that waits at an endpoint is withdrawn as it is found to crash endpoints
    Given a request that was sent to an endpoint and has no answer yet
    When its fingerprint is found to crash endpoints
    Then the request is refused permanently and withdrawn from the endpoint

  Scenario Outline: Request fingerprints
    Given a request with a body of 20000 bytes
    When another one differs in <part>
    Then their fingerprints are <result>

    Examples:
      | part                      | result    |
      | its id and its time left  | equal     |
      | its last event id         | equal     |
      | its path                  | different |
      | its caller                | different |
      | the last byte of its body | different |

  Scenario Outline: Endpoints that crash while they run requests
    Given a crash detector
    When <events>
    Then the detected crashes are <crashes>

    Examples:
      | events                                                                                                                                             | crashes                |
      | "a" is interrupted at "i-1" of start 5, "b" is interrupted at "i-1" of start 5, "i-1" refuses connections                                          | i-1@5/1: a b           |
      | "a" is interrupted at "i-1" of start 5, "i-1" reports start 9                                                                                      | i-1@5/1: a             |
      | "a" is interrupted at "i-1" of start 5, "i-1" reports start 5                                                                                      | none                   |
      | "a" is interrupted at "i-1" of start 5, 7000 ms pass, "i-1" reports start 9                                                                        | none                   |
      | "a" is interrupted at "i-1" of start 5, "i-1" refuses connections, "b" that was sent earlier is interrupted at "i-1" of start 5                    | i-1@5/1: a, i-1@5/1: b |
      | "a" is interrupted at "i-1" of start 5, "i-1" refuses connections, "i-1" refuses connections                                                       | i-1@5/1: a             |
      | "a" is interrupted at "i-1" of start 5, "i-1" refuses connections, 1000 ms pass, "a" is interrupted at "i-1" of start 5, "i-1" refuses connections | i-1@5/1: a, i-1@5/2: a |
      | "a" is interrupted at "i-1" of start 5, "i-1" reports start 9, "b" is interrupted at "i-1" of start 5                                              | i-1@5/1: a             |
