Feature: Streams of bytes without end
  A faulty engine may answer with bytes that hold no event, as fast as its link carries them, until its connection is closed. The host
  goes on serving everybody else, gives the stream up after a bounded number of bytes, and has it run elsewhere.

  # Guards against work that grows with the square of the pieces of an incomplete event, which stopped hosts for 10 s and more.
  Scenario Outline: A stream of <form>
    Given 2 hosts before a platform with 3 engines
    And <engines> engines answer streams with endless <form>
    When 24 streams for 2 adapters come to its hosts within 3000 ms, and a plain request every 50 ms
    Then no plain request takes 800 ms
    And no incomplete stream ends as a whole one
    And at least <whole> streams are whole
    And each endless answer was closed after at most 8 MB

    Examples:
      | form                      | engines | whole |
      | bytes                     | 1       | 22    |
      | lines                     | 1       | 22    |
      | line feeds and bytes      | 1       | 22    |
      | carriage returns          | 1       | 22    |
      | comments                  | 1       | 22    |
      | empty lines               | 1       | 22    |
      | ids without data          | 1       | 22    |
      | bytes of a resumed stream | 3       | 0     |

  # Guards against a failure or refusal that is kept in memory without a limit, or relayed in place of a stream that others can serve.
  Scenario Outline: Endless <form>
    Given 2 hosts before a platform with 3 engines
    And <engines> engines answer streams with endless <form>
    When 24 streams for 2 adapters come to its hosts within 3000 ms, and a plain request every 50 ms
    Then no plain request takes 800 ms
    And no incomplete stream ends as a whole one
    And at least <whole> streams are whole
    And each endless answer was closed after at most 8 MB

    Examples:
      | form                                  | engines | whole |
      | failures                              | 1       | 22    |
      | refusals                              | 1       | 22    |
      | failures of a resumed stream          | 3       | 0     |
      | small failures of a resumed stream    | 3       | 0     |
      | refusals of a resumed stream          | 3       | 0     |
      | unframed refusals of a resumed stream | 3       | 0     |

  # Guards against answers in small pieces, each of which costs a host as much as a large one.
  Scenario Outline: A plain service that answers with endless <form>
    Given 2 hosts before a platform with 2 engines
    And the endpoints of the plain services answer with endless <form>
    When 12 streams for 2 adapters come to its hosts within 3000 ms, and a plain request every 300 ms
    Then every answer is whole and signed
    And each endless answer was closed after at most 8 MB

    Examples:
      | form                     |
      | small pieces             |
      | small pieces of failures |

  # Guards against the request body of a caller that fills a host's memory, as each small piece takes many times its bytes.
  Scenario: A caller that sends its body in small pieces without end
    Given 1 host before a platform with 2 engines
    When a caller sends a body in pieces of 1 byte without end
    Then it is refused with status 413 after at most 2000000 bytes
    And a caller that sends 40000 bytes in pieces of 1 byte is served

  # Guards against comments and incomplete events that are kept or relayed without a limit.
  Scenario Outline: A stream that sends <bytes> bytes of "<unit>" in pieces of <piece> bytes is given up
    When a stream sends <bytes> bytes of "<unit>" in pieces of <piece> bytes
    Then it is given up after at most <limit> bytes

    Examples:
      | bytes   | unit        | piece | limit   |
      | 3000000 | x           | 1     | 17500   |
      | 3000000 | x\n         | 2     | 38000   |
      | 3000000 | x           | 65536 | 1114112 |
      | 3000000 | x\n         | 1000  | 1050000 |
      | 3000000 | data: x\r   | 8     | 263000  |
      | 3000000 | : x\n\n     | 65000 | 130000  |
      | 3000000 | \n\n        | 1000  | 66560   |
      | 3000000 | : x\n\n     | 5     | 70000   |

  # Guards against limits that a sound stream meets.
  Scenario Outline: A sound stream of <stream> is relayed whole
    When a sound stream of <stream> is sent
    Then it is relayed whole

    Examples:
      | stream                                      |
      | one event of 1000000 bytes, by 100 bytes    |
      | one event of 1000000 bytes, by 65536 bytes  |
      | one event of 12000 bytes, by 1 bytes        |
      | 50000 events of 20 bytes, by 7 bytes        |
      | 300 events of 2000 bytes, by 1 bytes        |
      | 20000 events of 20 bytes, by 1000000 bytes  |

  # Guards against comments that wait for the next event, so that callers take the stream for silent.
  Scenario: Comments between two events reach the caller before the second one
    Given 2 hosts before a platform with 2 engines
    And streams pause for 1500 ms after their second event, with a comment every 200 ms
    When 6 callers that leave after 800 ms without a byte send streams for adapter "a1"
    Then every answer is whole and signed
    And each of them ran once

  Scenario: Comments before the first event wait for it, as the stream may still be refused
    When a stream sends a comment, an event, a comment and half an event
    Then nothing is passed on with the first comment, and the second one at once
