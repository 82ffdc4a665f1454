Feature: Connections that end in other ways than after an answer
  What a host has begun for a caller ends with the caller's connection, and no connection ends the host.

  # Guards against a connection without listeners for its errors, which ends the process.
  Scenario Outline: A host runs on when a caller asks for a tunnel <where> and resets its connection
    Given a running host process
    When a caller asks for a tunnel <where>, and resets its connection
    Then the host process runs on

    Examples:
      | where                     |
      | at once                   |
      | behind a whole request    |
