Feature: The stand-ins of the platform
  In memory and over HTTP they behave the same, and so do their faults.

  Scenario Outline: Transactions hold as a whole or not at all
    Given a platform <kind>
    When the rows "a, b" are written where they are absent
    Then the table says "applied"
    When the rows "b, c" are written where they are absent
    Then the table says "notApplied" because of "conflict" with row "b"
    And the table holds the rows "a, b"
    When the row "a" is removed
    Then the table holds the rows "b"

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: Rows are listed in pages
    Given a platform <kind>
    When the rows "p/1, p/2, p/3, q/1" are written where they are absent
    Then listing "p/" after "p/1" with limit 1 gives "p/2"
    And listing "p/" after "" with limit 10 gives "p/1, p/2, p/3"

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: A transaction over the limits is refused
    Given a platform <kind>
    Then a transaction of 101 rows is refused
    And a transaction of 1100000 bytes is refused

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: An outage of the table
    Given a platform <kind>
    And the switch "isTableDown" is on
    When the rows "a" are written where they are absent
    Then the table says "notApplied" because of "unavailable"
    And reading the table fails as unavailable
    When the switch "isTableDown" is off
    Then the table holds the rows ""

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: An answer is lost
    Given a platform <kind>
    And the switch "<switch>" is set to 1
    When the rows "a" are written where they are absent
    Then the table says "unknown"
    And the table holds the rows "<at first>"
    And in the end the table holds the rows "<in the end>"

    Examples:
      | kind      | switch      | at first | in the end |
      | in memory | lostAnswers | a        | a          |
      | over HTTP | lostAnswers | a        | a          |
      | in memory | lostWrites  |          |            |
      | over HTTP | lostWrites  |          |            |
      | in memory | lateWrites  |          | a          |
      | over HTTP | lateWrites  |          | a          |

  Scenario Outline: Calls over the limits are turned away
    Given a platform <kind>
    And the switch "writesPerSecond" is set to 1
    When 60 rows are written at once, each for itself
    Then some are turned away as unavailable, and the table holds just the others

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: Objects
    Given a platform <kind>
    When the object "answers/7 of a" is written
    Then the object "answers/7 of a" is there
    When the switch "isObjectsDown" is on
    Then reading and writing objects fails as unavailable
    When the switch "isObjectsDown" is off
    And the object "answers/7 of a" is removed
    Then the object "answers/7 of a" is not there

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: An object with a long key
    Given a platform <kind>
    When an object with a key of 300 characters is written
    Then that object is there

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario Outline: The list of hosts is old, or silent
    Given a platform <kind>
    When host "gateway-1" is announced
    Then the list shows "gateway-1"
    When the switch "isHostListStale" is on
    And host "gateway-2" is announced
    Then the list shows "gateway-1"
    When the switch "isHostListStale" is off
    Then the list shows "gateway-1, gateway-2"
    When host "gateway-1" is withdrawn
    Then the list shows "gateway-2"
    When the switch "isHostListDown" is on
    Then reading the list fails as unavailable

    Examples:
      | kind      |
      | in memory |
      | over HTTP |

  Scenario: A switch that does not exist
    Given a platform over HTTP
    Then posting the switch "isOnFire" is refused
