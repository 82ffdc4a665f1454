Feature: A reader of a host's output that stands still
  Neither a host that serves nor one that stops waits for whoever reads its lines.

  # Guards against a stop that lasts until its last lines have been read, and ends in SIGKILL.
  Scenario Outline: A host whose output is a full <output> is stopped
    Given a host whose output is a <output> that nobody reads, and that is full
    When the host is ready, and is stopped
    Then it ends with code 0 within its time for a stop

    Examples:
      | output |
      | pipe   |
      | socket |

  Scenario Outline: The last lines of a host reach a reader of its <output> that is slow
    Given a host whose output is a <output> that nobody reads
    When the host is ready, and is stopped
    Then it ends with code 0 within its time for a stop
    And its lines say that it has stopped

    Examples:
      | output |
      | pipe   |
      | socket |

  # Guards against a process that stands still for good, with its ports open, since a line could not be written to a full disk.
  Scenario: A host whose output is on a full disk serves and is stopped
    Given a host whose output is on a full disk
    When the host is ready, and is stopped
    Then it ends with code 0 within its time for a stop

  Scenario: The last lines of a host reach a file
    Given a host whose output is a file
    When the host is ready, and is stopped
    Then it ends with code 0 within its time for a stop
    And its file says that it has started and stopped
