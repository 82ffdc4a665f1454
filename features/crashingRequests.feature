Feature: Requests that crash endpoints
  A request may crash each endpoint that begins to run it, and its caller sends it again. It reaches a few endpoints at most,
  whatever befalls hosts, the store and messages meanwhile.

  Scenario: A request that crashes endpoints of a plain service is refused on every host
    Given 3 hosts before a platform with 1 engine
    And crashed endpoints are back after 300 ms
    When a "once" request that crashes endpoints comes 8 times, each time at the next host
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Hosts that start again know which requests crash engines
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints are back after 300 ms
    When a "stream" request that crashes endpoints comes 8 times, and all hosts start again after every 2nd time
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Hosts learn which requests crash engines although messages between them are lost
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints are back after 300 ms
    And messages between hosts about crashes are lost
    When a "stream" request that crashes endpoints comes 8 times, each time at the next host
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Hosts learn which requests crash engines while the store is away
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints are back after 300 ms
    And the store is "silent"
    When a "stream" request that crashes endpoints comes 8 times, each time at the next host
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Crashes are told apart although entries do not tell when their endpoints started
    Given 3 hosts before a platform with 3 engines whose entries tell no start
    And crashed endpoints are back after 300 ms
    When a "stream" request that crashes endpoints comes 8 times, each time at the next host
    Then it reached endpoints at most 6 times
    And the last 2 answers are refusals for good

  Scenario: Sound requests beside one that crashes engines are not refused for good
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints are back after 300 ms
    When a "resumable" request that crashes endpoints comes 8 times, each time at the next host, beside 20 sound ones a second on its adapter
    Then it reached endpoints at most 6 times
    And no sound request is refused for good

  Scenario: A content that is asked for often is not refused although endpoints crash beneath it
    Given 3 hosts before a platform with 1 engine
    And crashed endpoints are back after 300 ms
    When services crash 5 times while the same "idempotent" request comes 100 times a second
    Then no sound request is refused for good

  Scenario: A request that turns out to crash endpoints while it waits for a place is refused at once
    Given a request that waits for a place
    When its content is found to crash endpoints
    Then the request is refused for good and not sent

  Scenario Outline: Requests that ask the same
    Given a request with a body of 20000 bytes
    When another one differs in <part>
    Then they ask <same>

    Examples:
      | part                   | same            |
      | its id and its time    | the same        |
      | the events it has      | the same        |
      | its path               | different things |
      | its caller             | different things |
      | the last byte of its body | different things |

  Scenario Outline: Endpoints that end beneath requests
    Given a watch for crashes
    When <events>
    Then the crashes are <crashes>

    Examples:
      | events                                                                                     | crashes                          |
      | "a" is cut at "i-1" of start 5, "b" is cut at "i-1" of start 5, "i-1" refuses              | i-1@5/1: a b                     |
      | "a" is cut at "i-1" of start 5, "i-1" starts at 9                                          | i-1@5/1: a                       |
      | "a" is cut at "i-1" of start 5, "i-1" starts at 5                                          | none                             |
      | "a" is cut at "i-1" of start 5, 7000 ms pass, "i-1" starts at 9                            | none                             |
      | "a" is cut at "i-1" of start 5, "i-1" refuses, "b" that was sent before is cut at "i-1" of start 5 | i-1@5/1: a, i-1@5/1: b   |
      | "a" is cut at "i-1" of start 5, "i-1" refuses, "i-1" refuses                               | i-1@5/1: a                       |
      | "a" is cut at "i-1" of start 5, "i-1" refuses, 1000 ms pass, "a" is cut at "i-1" of start 5, "i-1" refuses | i-1@5/1: a, i-1@5/2: a |
      | "a" is cut at "i-1" of start 5, "i-1" starts at 9, "b" is cut at "i-1" of start 5          | i-1@5/1: a                       |
