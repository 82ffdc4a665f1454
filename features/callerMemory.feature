Feature: Memory that callers make a host hold

  # Guards against bytes that are lost, repeated or reordered where a body spans several blocks.
  Scenario: Bytes that are collected in pieces of any size come back in order
    Then a byte buffer returns what was appended to it, and its last bytes, for any pieces of up to 200000 bytes

  # Guards against a count that drifts, so that connections are closed without need or none is closed.
  Scenario: What all connections hold stays within its limits, whoever adds to it
    Then for any order of opens, additions and releases no more than 1000 bytes and 5 connections are held, and the sum is that of the open ones

  # Guards against an eviction that hits callers who hold little.
  Scenario: The connection that holds most is closed first, and of idle ones that which was idle longest
    Given a budget of 1000 bytes and 3 connections
    When connections "small", "large" and "idle" hold 100, 800 and 0 bytes
    And "small" adds 200 bytes
    Then "large" is closed
    When connections "late" and "later" are opened
    Then "idle" is closed
