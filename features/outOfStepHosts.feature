Feature: Hosts that may have missed a software version
  A host that was cut off or stood still knows one software version of a service where there are two by now. A stream that another host
  began is taken up there only if the store, or a host that reaches it, tells that there is one version, or if no other host can know of a second.

  Scenario Outline: A take-up goes on at any version at a host that is out of step
    Given a host that knows software version "v1" of a service, and 4 other hosts
    When the store <store>, and the other hosts know "<versions>"
    And a caller takes up a stream that another host began
    Then it <outcome>

    Examples:
      | store            | versions            | outcome                             |
      | tells "v1"       |                     | goes on at version "v1"             |
      | tells "v1 v2"    |                     | is refused                          |
      | is silent        | v1, v1, v1, v1      | goes on at version "v1"             |
      | is silent        | v1, v1, ?, ?        | is refused with a time to come back |
      | is silent        | v1, v1, v1, ?       | is refused with a time to come back |
      | is silent        | v1, v1, gone, gone  | goes on at version "v1"             |
      | is silent        | v1@store, ?, ?, ?   | goes on at version "v1"             |
      | is silent        | v1 v2@store, ?, ?, ? | is refused                         |
      | is silent        | v1, v1, v1 v2, v1   | is refused                          |
      | is silent        | v2, v2, v2, v2      | is refused                          |
      | is silent        | v1, ?, ?, ?         | is refused with a time to come back |
      | is silent        | ?, ?, ?, ?          | is refused with a time to come back |
      | is unavailable   | v1, v1, v1, ?       | is refused with a time to come back |
      | is unavailable   | v1, v1, v1, gone    | goes on at version "v1"             |
      | is unavailable   | gone, gone, gone, ? | is refused with a time to come back |
      | is unavailable   | ?, ?, ?, ?          | is refused with a time to come back |

  # A version that the copy lacks shows as its endpoints write their entries again, within two seconds or so.
  Scenario Outline: A stream goes on at the one version of a copy that the store was restored from
    Given a host that knows software version "v1" of a service, and 4 other hosts
    And it started <age> ms ago, after the store was restored from a copy
    When the store tells "v1" as of <era>, and the other hosts know "<versions>"
    And a caller takes up a stream that another host began
    Then it <outcome>

    Examples:
      | age  | era           | versions            | outcome                             |
      | 300  | the copy      | ?, ?, ?, ?          | is refused with a time to come back |
      | 300  | the copy      | none                | is refused with a time to come back |
      | 2300 | the copy      | ?, ?, ?, v1         | is refused with a time to come back |
      | 300  | the copy      | v1, v1, ?, ?        | is refused with a time to come back |
      | 300  | the copy      | v1@store, ?, ?, ?   | goes on at version "v1"             |
      | 300  | the copy      | v1 v2, v1 v2, v1, ? | is refused                          |
      | 2700 | the copy      | ?, ?, ?, ?          | goes on at version "v1"             |
      | 300  | its own start | ?, ?, ?, ?          | goes on at version "v1"             |

  Scenario Outline: A host that knows the versions of a copy alone does not tell them to others
    Given a host that knows software version "v1" of a service, and 4 other hosts
    And it started <age> ms ago, after the store was restored from a copy
    When the store tells "v1" as of <era>, and the other hosts know "?, ?, ?, ?"
    Then it tells other hosts <told>

    Examples:
      | age  | era           | told    |
      | 300  | the copy      | nothing |
      | 2700 | the copy      | "v1"    |
      | 300  | its own start | "v1"    |

  Scenario: A host that has started and has yet to read the versions of a service does not tell them to others
    Given a host that knows software version "v1" of a service, and 4 other hosts
    And it started 300 ms ago, after the store was restored from a copy
    Then it tells other hosts nothing

  Scenario: Streams that began at a new version go on at the old one, at a host that was cut off as it joined
    Given 3 hosts before a platform with 2 engines
    When 8 streams run at all hosts
    And host 3 is cut off from the store and the other hosts
    And 2 engines of software version "v2" join
    And 3500 ms pass
    And callers lose 24 streams at hosts 1 and 2, and take them up at host 3
    Then no stream holds events of two versions
    And at least 4 of them began at version "v2"
    And host 3 asked others for the versions, and got too few replies

  # Guards against refusing take-ups for want of a host that is known to have been without the store as well.
  Scenario: Streams of a host that is lost in an outage of the store go on at the others
    Given 3 hosts before a platform with 3 engines
    When 9 streams run at all hosts
    And the store falls silent for 5000 ms
    And callers lose 20 streams at host 3, which then no host reaches, and take them up at hosts 1 and 2
    Then at least 16 of the 20 streams go on

  Scenario: Hosts of two builds understand each other's pings
    Then a host of the earlier build accepts a ping that asks for software versions
    And the reply of a host of the earlier build is accepted, and tells no software versions
