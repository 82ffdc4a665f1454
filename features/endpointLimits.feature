Feature: Limits that endpoints name in their responses
  An endpoint in need names the requests a second that it takes from all hosts together, for as long as it does so.

  Scenario: The lines of a host tell which limit it has received and what it sends in spite of it
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "llm" names a limit of "4.9" requests a second
    And 30 requests of kind "stream" are sent to host 1 within 2500 ms
    Then the lines of host 1 name the limit of 4.9 at endpoint 1 of "llm", and the requests that it sent there

  Scenario Outline: Parsing of limits
    When an endpoint names the limits "<values>"
    Then the host reads the limit as <parsed>

    Examples:
      | values                | parsed     |
      | 4.9                   | 4.9        |
      | 0                     | 0          |
      | 0.05                  | 0.05       |
      | 12                    | 12         |
      |                       | nothing    |
      | -1                    | unreadable |
      | soon                  | unreadable |
      | NaN                   | unreadable |
      | Infinity              | unreadable |
      | 1e3                   | unreadable |
      | 4.9 and 1.5           | 1.5        |
      | 4.9, 1.5              | 1.5        |
      | 4.9 and none          | unreadable |

  # The pages allow one and a half times the limit, and 5 requests, in each 4 s.
  Scenario Outline: Hosts that all send to an endpoint multiply its limit
    Given <hosts> hosts before a platform with 2 engines
    And all hosts have served each adapter and each service
    When endpoint 1 of "<service>" names a limit of "<limit>" requests a second
    And callers send 40 requests of kind "<kind>" a second through all hosts for 6000 ms
    Then endpoint 1 of "<service>" got no more than its limit of <limit> allows, from 1000 ms after it named it
    And it got at least <least> requests since then
    And at least 95% of the answers are whole

    Examples:
      | hosts | service | kind      | limit | least |
      | 5     | llm     | resumable | 4.9   | 10    |
      | 2     | llm     | stream    | 1.5   | 3     |
      | 5     | desk    | once      | 4.9   | 10    |
      | 9     | desk    | once      | 0.4   | 1     |

  Scenario Outline: A limited endpoint whose granting host fails gets requests from all others
    Given 5 hosts before a platform with 2 engines
    When endpoint 1 of "<service>" names a limit of "3" requests a second
    And callers send 20 requests of kind "<kind>" a second through all hosts for 500 ms
    And <failure>
    And callers send 40 requests of kind "<kind>" a second through all running hosts for 6000 ms
    Then endpoint 1 of "<service>" got no more than its limit of 3 allows, from 1000 ms after it named it

    Examples:
      | service | kind   | failure                                          |
      | llm     | stream | the owner of the first engine is stopped         |
      | llm     | stream | the owner of the first engine sends nothing more |
      | llm     | stream | the network loses 30% of the messages            |
      | desk    | once   | the network loses 30% of the messages            |
      | desk    | once   | hosts 1 and 2 send nothing more                  |
      | desk    | once   | hosts 3, 4 and 5 send nothing more               |

  Scenario: Streams that go on elsewhere after a break exceed the limit of the endpoint that they go to
    Given 4 hosts before a platform with 2 engines
    When endpoint 1 of "llm" names a limit of "2" requests a second
    And half of the streams of endpoint 2 of "llm" break off
    And callers send 30 requests of kind "resumable" a second through all hosts for 6000 ms
    Then endpoint 1 of "llm" got no more than its limit of 2 allows, from 1000 ms after it named it

  Scenario Outline: Callers wait in vain for endpoints that all take less than is asked of them
    Given 3 hosts before a platform with 2 engines
    When endpoint 1 of "<service>" names a limit of "4" requests a second
    And endpoint 2 of "<service>" names a limit of "4" requests a second
    And callers send 30 requests of kind "<kind>" a second through all hosts for 6000 ms
    Then endpoint 1 of "<service>" got no more than its limit of 4 allows, from 1000 ms after it named it
    And endpoint 2 of "<service>" got no more than its limit of 4 allows, from 1000 ms after it named it
    And it got at least 12 requests since then
    And each request that came later than that was refused within 150 ms with a time to come back, or answered

    Examples:
      | service | kind   |
      | llm     | stream |
      | desk    | once   |

  Scenario Outline: An endpoint that takes next to nothing stays limited for ever after its need has passed
    Given 3 hosts before a platform with 2 engines
    When endpoint 1 of "<service>" names a limit of "<limit>" requests a second
    And callers send 20 requests of kind "<kind>" a second through all hosts for 1500 ms
    Then the hosts have begun to hold to the limit of endpoint 1 of "<service>"
    When endpoint 1 of "<service>" stops naming a limit
    And callers send 20 requests of kind "<kind>" a second through all hosts for 14000 ms
    Then endpoint 1 of "<service>" got at least 10 requests in the last 2000 ms

    Examples:
      | service | kind   | limit |
      | llm     | stream | 0     |
      | desk    | once   | 0     |
      | llm     | stream | 0.3   |

  Scenario: Callers come back all at once when a limit ends
    Given 3 hosts before a platform with 2 engines
    When endpoint 1 of "llm" names a limit of "2" requests a second
    And callers send 40 requests of kind "stream" a second through all hosts for 3000 ms
    Then the hosts have begun to hold to the limit of endpoint 1 of "llm"
    When endpoint 1 of "llm" stops naming a limit
    And callers send 40 requests of kind "stream" a second through all hosts for 5000 ms
    Then endpoint 1 of "llm" got at most 10 requests in the first 1000 ms after that and at least 10 in the last 1000 ms

  Scenario: A request asks limited engines in place of the one that would take it
    Given a proxy before 7 engines, of which the first 4 are limited and only the last one takes requests
    When requests for 30 adapters ask for reservations
    Then all of them get one at the last engine

  Scenario Outline: Responses that arrive in another order than they were written in
    When a host learns of responses with these limits, each with the times of its request and its receipt: "<responses>"
    Then it takes the limit of the endpoint at <time> ms for <limit>

    Examples:
      | responses                               | time | limit |
      | 4.9 1000-1020                           | 1020 | 4.9   |
      | none 1000-1020                          | 1020 | none  |
      | 4.9 1000-1020; none 1010-1030           | 1030 | 4.9   |
      | 4.9 1000-1020; none 1020-1040           | 6000 | none  |
      | 4.9 1000-1020; 9.8 1010-1030            | 1030 | 4.9   |
      | 4.9 1000-1020; 9.8 1020-1040            | 1040 | 9.8   |
      | 4.9 1000-1020; 1.5 1010-1030            | 1030 | 1.5   |
      | 4.9 1000-1020; none 1020-1040; 4.9 900-1010 | 6000 | none  |
      | 4.9 1000-1020; none 1020-1040; 3 1030-1050 | 1050 | 3     |
      | 0 1000-1020                             | 1020 | 0.1   |
      | 4 1000-1020; none 1020-1040             | 1040 | 4     |
      | 4 1000-1020; none 1020-1040             | 1540 | 8     |
