Feature: Requests whose handling throws
  An exception ends the request in whose handling it was thrown, and neither the host nor other requests.

  # Guards against exceptions that nothing catches, which end a host's process with all its requests.
  Scenario Outline: A host goes on if <what> throws
    Given a host process in which <what> throws for paths that end in "throws"
    When a caller sends a plain request, one whose handling throws, and another plain one
    Then the request whose handling throws is answered with status 500, and the others as a whole
    And the host logs the exception, and ends with code 0 when it is stopped

    Examples:
      | what                     |
      | the reading of a request |
      | the serving of a request |
      | the end of an answer     |

  Scenario: The connection of an answer that has begun is closed if its handling throws
    Given a listener whose handling throws after it has written half of an answer
    When a caller asks for that answer
    Then the answer is not whole, its connection is closed, and the listener logs the exception
