Feature: Responses that are paused when their connection ends
  Callers may read more slowly than an endpoint sends. Whoever ends the endpoint's connection meanwhile, the host goes on, a whole response is delivered whole,
  and a part is not taken for a whole one.

  # Guards against an assertion of the HTTP client that fails in a callback of the connection and ends the process.
  Scenario Outline: An endpoint whose response is framed by <framing> <ends> while the response is paused
    Given a link to an endpoint that sends <sent> bytes of a response framed by <framing>
    When its receiver pauses at the first bytes, and the endpoint <ends>
    And the receiver goes on after 200 ms
    Then the receiver gets <result>, and nothing is thrown outside of a call

    Examples:
      | framing                           | sent | ends          | result         |
      | its connection                    | 1000 | ends its side | the whole body |
      | its connection, which it closes   | 1000 | ends its side | the whole body |
      | a length, before a close          | 1000 | ends its side | the whole body |
      | a length, before a close          | 900  | ends its side | a failure      |
      | chunks, before a close            | 1000 | ends its side | the whole body |
      | chunks, before a close            | 900  | ends its side | a failure      |
      | chunks, before a close            | 100  | ends its side | a failure      |
      | a length                          | 1000 | ends its side | the whole body |
      | a length                          | 900  | ends its side | a failure      |
      | chunks                            | 1000 | ends its side | the whole body |
      | chunks                            | 900  | resets        | a failure      |
      | its connection                    | 100  | ends its side | the whole body |
      | its connection                    | 1000 | resets        | a failure      |
      | its connection, which it closes   | 100  | ends its side | the whole body |
      | its connection, which it closes   | 1000 | resets        | a failure      |
      | a length, before a close          | 100  | ends its side | a failure      |
      | a length, before a close          | 900  | resets        | a failure      |
      | chunks, before a close            | 900  | resets        | a failure      |
      | a length                          | 1000 | resets        | the whole body |
      | chunks                            | 1000 | resets        | the whole body |
      | a length, before a close          | 1000 | resets        | the whole body |
      | chunks, before a close            | 1000 | resets        | the whole body |
      | a length                          | 900  | resets        | a failure      |
      | its connection                    | 1000 | ends its side, then resets | the whole body |

  Scenario Outline: A request whose response is framed by <framing> is <ended> while the response is paused
    Given a link to an endpoint that sends 900 bytes of a response framed by <framing>
    When its receiver pauses at the first bytes, and the request is <ended>
    And the receiver goes on after 200 ms
    Then the receiver gets <result>, and nothing is thrown outside of a call
    And the endpoint's connection is closed

    Examples:
      | framing                         | ended     | result    |
      | chunks                          | cancelled | nothing   |
      | its connection                  | cancelled | nothing   |
      | its connection, which it closes | cancelled | nothing   |
      | a length, before a close        | cancelled | nothing   |
      | chunks, before a close          | cancelled | nothing   |

  Scenario Outline: A host whose engine streams events <framing> lives when <ends>
    Given a host of its own with 350 MB of memory, a heap of 160 MB and 400 descriptors
    And its engine streams events <framing>
    When 4 callers ask for a stream and read nothing, and <ends>
    Then its process lives and answers an ordinary request on its callers' port

    Examples:
      | framing                           | ends                                          |
      | to the end of the connection      | the callers reset                             |
      | before a close                    | the callers leave                             |
      | in chunks before a close          | the callers reset                             |
      | of a stated length before a close | the callers leave                             |
      | to the end of the connection      | the engine ends its side before they leave    |
      | before a close                    | the engine resets before they leave           |
      | in chunks before a close          | the engine ends its side before they leave    |
      | of a stated length before a close | the engine resets before they leave           |
