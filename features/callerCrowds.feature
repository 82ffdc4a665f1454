@alone
Feature: Crowds of callers
  A process lives, stays within its memory and descriptors, and answers ordinary requests, whatever its callers send or leave unread.

  # Guards against a host that crashes, grows beyond its memory or answers nobody because of callers that it does not limit.
  Scenario Outline: A host bears callers on its <port> that <crowd>
    Given a host of its own with 160 MB of memory, a heap of 80 MB and 400 descriptors
    When a crowd of callers on its <port> go on for 6 s that <crowd>
    Then its process lives and answers an ordinary request on its <port>
    And it stayed within its memory and descriptors

    Examples:
      | port          | crowd                                                 |
      | callers' port | send requests ahead and read nothing                  |
      | callers' port | send bare request lines ahead and read nothing        |
      | callers' port | send requests with large heads ahead and read nothing |
      | callers' port | open connections and send nothing                     |
      | peers' port   | send requests ahead and read nothing                  |
      | peers' port   | send bare request lines ahead and read nothing        |
      | relay port    | send bare request lines ahead and read nothing        |
      | relay port    | send bodies in one-byte chunks and hold them open     |
      | callers' port | send bodies in one-byte chunks and hold them open     |
      | peers' port   | send bodies in one-byte chunks and hold them open     |
      | callers' port | read long responses slowly                            |
      | relay port    | send bodies in large chunks and hold them open        |
      | callers' port | send bodies in large chunks and hold them open        |
      | peers' port   | send bodies in large chunks and hold them open        |

    @knownRed
    Examples:
      | port          | crowd                                                 |
      | relay port    | open connections and send nothing                     |
      | relay port    | send requests ahead and read nothing                  |

  Scenario Outline: A gateway bears callers on its <port> that <crowd>
    Given a gateway of its own with a heap of 96 MB
    When a crowd of callers on its <port> go on for 6 s that <crowd>
    Then its process lives and answers an ordinary request on its <port>
    And it stayed within its memory and descriptors

    Examples:
      | port            | crowd                                                 |
      | gateway port    | send requests ahead and read nothing                  |
      | gateway port    | send bare request lines ahead and read nothing        |
      | gateway port    | send bodies in large chunks and hold them open        |
      | operators' port | send requests ahead and read nothing                  |
      | operators' port | send bodies in large chunks and hold them open        |

    @knownRed
    Examples:
      | port            | crowd                                                 |
      | gateway port    | send bodies in one-byte chunks and hold them open     |
      | operators' port | send bare request lines ahead and read nothing        |
