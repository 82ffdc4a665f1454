Feature: Which prompt parts are refused
  Each crash leaves a set of candidates: the parts of requests that had been sent to the engine and had not begun their answers.

  Scenario Outline: The smallest set of parts that explains the crashes is refused
    Given a registry of suspect parts
    When <events>
    Then the refused parts are <refused>

    Examples:
      | events                                                                                                                   | refused |
      | c1 beneath "a" of r1                                                                                                     | none    |
      | c1 beneath "a" of r1, c2 beneath "a" of r2                                                                               | a       |
      | c1 beneath "a" of r1, c2 beneath "a" of r1, c3 beneath "a" of r1                                                         | none    |
      | c1 beneath "a" of r1, c1 beneath "a" of r2                                                                               | none    |
      | c1 beneath "a" of r1, "a" is answered 1 times, c2 beneath "a" of r2                                                      | none    |
      | c1 beneath "a" of r1, c2 beneath "a" of r2, "a" is answered 1 times                                                      | none    |
      | c1 beneath "a b" of r1, c2 beneath "a b" of r2                                                                           | a+b     |
      | c1 beneath "a" of r1, c1 beneath "z" of r5, c2 beneath "a" of r2, c2 beneath "z" of r6, c2 beneath "a" of r3             | a       |
      | c1 beneath "a b" of r1, c2 beneath "a b" of r2, "b" is answered 1 times                                                  | a       |
      | "b" is answered 9 times, c1 beneath "a b" of r1, c2 beneath "a b" of r2, c3 beneath "a b" of r3, c4 beneath "a b" of r4  | a       |
      | c1 beneath "a z" of r1, c2 beneath "a z" of r2, c3 beneath "a" of r3                                                     | a       |
      | c1 beneath "a z" of r1, c2 beneath "z" of r2, c3 beneath "a" of r3, c4 beneath "a" of r4                                 | a       |
      | c1 beneath "a" of r1, c2 beneath "b" of r2, c3 beneath "a" of r3, c4 beneath "b" of r4                                   | a, b    |
      | c1 beneath "a" of r1, c2 beneath "a b" of r2, c3 beneath "b" of r3, c4 beneath "b" of r4                                 | b       |
      | c1 beneath "a" of r1, c2 beneath "a b" of r2, c3 beneath "b" of r3, c4 beneath "b" of r4, c5 beneath "a" of r5           | b, a    |
      | "b" is answered 20 times, 12 crashes at once beneath "b"                                                                 | none    |
      | "b" is answered 1 times, 4 crashes one after the other beneath "b"                                                       | b       |
      | "b" is answered 100 times, 7 crashes one after the other beneath "b"                                                     | none    |
      | "b" is answered 100 times, 8 crashes one after the other beneath "b"                                                     | b       |
      | c1 beneath "a" of r1, c2 beneath "a" of r2, 3600001 ms pass, c3 beneath "x" of r3                                        | none    |
      | c1 beneath "a" of r1, c2 beneath "a" of r2, one crash beneath 9000 parts                                                 | a       |
      | "b" is answered 9 times, 9000 parts are answered, c1 beneath "a b" of r1, c2 beneath "a b" of r2                         | a       |

  Scenario Outline: All hosts refuse a part within five crashes
    Given <hosts> hosts that find suspect parts, of whose messages <lost>% are lost, and the store is <store>
    When requests with the part "bad" crash engines up to 5 times, 150 ms apart, each beneath sound requests of 4 hosts
    Then 3000 ms after the last crash every host refuses requests with "bad"
    And no host refuses requests with sound parts alone
    And no host has sent more than 16 messages for each crash to each other host

    Examples:
      | hosts | lost | store     |
      | 7     | 0    | reachable |
      | 7     | 30   | reachable |
      | 7     | 100  | reachable |
      | 7     | 30   | absent    |
      | 80    | 3    | reachable |
      | 80    | 3    | absent    |
      | 340   | 0    | reachable |
      | 340   | 3    | reachable |

  Scenario: A sound part beneath crashes with another cause comes free again
    Given 7 hosts that find suspect parts, of whose messages 0% are lost, and the store is reachable
    When requests with the part "good" are beneath 2 crashes that they did not cause
    Then every host refuses requests with "good" for the time being
    And one host lets one request with "good" run within 10000 to 24000 ms
    When its answer begins
    Then no host refuses requests with "good"

  Scenario: A part that crashes engines is tried ever less often
    Given 7 hosts that find suspect parts, of whose messages 0% are lost, and the store is reachable
    When requests with the part "bad" crash engines up to 5 times, 150 ms apart, each beneath sound requests of 2 hosts
    And each trial crashes its engine, for 600000 ms
    Then "bad" was tried at most 5 times, and at most once in the first 30000 ms

  Scenario: Other hosts know that a part is sound which this host takes for a possible cause
    Given 7 hosts that find suspect parts, of whose messages 0% are lost, and the store is absent
    When requests with the parts "s7" and "bad" crash engines 2 times, 1 ms apart
    Then 300 ms after the last crash every host refuses requests with "bad"
    And no host refuses requests with sound parts alone

  Scenario: A host that starts reads which parts are refused
    Given 7 hosts that find suspect parts, of whose messages 0% are lost, and the store is reachable
    When requests with the part "bad" crash engines up to 5 times, 150 ms apart, each beneath sound requests of 2 hosts
    And a host starts
    Then 3000 ms after the last crash every host refuses requests with "bad"

  Scenario Outline: Parts together with adapter versions
    Given a registry of suspect parts
    When <events>
    Then the refused parts are <refused>

    Examples:
      | events                                                                                                                | refused |
      | c1 beneath "a a~x@1" of r1, c2 beneath "a a~x@1" of r2, c3 beneath "a a~x@1" of r3                                    | a       |
      | c1 beneath "a a~x@1" of r1, c2 beneath "a a~x@1" of r2, "a" is answered 1 times                                       | none    |
      | c1 beneath "a a~x@1" of r1, c2 beneath "a a~x@1" of r2, "a" is answered 1 times, c3 beneath "a a~x@1" of r3           | a~x@1   |
