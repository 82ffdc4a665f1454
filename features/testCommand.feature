Feature: The test command
  Scenarios run in several processes, which share neither ports nor folders.

  Scenario Outline: A number of processes that is <what> ends the command at once
    When the test command is started with "<number>" processes
    Then it ends with code 2 and the line "TEST_PROCESSES is a whole number of 1 or more, not "<number>""

    Examples:
      | what               | number |
      | zero               | 0      |
      | no number          | x      |
      | no whole number    | 1.5    |
      | negative           | -1     |
      | empty              |        |

  Scenario: Processes that claim ports get different ones
    When 3 processes claim ports that begin their search at the same place
    Then no two of them have a port in common
