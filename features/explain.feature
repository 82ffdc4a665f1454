Feature: A request's timeline
  The decisions of several hosts, whose clocks are not compared, make one timeline.

  Scenario: An attempt that failed, and the one that answered
    Given these decisions, with the clock of "scheduler-2" an hour behind
      | kind           | host        | attempt | endpoint | at   | verdict    | reason                  |
      | admit          | gateway-1   |         |          | 1000 |            | version "2" is fixed    |
      | chooseEndpoint | gateway-1   | 1       | engine-1 | 1001 |            | the adapter is loaded   |
      | dispatch       | scheduler-1 | 1       | engine-1 | 1002 |            | the batch has room      |
      | retry          | gateway-1   | 1       | engine-1 | 1500 | mayHaveRun | the link was lost       |
      | chooseEndpoint | gateway-1   | 2       | engine-2 | 1501 |            | the adapter needs a load |
      | admit          | scheduler-2 | 2       | engine-2 | 1502 |            | the queue has room      |
      | load           | scheduler-2 | 2       | engine-2 | 1600 |            | a slot is free          |
      | dispatch       | scheduler-2 | 2       | engine-2 | 2200 |            | the adapter is loaded   |
      | resume         | scheduler-2 | 2       | engine-2 | 2300 |            | the connection broke    |
      | finish         | gateway-1   | 2       | engine-2 | 2500 | ran        | the whole answer was sent |
    When the timeline is built in any order of the decisions
    Then the timeline's outcome is "answered"
    And attempt 1 ended as "mayHaveRun" because "the link was lost"
    And attempt 2 waited 600 ms for "load" and 98 ms for "queue"
    And the timeline's key decisions are "retry, load, resume"

  Scenario: An attempt that ended in the queue
    Given these decisions, with the clock of "scheduler-2" an hour behind
      | kind           | host        | attempt | endpoint | at   | verdict | reason                |
      | admit          | gateway-1   |         |          | 1000 |         | version "2" is fixed  |
      | chooseEndpoint | gateway-1   | 1       | engine-1 | 1001 |         | the adapter is loaded |
      | admit          | scheduler-2 | 1       | engine-1 | 1002 |         | the queue has room    |
      | retry          | gateway-1   | 1       | engine-1 | 1401 | notRun  | the owner is leaving  |
    When the timeline is built in any order of the decisions
    Then attempt 1 waited 400 ms for "queue"

  Scenario: A refusal that led to another attempt is reported once
    Given these decisions, with the clock of "scheduler-2" an hour behind
      | kind           | host        | attempt | endpoint | at   | verdict | reason                |
      | admit          | gateway-1   |         |          | 1000 |         | version "2" is fixed  |
      | chooseEndpoint | gateway-1   | 1       | engine-1 | 1001 |         | the adapter is loaded |
      | refuse         | scheduler-2 | 1       | engine-1 | 1002 |         | the target is missed  |
      | retry          | gateway-1   | 1       | engine-1 | 1003 | notRun  | the target is missed  |
      | chooseEndpoint | gateway-1   | 2       | engine-2 | 1004 |         | the adapter is loaded |
      | refuse         | scheduler-2 | 2       | engine-2 | 1005 |         | the queue is full     |
      | fail           | gateway-1   | 2       | engine-2 | 1006 | notRun  | the queue is full     |
    When the timeline is built in any order of the decisions
    Then the timeline's outcome is "failed"
    And the timeline's key decisions are "retry, refuse"

  Scenario: A host that gave no answer is named
    Given these decisions, with the clock of "scheduler-2" an hour behind
      | kind           | host      | attempt | endpoint | at   | verdict | reason                |
      | admit          | gateway-1 |         |          | 1000 |         | version "2" is fixed  |
      | chooseEndpoint | gateway-1 | 1       | engine-1 | 1001 |         | the adapter is loaded |
    When the timeline is built without an answer of "scheduler-1"
    Then the timeline's outcome is "running"
    And the timeline names "scheduler-1" as silent

  Scenario: Decisions are kept within a bound, the latest of them
    Given a store of 20000 bytes
    When it takes 3 decisions of each of 1000 requests
    Then it keeps at most 20000 bytes, and all decisions of the last request
    And it has forgotten the first request whole

  Scenario: Loads outlast the requests around them
    Given a store of 20000 bytes
    When it takes a load and then 3 decisions of each of 1000 requests
    Then it still knows the load
