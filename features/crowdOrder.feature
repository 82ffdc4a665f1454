Feature: Ordinary requests behind a crowd
  How long an ordinary request waits does not depend on how many connections send as much as the system takes.

  # Guards against an accept queue that moves by one connection for each read of a crowd's.
  Scenario Outline: <count> callers send bodies in one-byte chunks before an ordinary request arrives
    Given a listener in this process
    When <count> callers send bodies in one-byte chunks, and then one sends an ordinary request
    Then at most 200000 bytes of their bodies were read between its arrival and its reading

    Examples:
      | count |
      | 100   |
      | 300   |
