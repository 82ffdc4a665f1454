Feature: Answers with neither a length nor chunks
  The end of the connection is the end of such an answer, for streams too. A stream that ends inside an event, or before its first
  one, has been broken off, and its engine is not taken for crashed while its port accepts connections.

  Scenario Outline: A stream that ends with its connection is complete
    Given 3 hosts before a platform with 3 engines
    And answers have neither a length nor chunks, in HTTP/<version>
    When 12 <kind> requests are sent to each host in turn
    Then all callers got whole answers
    And no engine is counted as crashed

    Examples:
      | version | kind        |
      | 1.1     | "stream"    |
      | 1.0     | "stream"    |
      | 1.1     | "resumable" |
      | 1.0     | "resumable" |
      | 1.1     | "once"      |
      | 1.0     | "once"      |

  Scenario Outline: A stream that ends inside an event is broken off
    Given 3 hosts before a platform with 3 engines
    And answers have neither a length nor chunks, in HTTP/<version>
    And half of the streams end inside an event
    When 12 <kind> requests are sent to each host in turn
    Then every answer is whole or visibly broken off, and at least <whole> are whole
    And no engine is counted as crashed

    Examples:
      | version | kind        | whole |
      | 1.1     | "stream"    | 3     |
      | 1.0     | "stream"    | 3     |
      | 1.1     | "resumable" | 7     |
      | 1.0     | "resumable" | 7     |

  Scenario Outline: A stream that ends before its first event is broken off
    Given 1 hosts before a platform with 1 engine
    And answers have neither a length nor chunks, in HTTP/<version>
    And all streams end before their first event
    When 1 "stream" requests are sent to each host in turn
    Then every answer is whole or visibly broken off, and at least 0 are whole

    Examples:
      | version |
      | 1.1     |
      | 1.0     |

  Scenario Outline: Orders and state reads whose answers end with the connection
    Given an engine that answers with neither a length nor chunks, in HTTP/<version>
    When it gets an order and a state read
    Then the order is accepted and the state is read

    Examples:
      | version |
      | 1.1     |
      | 1.0     |

  Scenario: A state read that is cut off fails
    Given an engine that answers with neither a length nor chunks, in HTTP/1.1, and cuts its answers off
    When it gets an order and a state read
    Then the state read fails
