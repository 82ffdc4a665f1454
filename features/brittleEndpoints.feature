Feature: Brittle endpoints
  An endpoint that says it is brittle falls over when it has to reject more than so many requests in a second.

  Scenario Outline: Services that bear <count> rejections a second don't fall over under a burst
    Given 3 hosts before a platform with 1 engine
    When services bear <count> rejections a second
    And 24 requests come to the hosts in turn within 1000 ms
    And 1200 requests come to the hosts in turn within 1500 ms
    Then services have fallen over at most 2 times
    And at least 150 of the last 1200 answers are whole
    And every answer is whole or refused with a time to come back

    Examples:
      | count |
      | 3     |
      | 0     |
      | 1000  |

  Scenario Outline: Services with fewer places than there are hosts don't fall over under a burst
    Given <hosts> hosts before a platform with 1 engine
    When services bear <count> rejections a second
    And 36 requests come to the hosts in turn within 1000 ms
    And 1200 requests come to the hosts in turn within 1500 ms
    Then services have fallen over at most 2 times
    And at least 150 of the last 1200 answers are whole

    Examples:
      | hosts | count |
      | 9     | 3     |
      | 9     | 1     |

  Scenario Outline: Parsing of how many rejections an endpoint bears
    When an endpoint says that it bears "<value>" rejections a second
    Then the host parses the rejections as <parsed>

    Examples:
      | value  | parsed     |
      | 3      | 3          |
      | 0      | 0          |
      | 1e3    | unreadable |
      | -1     | unreadable |
      | 5, 2   | 2          |
      | 2, x   | unreadable |
      |        | unreadable |
      | 99999999999999999999 | 100000000000000000000 |

  Scenario Outline: The places of brittle endpoints are dealt to hosts unevenly, or to some not at all
    Given endpoints of <places> places, and <hosts> hosts
    When each host computes its shares of them
    Then the shares of each endpoint sum up to <sums>, and each host has from <least> to <most>

    Examples:
      | places  | hosts | sums    | least | most |
      | 6, 6    | 9     | 6, 6    | 1     | 2    |
      | 6, 6, 6 | 9     | 6, 6, 6 | 2     | 2    |
      | 6       | 3     | 6       | 2     | 2    |
      | 1, 4    | 3     | 1, 4    | 1     | 2    |
      | 2, 2    | 9     | 5, 4    | 1     | 1    |
      | 6, 6    | 1     | 6, 6    | 12    | 12   |
      | 0       | 2     | 2       | 1     | 1    |
