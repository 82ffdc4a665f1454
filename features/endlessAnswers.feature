@alone
Feature: Endless responses
  A faulty endpoint or store may send bytes without end. They take a bounded amount of memory, and the outcome of the request is
  reported correctly.

  # Guards against bytes around a body, such as interim responses, that are read until the deadline and stop the host meanwhile.
  Scenario Outline: An endless response to a request
    Given an endpoint whose <part> never ends
    When a request is sent to it and cancelled after 700 ms
    Then the request without a complete response counts as <verdict>
    And the connection to it is closed
    And memory use grew by less than 64 MB

    Examples:
      | part              | verdict     |
      | interim response  | lost        |
      | head              | lost        |
      | header            | lost        |
      | trailers          | lost        |
      | chunk extension   | lost        |
      | chunk extensions  | lost        |
      | body              | incomplete  |
      | chunked body      | incomplete  |

  Scenario Outline: An endless response to an order, a state read or a store read
    Given an endpoint whose <part> never ends
    When an order, a state read and a store read are sent to it
    Then the outcome of the order is unknown, and the others have failed within 1500 ms
    And memory use grew by less than 64 MB

    Examples:
      | part             |
      | interim response |
      | head             |
      | header           |
      | chunk extension  |
      | trailers         |
      | body             |
      | chunked body     |
