Feature: Prompt parts that crash engines
  One part of a prompt may crash every engine that begins to write an answer on it, in requests of which no two are alike. Few of
  them reach engines, and sound requests that share their caller and other parts are served as before.

  Scenario Outline: Requests with a part that crashes engines go on reaching them
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt part "bad1" crashes engines
    When <kind> requests with the part come <rate> times a second for 9000 ms, and until 8000 ms after the fifth crash, beside 40 sound ones a second
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash
    And sound requests sent later than 6000 ms after the fifth crash begin at least half as often as those before the first crash
    And no harmless request is refused permanently

    Examples:
      | kind        | rate |
      | "resumable" | 5    |
      | "stream"    | 5    |
      | "resumable" | 30   |

  Scenario: Two parts that crash engines come at once
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt parts "bad1,bad2" crash engines
    When "resumable" requests with the parts come 8 times a second for 9000 ms, and until 8000 ms after the fifth crash, beside 40 sound ones a second
    Then at most 6 requests with the parts reached engines later than 3000 ms after the fifth crash
    And sound requests sent later than 6000 ms after the fifth crash begin at least half as often as those before the first crash
    And no harmless request is refused permanently

  Scenario: Hosts learn which parts crash engines although messages between them are lost
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And messages between hosts about crashes are lost
    And the prompt part "bad1" crashes engines
    When "resumable" requests with the part come 5 times a second for 9000 ms beside 40 sound ones a second
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash
    And no harmless request is refused permanently

  Scenario: Hosts learn which parts crash engines while the store is unavailable
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the store is "silent"
    And the prompt part "bad1" crashes engines
    When "resumable" requests with the part come 5 times a second for 9000 ms beside 40 sound ones a second
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash
    And no harmless request is refused permanently

  Scenario: Restarted hosts know which parts crash engines
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt part "bad1" crashes engines
    When "resumable" requests with the part come 5 times a second for 9000 ms beside 40 sound ones a second, and all hosts restart after 5000 ms
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash

  Scenario: A part that crashes engines is written differently each time
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt part "bad1" crashes engines
    When "resumable" requests with the part, as "bad1:50,0BAD1:51,00Bad1:52", come 5 times a second for 9000 ms beside 40 sound ones a second
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash
    And no harmless request is refused permanently

  Scenario: A part that was answered before crashes engines from then on
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt part "b3" crashes engines after 2000 ms
    When "resumable" requests with the part come 5 times a second for 12000 ms beside 40 sound ones a second
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash

  Scenario: A part crashes engines on one adapter only
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt part "bad1" crashes engines on adapter "a1"
    When "resumable" requests with the part come 12 times a second for 14000 ms beside 40 sound ones a second
    Then at most 3 requests with the part reached engines on that adapter later than 3000 ms after the fifth crash
    And half of those with the part on other adapters are served in the last 3000 ms
    And no harmless request is refused permanently

  Scenario: A request that may have crashed its engine is not repeated on the next one
    Given 3 hosts before a platform with 3 engines
    And crashed endpoints restart after 300 ms
    And the prompt part "bad1" crashes engines
    When a "resumable" request with the prompt parts "aa01:60,bad1:50,c1:30" is sent
    Then 1 engine has crashed, and the caller got 502

  Scenario Outline: Shared parts of a prompt
    Given a request with the prompt parts "<header>"
    Then its shared parts are "<parts>"

    Examples:
      | header                     | parts    |
      | 5c1e07a2:800,91bd:410,e4:2 | 5c1e07a2 91bd |
      | 005C1E:800,0:1,e4:2        | 5c1e 0   |
      | ab:1,AB:2,ab:3             | ab       |
      | ab:1                       |          |
      |                            |          |
      | ab:1,xyz:2,cd:3            |          |
      | ab:1,cd,ef:3               |          |
      | ab:1,,ef:3                 |          |

  Scenario: Hosts drop messages with a token count that is not finite, and those beside it
    Given a request whose prompt parts have counts of 1 and 310 digits
    Then its shared parts are ""
