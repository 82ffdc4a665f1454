Feature: Ports that are in use when a host starts
  A process that ends, or a connection that the system opened, may have a port of a host for a while.

  # Guards against hosts that end because a port is still in use when they start.
  Scenario Outline: The port of <port> is in use for a while
    Given the settings of a host
    When the host starts while <user> has its port of <port>
    Then it waits, and says which port is in use
    When the port is free again
    Then the host becomes ready, and ends with code 0 when it is stopped

    Examples:
      | port                    | user         |
      | callers                 | a process    |
      | readiness               | a process    |
      | peers                   | a process    |
      | messages between hosts  | a process    |
      | requests of other hosts | a process    |
      | metrics                 | a process    |
      | callers                 | a connection |
      | readiness               | a connection |

  Scenario: A host that waits for a port is stopped
    Given the settings of a host
    When the host starts while a process has its port of readiness
    Then it waits, and says which port is in use
    And it ends with code 0 within 1000 ms when it is stopped

  # Guards against a wait that hides a wrong setting.
  Scenario Outline: An address that <fault> is a wrong setting
    When a port is opened whose address <fault>, with at most 300 ms to wait
    Then that fails after <least> to <most> ms as a wrong setting that names the port, and "<cause>"

    Examples:
      | fault                     | least | most | cause         |
      | stays in use              | 300   | 2000 | EADDRINUSE    |
      | is not one of the machine | 0     | 250  | EADDRNOTAVAIL |
