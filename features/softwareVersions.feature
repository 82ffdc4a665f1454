Feature: Streams at engines of several software versions
  What two software versions write does not fit together, so a stream goes on only at the version that began it, whichever host its
  caller takes it up at.

  Scenario: The lines of hosts tell the versions of engines, and what a request goes on after
    Given 2 hosts before a platform with 1 engine
    When an engine of software version "v2" joins
    And a caller takes up a stream that it lost after 60 ms
    Then the lines name software version "v2" of an engine that joined
    And the line of the last request names the request that it resumes, its last event and a version for each engine tried

  Scenario: A host goes on with a broken stream at an engine of another version
    Given 2 hosts before a platform with 2 engines
    When 2 engines of software version "v2" join
    And half of all streams break off
    And callers run 120 streams within 4000 ms
    Then no stream holds events of two versions
    And at least 20 streams hold events of several runs

  Scenario Outline: A caller takes a stream up at a host that does not know which version began it
    Given 4 hosts before a platform with <engines> engines
    When <joining> engines of software version "<version>" join
    And callers lose 40 streams within 2000 ms, each after 60 ms
    And one engine of each software version leaves
    And they take them up at other hosts
    Then no stream holds events of two versions
    And at least 80% of the streams that were taken up go on

    Examples:
      | engines | joining | version |
      | 3       | 3       | v2      |
      | 3       | 3       | V1      |
      | 3       | 3       |         |

  Scenario: A caller takes a stream up after all hosts were replaced at once
    Given 3 hosts before a platform with 3 engines
    When 3 engines of software version "v2" join
    And callers lose 40 streams within 2000 ms, each after 60 ms
    And one engine of each software version leaves
    And all hosts are replaced
    And they take them up at other hosts
    Then no stream holds events of two versions
    And at least 80% of the streams that were taken up go on

  Scenario: A caller takes a stream up after the engines of its version have left
    Given 3 hosts before a platform with 2 engines
    When 2 engines of software version "v2" join
    And callers lose 10 streams within 500 ms, each after 60 ms
    And the engines of software version "v1" leave
    And all hosts are replaced
    And they take them up at other hosts
    Then no stream holds events of two versions
    And each take-up that does not go on is refused within 400 ms

  Scenario: A stream was begun before the second version showed, and is taken up after all hosts were replaced
    Given 3 hosts before a platform with 2 engines
    When callers lose 20 streams within 1000 ms, each after 60 ms
    And 2 engines of software version "v2" join
    And 600 ms pass
    And all hosts are replaced
    And they take them up at other hosts
    Then no stream holds events of two versions
    And at least 80% of the streams that were taken up go on

  Scenario: All hosts end before the second version shows, and no record tells that their streams are of the first
    Given 3 hosts before a platform with 3 engines
    When callers lose 20 streams within 1000 ms, each after 60 ms
    And all hosts are replaced as 2 engines of software version "v2" join
    And they take them up at other hosts
    Then no stream holds events of two versions
    And at least 80% of the streams that were taken up go on

  Scenario Outline: A version is added before hosts have recorded the streams that began without it
    Given a host that has run for <age> ms, and <recorded> engines of a recorded version
    When <joining> engines of another version show
    Then the host adds that version between <earliest> and <latest> ms later

    Examples:
      | age   | recorded | joining | earliest | latest |
      | 60000 | 3        | 2       | 900      | 1100   |
      | 60000 | 3        | 4       | 0        | 0      |
      | 500   | 3        | 2       | 2100     | 2250   |
      | 500   | 1        | 2       | 0        | 0      |

  # Written again at once, the copy's row told for certain that there was one version, although engines of another had yet to show.
  Scenario: The versions in a copy that the store was restored from are confirmed before lost entries are back
    Given a host that has run for 60000 ms, and 3 engines of a recorded version
    When the store is restored from a copy
    Then the host writes the versions again between 2400 and 2600 ms later

  Scenario: A version that shows after all hosts were replaced is used within seconds
    Given 3 hosts before a platform with 3 engines
    When all hosts are replaced
    And 2 engines of software version "v2" join
    And 6000 ms pass
    And callers run 60 streams within 1000 ms
    Then at least 10 streams began at version "v2"

  Scenario: A version that shows after all hosts were replaced is used at once where few other engines serve
    Given 3 hosts before a platform with 1 engine
    When all hosts are replaced
    And 2 engines of software version "v2" join
    And callers run 60 streams within 3000 ms
    Then at least 10 streams began at version "v2"

  Scenario: Three versions serve, and one of them is taken back
    Given 3 hosts before a platform with 2 engines
    When 2 engines of software version "v2" join
    And 1 engine of software version "v3" joins
    And callers lose 20 streams within 1000 ms, each after 60 ms
    And the engines of software version "v3" leave
    And callers lose 20 streams within 1000 ms, each after 60 ms
    And they take them up at other hosts
    Then no stream holds events of two versions

  Scenario Outline: A take-up whose version cannot be found is joined at any version
    Given 3 hosts before a platform with 2 engines
    When 2 engines of software version "v2" join
    And a caller loses a stream after 60 ms
    And it is taken up by <who>
    Then it is refused within 700 ms and does not run

    Examples:
      | who                                         |
      | a caller that names a request never sent    |
      | a caller that names its own request         |
      | a caller that names none                    |
      | another caller                              |
      | a caller of another path                    |
      | its caller while the store is silent        |

  Scenario: Nothing is needed while a service has one version
    Given 4 hosts before a platform with 3 engines
    When callers lose 20 streams within 1000 ms, each after 60 ms
    And the store is "silent"
    And they take them up at other hosts
    Then at least 95% of the streams that were taken up go on
    And the table of streams is empty

  Scenario: An engine restarts under its id at another version
    Given 2 hosts before a platform with 2 engines
    When callers lose 20 streams within 1000 ms, each after 60 ms
    And engine 1 restarts as software version "v2"
    And 700 ms pass
    And they take them up at other hosts
    Then no stream holds events of two versions

  Scenario: An engine restarts under its id at another version while a stream waits for its reservation there
    Given a request that waits for a reservation
    When the entry of that engine tells another software version
    And the wait ends with a reservation
    Then the request is not sent there

  Scenario: Streams that ended long ago hold up the records of those that run as the second version shows
    Given a host that has relayed 5000 streams to their end, and 20 that still run
    When an engine of another software version joins its service
    Then it saves the records of the 20 that still run, and of no other

  Scenario: A recorder that is flooded falls behind the streams that begin
    Given a recorder whose store takes 5 ms for each call
    When 2000 records come at once, and 30 more within the next 300 ms
    Then all of them are written within 1500 ms, at 100 a call at most

  Scenario: All hosts end before the streams that have just begun are recorded
    Given one of 1 recorders whose store takes 5 ms for each call
    When 100 records come within 1000 ms
    Then each of them is written within 40 ms

  Scenario: The recorders of a large deployment use up the store's calls
    Given one of 9 recorders whose store takes 5 ms for each call
    When 100 records come within 1000 ms
    Then it has called the store at most 14 times
