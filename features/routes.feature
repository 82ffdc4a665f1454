Feature: Routes and rows from the platform
  Rows are decoded once; what cannot be read names nothing, and nothing goes back.

  Scenario Outline: The longest prefix of the host wins
    Given a configuration with routes "shop.example /a/", "shop.example /a/b/", "other.example /"
    Then a request for "<host>" with path "<path>" takes <route>

    Examples:
      | host              | path       | route                |
      | shop.example      | /a/x       | "shop.example /a/"   |
      | shop.example      | /a/b/x?c=/ | "shop.example /a/b/" |
      | SHOP.example:8080 | /a/b/      | "shop.example /a/b/" |
      | shop.example      | /a         | no route             |
      | shop.example      | /b/a/      | no route             |
      | other.example     | /a/b       | "other.example /"    |
      | none.example      | /a/        | no route             |

  Scenario: Weights split the requests of a route
    Given a split of 90 for "one" and 10 for "two"
    Then the fractions 0, 0.5, 0.899 go to "one"
    And the fractions 0.9, 0.999 go to "two"

  Scenario: An older configuration never replaces a newer one
    Given a board with configuration 7
    When configuration 5 arrives later
    Then configuration 7 is in force

  Scenario: A row that is older than the one known is dropped
    Given a mirror that knows row "x" of version 9
    When row "x" of version 8 arrives
    Then the mirror has row "x" of version 9

  Scenario: A whole table takes away what it lacks
    Given a mirror that knows row "x" of version 9
    When the whole table as of version 12 arrives without it
    Then the mirror has no row "x"

  Scenario: A whole table that is older than a row leaves it
    Given a mirror that knows row "x" of version 9
    When the whole table as of version 8 arrives without it
    Then the mirror has row "x" of version 9

  Scenario Outline: An entry that cannot be used names no endpoint
    Given the entry of endpoint "i-1" with <fault>
    Then no endpoint can be read from it

    Examples:
      | fault                    |
      | no address               |
      | an address without port  |
      | an unknown state         |
      | slots that are a text    |
      | a start time in fractions |
      | bytes that are no JSON   |

  Scenario: An entry without a start time is usable
    Given the entry of endpoint "i-1" with no start time
    Then the endpoint can be read from it

  Scenario: Entries that lapse while the store is away stay for two seconds
    Given a directory that knows endpoint "i-1"
    And the store is away for 4000 ms at 10000 ms
    When the entry of "i-1" is removed at 10500 ms
    Then "i-1" takes work at 11500 ms
    But "i-1" takes no work at 12700 ms

  Scenario: An entry that is removed after an outage shorter than three heartbeats has not lapsed
    Given a directory that knows endpoint "i-1"
    And the store is away for 3200 ms at 10000 ms
    When the entry of "i-1" is removed at 10100 ms
    Then "i-1" takes no work at 10101 ms

  Scenario: Entries that are removed while the store is there are gone at once
    Given a directory that knows endpoint "i-1"
    When the entry of "i-1" is removed at 10500 ms
    Then "i-1" takes no work at 10501 ms

  Scenario: An endpoint that leaves takes no new work
    Given a directory that knows endpoint "i-1"
    When the entry of "i-1" says that it leaves
    Then "i-1" takes no work at 10501 ms
