Feature: Event ids that are wrong
  A faulty engine spoils the id of an event. A caller gets no event after the last one that is in order, and a stream goes on only
  after the event that its caller has: with a gap it never ends as complete.

  # Guards against a resumption after the id that is out of order, which the caller has never got.
  Scenario Outline: Streams in which the id of event <event> is <spoiling>
    Given 2 hosts before a platform with 4 engines
    And in half of the streams of two engines the id of event <event> is spoiled: "<spoiling>"
    When 40 streams for 2 adapters are sent within 1500 ms
    Then no answer joins or repeats events
    And no incomplete stream ends as a whole one
    And at least <whole> streams are whole
    And some streams were spoiled

    Examples:
      | event | spoiling | whole |
      | 3     | higher   | 30    |
      | 3     | lower    | 30    |
      | 3     | zero     | 30    |
      | 3     | word     | 30    |
      | 3     | minus    | 30    |
      | 3     | huge     | 30    |
      | 3     | field    | 30    |
      | 3     | lineFeed | 30    |
      | 2     | eventEnd | 30    |
      | 3     | padded   | 30    |
      | 1     | higher   | 30    |
      | 1     | zero     | 30    |
      | 1     | field    | 30    |
      | 1     | huge     | 30    |

  Scenario Outline: The events "<events>" of a stream that <begins>
    Given a stream that <begins>
    When its events have the ids "<events>"
    Then the events "<relayed>" are relayed, the last id is <last>, and the stream <state>

    Examples:
      | begins         | events         | relayed    | last | state                    |
      | begins anew    | 1 2 3          | 1 2 3      | 3    | can end                  |
      | begins anew    | 1 2 7 8        | 1 2        | 2    | is defective             |
      | begins anew    | 1 2 2 3        | 1 2        | 2    | is defective             |
      | begins anew    | 1 2 -          | 1 2        | 2    | is defective             |
      | begins anew    | 1 2 03         | 1 2        | 2    | is defective             |
      | begins anew    | 4 5 6          | 4 5 6      | 6    | can end                  |
      | begins anew    | 4 2 3          |            | none | is defective             |
      | begins anew    | 4              |            | none | can't end yet            |
      | begins anew    | - - -          | - - -      | none | can end                  |
      | begins anew    | - 2 3          |            | none | is defective             |
      | begins anew    | -              |            | none | can't end yet            |
      | begins anew    | - - 3          | - -        | none | is defective             |
      | goes on from 4 | 5 6            | 5 6        | 6    | can end                  |
      | goes on from 4 | 6 7            |            | 4    | is defective             |
      | goes on from 4 | 1 2            |            | 4    | is defective             |
      | goes on from 4 | : 5 :          | : 5 :      | 5    | can end                  |

  Scenario: A caller that has events without ids gets no second stream after them
    Then a resumable stream may be followed by another attempt if its caller has nothing, or the events up to a known id, and not otherwise
