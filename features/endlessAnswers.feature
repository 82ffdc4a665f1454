Feature: Answers without end
  An endpoint or a store in trouble may send bytes without end. They cost a bounded amount of memory, and what they mean for the
  request is told truly.

  Scenario Outline: An answer of an endpoint that does not end
    Given an endpoint whose <part> never ends
    When a request is sent to it and cancelled after 700 ms
    Then the request without a whole answer counts as <verdict>
    And the connection to it is closed
    And it took less than 64 MB of memory

    Examples:
      | part            | verdict     |
      | head            | lost        |
      | header          | lost        |
      | chunk extension | not whole   |
      | trailers        | lost        |
      | body            | not whole   |
      | chunked body    | not whole   |

  Scenario Outline: An answer to an order, a question or a call to the store that does not end
    Given an endpoint whose <part> never ends
    When an order, a question and a read of the store are sent to it
    Then the order may have been carried out, and the others have failed within 1500 ms
    And it took less than 64 MB of memory

    Examples:
      | part            |
      | head            |
      | header          |
      | chunk extension |
      | trailers        |
      | body            |
      | chunked body    |
