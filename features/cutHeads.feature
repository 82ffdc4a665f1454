Feature: Answers that stop in the middle of their head
  An endpoint stops in the middle of its answer's head, and its connection ends. Nothing of it may look like an answer.

  Scenario Outline: A caller gets a success for a head that stops half-way and is <ended>
    Given 2 hosts with links of their own to 2 engines and 2 services
    When half of all answers stop in the middle of their head, and are <ended>
    And 48 requests of all kinds are sent to host 1 within 2000 ms
    Then every answer is whole or visibly broken off, and at least 12 are whole
    And at least 6 heads were cut

    Examples:
      | ended  |
      | closed |
      | reset  |

  Scenario: A caller gets a success for a head that stops half-way at a host that its request was sent through
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of host 1 to all endpoints are reset and refused
    And 2000 ms pass
    And half of all answers stop in the middle of their head, and are closed
    And 48 requests of all kinds are sent to host 1 within 2000 ms
    Then every answer is whole or visibly broken off, and at least 12 are whole
    And at least 6 heads were cut

  Scenario Outline: A link takes a head with <framing> that stops anywhere for an answer
    Given a link with a connection that has carried a whole answer
    When the next answers are heads with <framing> that stop at each place, and are <ended>
    Then each of them counts as lost

    Examples:
      | framing                | ended  |
      | a length               | closed |
      | a length               | reset  |
      | chunks                 | closed |
      | the connection's end   | closed |
      | the connection's end   | reset  |
      | an interim head before | closed |
