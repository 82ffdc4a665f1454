Feature: Answers to HTTP clients whose connection ends
  Whoever ends the connection of an answer, while its reader stands still or in its middle, the process goes on, a whole answer is read whole, and a part is an error.

  # Guards against an assertion of the HTTP client that fails in a callback of the connection and ends the process.
  Scenario Outline: A feed of <bytes> bytes to <client> framed by <framing>, whose sender <ends> while its reader stands still
    Given a server of answers framed by <framing>
    When <client> opens a feed of <bytes> bytes, reads no further, and the server <ends>
    Then what it reads afterwards is <result>, and nothing is thrown outside of a call of the client

    Examples:
      | client                | framing                         | bytes | ends          | result    |
      | another gateway       | its connection                  | 71000 | ends its side | whole     |
      | another gateway       | its connection                  | 72000 | ends its side | whole     |
      | another gateway       | its connection                  | 71000 | resets        | a failure |
      | another gateway       | its connection                  | 72000 | resets        | a failure |
      | another gateway       | its connection, which it closes | 71000 | ends its side | whole     |
      | another gateway       | its connection, which it closes | 71000 | resets        | a failure |
      | another gateway       | chunks, before a close          | 71000 | ends its side | a failure |
      | another gateway       | chunks                          | 72000 | resets        | a failure |
      | an operator's command | its connection                  | 71000 | ends its side | whole     |
      | an operator's command | its connection                  | 72000 | ends its side | whole     |
      | an operator's command | its connection                  | 71000 | resets        | a failure |
      | an operator's command | its connection                  | 72000 | resets        | a failure |
      | an operator's command | its connection, which it closes | 71000 | ends its side | whole     |
      | an operator's command | its connection, which it closes | 71000 | resets        | a failure |
      | an operator's command | chunks, before a close          | 71000 | ends its side | a failure |
      | an operator's command | chunks                          | 72000 | resets        | a failure |

  Scenario Outline: An answer to <client> framed by its connection, which is reset in its middle
    Given a server of answers framed by its connection
    When <client> asks, and the server <ends> after 71000 bytes
    Then it gets <result>, and nothing is thrown outside of a call of the client

    Examples:
      | client                   | ends          | result    |
      | a service's client       | ends its side | whole     |
      | a service's client       | resets        | a failure |
      | the object store's       | ends its side | whole     |
      | the object store's       | resets        | a failure |
      | a completion's client    | ends its side | whole     |
      | a completion's client    | resets        | a failure |
      | the store's client       | ends its side | whole     |
