Feature: Explaining a failed request from hosts' log lines
  `sedgevalvectl logs FILE --request ID` leads from a request's id to the cause, with no other source.

  Scenario: Refused though the engine had places free
    Given 2 hosts before a platform with 1 engine of 2 adapter slots
    When streams of 3 s run for 2 adapters through hosts that do not own the engine
    And a stream for adapter "third" is sent that leaves after 700 ms
    Then the last answer is refused as not run
    And the story of the last request holds in this order:
      | kind             | text                   |
      | place.overdue    | "free":0,"idle":0      |
      | request.refused  | not loaded in time     |

  Scenario: Cut in the middle of a stream
    Given 2 hosts before a platform with 2 engines
    When a stream of kind "stream" has run for 1000 ms and its engine crashes
    And 1000 ms pass
    Then the story of the last request holds in this order:
      | kind             | text                       |
      | request.broken   | "runs":1                   |
      | engine.state     | "isRestarted":true         |

  Scenario: Late after a takeover
    Given 3 hosts before a platform with 1 engine
    When the owner of the engine stops
    And a stream for adapter "late" is sent that leaves after 8000 ms
    Then the story of the last request holds in this order:
      | kind             | text                       |
      | owner.changed    | "endpointId":"i-1"         |
      | lease.gained     | "endpointId":"i-1"         |
      | request.served   | "firstPartMs"              |

  Scenario: Causes are counted
    Given 2 hosts before a platform with 1 engine of 2 adapter slots
    When streams of 3 s run for 2 adapters through hosts that do not own the engine
    And a stream for adapter "third" is sent that leaves after 700 ms
    And a stream for adapter "fourth" is sent that leaves after 700 ms
    Then the causes name 2 refused requests of one cause

  Scenario: A request that no line names
    Given 2 hosts before a platform with 1 engine
    Then the story of request "unknown" is an error that contains "no line names request"
