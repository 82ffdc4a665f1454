Feature: Stand-in engines and the adapter that speaks to them
  Faults of engines can be caused at will, and an answer is passed on whole, once and in order, or ends as a failure.

  Scenario Outline: A stream whose connection suffers comes out whole
    Given a stand-in engine with a loaded adapter
    And the fault <fault>
    When a stream of 8 tokens is generated
    Then the answer is whole, with each of 8 tokens once

    Examples:
      | fault                                         |
      | {}                                            |
      | {"cutStreams":{"count":1,"afterTokens":3}}    |
      | {"duplicateFrames":1}                         |
      | {"lateFrames":1}                              |

  Scenario Outline: Without resuming, the same faults end the answer
    Given a stand-in engine with a loaded adapter
    And answers are not resumed
    And the fault <fault>
    When a stream of 8 tokens is generated
    Then the answer fails with verdict "mayHaveRun" and code "<code>"

    Examples:
      | fault                                      | code          |
      | {"cutStreams":{"count":1,"afterTokens":3}} | endpoint_lost |
      | {"lateFrames":1}                           | answer_gap    |

  Scenario: A request that crashes the engine
    Given a stand-in engine with a loaded adapter
    And the fault {"crashMarker":"boom"}
    When a stream of 8 tokens is generated from the prompt "boom"
    Then the answer fails with verdict "mayHaveRun" and code "stream_unknown"
    And the engine has a new incarnation and no adapter

  Scenario: A request that is accepted and gets nothing
    Given a stand-in engine with a loaded adapter, whose answers may be idle for 100 ms
    And the fault {"stallRequests":1}
    When a stream of 8 tokens is generated
    Then the answer fails with verdict "mayHaveRun" and code "endpoint_stalled"

  Scenario: A cancelled request stops on the engine
    Given a stand-in engine with a loaded adapter
    When a stream of 100000 tokens is cancelled after its first token
    Then the engine's journal shows the request as "cancelled"

  Scenario: A request that is withdrawn before it leaves does not reach the engine
    Given a stand-in engine with a loaded adapter
    When a stream of 8 tokens is withdrawn while its connection is opened
    Then the answer fails with verdict "notRun" and code "order_withdrawn"
    And the engine's journal does not show the request
    When a stream of 8 tokens is generated
    Then the answer is whole, with each of 8 tokens once

  Scenario: Faults are switched over HTTP
    Given a stand-in engine with a loaded adapter
    When the fault {"failLoads":{"count":1,"adapter":"kit-tutor"}} is posted to the engine
    Then an order with fencing number 1 to load "kit-tutor@1#1.9" is refused with code "load_failed"
    And an order with fencing number 1 to load "kit-tutor@1#1.10" is done

  Scenario: Orders with an old fencing number
    Given a stand-in engine with a loaded adapter
    When the engine has seen an order with fencing number 7
    Then an order with fencing number 6 to load "kit-tutor@1#6.1" is refused with code "fencing_old"
    Given the fault {"fencing":"ignore"}
    Then an order with fencing number 6 to load "kit-tutor@1#6.1" is done
