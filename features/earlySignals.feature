Feature: Signals while a process starts
  The platform may stop a process, or report a change of its settings file, at any moment after its start.

  # Guards against signals whose default action ends a process that has not finished its start.
  Scenario Outline: <signals> while the <program> opens its first port
    Given the <program> gets <signals> when it opens its first port
    Then <result>

    Examples:
      | program    | signals                 | result                                                     |
      | host       | SIGTERM                 | it ends with code 0                                        |
      | host       | SIGHUP                  | it goes on, and reports that its settings file has changed |
      | host       | SIGHUP, SIGTERM, SIGHUP | it ends with code 0                                        |
      | quickstart | SIGTERM                 | it ends with code 0                                        |
      | quickstart | SIGHUP, SIGINT          | it ends with code 0                                        |

  # Guards against signals that end a process while it still reads its own modules.
  Scenario Outline: <signals> while the <program> loads its modules
    Given the <program> gets <signals> when it loads its modules
    Then <result>

    Examples:
      | program       | signals                 | result                                                     |
      | deployed host | SIGHUP                  | it goes on, and reports that its settings file has changed |
      | deployed host | SIGTERM                 | it ends with code 0                                        |
      | deployed host | SIGHUP, SIGTERM, SIGHUP | it ends with code 0                                        |
      | host          | SIGHUP                  | it goes on, and reports that its settings file has changed |
      | gateway       | SIGHUP, SIGTERM         | it ends with code 0                                        |
      | scheduler     | SIGHUP, SIGTERM         | it ends with code 0                                        |
      | standin       | SIGHUP, SIGTERM         | it ends with code 0                                        |
      | quickstart    | SIGHUP, SIGINT          | it ends with code 0                                        |

  # Node.js itself starts in this time, and no code of the program runs.
  @knownRed
  Scenario: Nine hosts that start at once go on when they get SIGHUP up to 64 ms after their spawn
    Given 9 hosts that start at once and get SIGHUP, each 8 ms later after its spawn than the one before
    Then all of them report that their settings files have changed

  @knownRed
  Scenario: Signals while a host waits for its port of messages
    Given a host whose port of messages is in use, and which gets SIGHUP after 600 and 900 ms and SIGTERM after 1200 ms
    Then it ends with code 0
