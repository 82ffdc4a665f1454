Feature: Request routing and rows of the store
  Rows that cannot be decoded are ignored, and nothing is ever replaced by an older version.

  Scenario Outline: The longest matching prefix of the host is selected
    Given a configuration with routes "shop.example /a/", "shop.example /a/b/", "other.example /"
    Then a request for "<host>" with path "<path>" uses <route>

    Examples:
      | host              | path       | route                |
      | shop.example      | /a/x       | "shop.example /a/"   |
      | shop.example      | /a/b/x?c=/ | "shop.example /a/b/" |
      | SHOP.example:8080 | /a/b/      | "shop.example /a/b/" |
      | shop.example      | /a         | no route             |
      | shop.example      | /b/a/      | no route             |
      | other.example     | /a/b       | "other.example /"    |
      | none.example      | /a/        | no route             |

  Scenario: Requests of a route are split by weight
    Given a split of 90 for "one" and 10 for "two"
    Then the fractions 0, 0.5, 0.899 go to "one"
    And the fractions 0.9, 0.999 go to "two"

  Scenario: An older configuration never replaces a newer one
    Given a cluster view with configuration 7
    When configuration 5 arrives later
    Then configuration 7 is in force

  Scenario: A row older than the known one is dropped
    Given a mirror that knows row "x" of version 9
    When row "x" of version 8 arrives
    Then the mirror has row "x" of version 9

  Scenario: A full table read removes rows that are missing in it
    Given a mirror that knows row "x" of version 9
    When the full table as of version 12 arrives without it
    Then the mirror has no row "x"

  Scenario: A full table read that is older than a known row does not remove it
    Given a mirror that knows row "x" of version 9
    When the full table as of version 8 arrives without it
    Then the mirror has row "x" of version 9

  Scenario Outline: An invalid entry is ignored
    Given the entry of endpoint "i-1" with <fault>
    Then no endpoint can be decoded from it

    Examples:
      | fault                     |
      | no address                |
      | an address without a port |
      | an unknown state          |
      | slots as a string         |
      | a fractional start time   |
      | invalid JSON              |
      | a deeply nested version   |
      | a version that is a list  |
      | a port of 0               |
      | a port of 70000           |
      | an address of dots        |
      | an address with a part of 999 |
      | 1e300 slots               |
      | a start time of 1e300     |
      | a negative start time     |
      | a remaining time of 1e300 |
      | a sequence of 1e300       |
      | a model version of 1e300  |

  Scenario: An entry whose software version is a number is valid
    Given the entry of endpoint "i-1" with a version that is a number
    Then the endpoint can be decoded from it

  Scenario: A row that can't be applied doesn't stop the rows behind it
    Given a mirror whose receiver fails at row "y"
    When rows "x", "y" and "z" arrive together as of version 9
    Then rows "x" and "z" were applied, row "y" was reported, and the table is known up to version 9

  Scenario: An entry without a start time is valid
    Given the entry of endpoint "i-1" with no start time
    Then the endpoint can be decoded from it

  Scenario: Entries that expire during a store outage are kept for two seconds
    Given a directory that knows endpoint "i-1"
    And the store has been unavailable for 4000 ms at 10000 ms
    When the entry of "i-1" is removed at 10500 ms
    Then "i-1" accepts requests at 11500 ms
    But "i-1" accepts no requests at 12700 ms

  Scenario: An entry that is removed after an outage shorter than three heartbeats has not expired
    Given a directory that knows endpoint "i-1"
    And the store has been unavailable for 3200 ms at 10000 ms
    When the entry of "i-1" is removed at 10100 ms
    Then "i-1" accepts no requests at 10101 ms

  Scenario: Entries that are removed while the store is available are dropped at once
    Given a directory that knows endpoint "i-1"
    When the entry of "i-1" is removed at 10500 ms
    Then "i-1" accepts no requests at 10501 ms

  Scenario: A leaving endpoint accepts no new requests
    Given a directory that knows endpoint "i-1"
    When the entry of "i-1" says that the endpoint is leaving
    Then "i-1" accepts no requests at 10501 ms
