Feature: The soak of hosts before the stand-in platform
  Hosts run as processes; faults strike them, their links and the platform from outside, as a seed says. What callers were told
  is held against what endpoints saw.

  Scenario: A seed always gives the same events
    When events are planned from seed 7 and from seed 7 again
    Then both plans are the same and name faults of hosts, links, endpoints and the store

  Scenario: Seeds keep their events when later ones have further kinds
    Then the plans of seeds 7, 1001, 20001, 30001 and 39999 are those that they have always been
    And the plan of seed 40001 also names "portTaken" and "hostStopSeries"
    And the plan of seed 100001 also names "slowReaders" and "hostStopSeries"

  @alone
  Scenario: Four hosts keep their promises while faults strike
    When seed 6 is soaked for 6 seconds
    Then the soak finds no broken promise
    And callers got at least 150 whole answers

  @alone
  Scenario: Four hosts keep the promises of client accounts while faults strike
    When seed 90003 is soaked for 6 seconds
    Then the soak finds no broken promise
    And callers got at least 150 whole answers

  @alone @knownRed
  Scenario: Four hosts keep the promises of slow callers while faults strike
    When seed 100087 is soaked for 6 seconds
    Then the soak finds no broken promise
    And callers got at least 150 whole answers

  @alone
  Scenario: A host that does not stop gracefully is noticed
    When seed 1 is soaked for 8 seconds without "gracefulStop"
    Then the soak finds "stopCutsNothing"

  Scenario: An undisturbed record breaks no promise
    Given the record of a soak in which nothing went wrong
    Then the soak finds no broken promise

  Scenario Outline: A record in which <fault> breaks a promise
    Given the record of a soak in which <fault>
    Then the soak finds "<promise>"

    Examples:
      | fault                                                                        | promise              |
      | an engine was told to load beyond its slots                                  | slotsKept            |
      | an engine got an order from a former holder                                  | oneHolder            |
      | half an answer looks whole                                                   | wholeAnswer          |
      | a stream skips an event                                                      | eventsInOrder        |
      | a request that may run once ran twice                                        | atMostOnce           |
      | a refused request ran                                                        | notRunMeansNotRun    |
      | an endpoint ran what nobody sent                                             | asked                |
      | a caller waited beyond the time of the route                                 | answeredInTime       |
      | a stop cut a request off                                                     | stopCutsNothing      |
      | a stop cut off a request behind another one                                  | stopCutsNothing      |
      | a reload cut off a request that had been read                                | stopCutsNothing      |
      | a cut request had another one behind it that ran                             | stopCutsNothing      |
      | a request behind another one waited too long in its turn                     | answeredInTime       |
      | a stop took too long                                                         | stopCutsNothing      |
      | an endpoint that left got work                                               | drained              |
      | a host did not take a configuration over                                     | configurationInForce |
      | a host forgot a configuration                                                | configurationHolds   |
      | an old version of an adapter ran                                             | versionInUse         |
      | hosts repeated without a bound                                               | repeatsBounded       |
      | a request went on crashing engines                                           | crashesBounded       |
      | a host did not serve after the faults                                        | servesAgain          |
      | a host ended by itself                                                       | keepsRunning         |
      | an endpoint was told another account                                         | accountsKept         |
      | an endpoint got a key                                                        | accountsKept         |
      | a request with an unknown key ran                                            | accountsKept         |
      | a known key was refused                                                      | accountsKept         |
      | a public route got an account                                                | accountsKept         |
      | a host took too much memory                                                  | boundedResources     |
      | a caller that had ended its side got no answer to a request that ran         | halfClosedAnswered   |
      | a reload cut off a caller that had ended its side                            | halfClosedAnswered   |
      | a stop cut off a request behind a stream that had been announced as the last | behindStreamAnswered |
      | a stop cut a request of a service off while the store was away               | stopCutsNothing      |
      | a stop cut a request off while another host was killed                       | stopCutsNothing      |
      | a request was cut off while another endpoint was dark                        | stopCutsNothing      |
      | a request was cut off while another endpoint was dark                        | halfClosedAnswered   |
      | a crashing request ended another engine                                      | stopCutsNothing      |
      | a host closed four kept connections with requests at sound endpoints         | keptAnswered         |
      | a request with a body over the limit ran                                     | notRunMeansNotRun    |
      | a host held bytes of bodies in the end                                       | holdsNothing         |
      | a host did not tell what it held                                             | holdsNothing         |
      | a host that was to be killed had ended with code 1                           | keepsRunning         |
      | a host that stopped ended with code 1                                        | keepsRunning         |
      | a slow caller got other bytes                                                | wholeAnswer          |
      | a long answer that its endpoint cut looks whole                              | wholeAnswer          |
      | an unframed answer that its endpoint reset looks whole                       | wholeAnswer          |
      | a slow caller got a part of a sound answer                                   | slowAnswered         |
      | a stop cut a slow caller off                                                 | slowAnswered         |

  Scenario Outline: What a fault excuses is no finding: <excused>
    Given the record of a soak in which <excused>
    Then the soak finds no broken promise

    Examples:
      | excused                                                                             |
      | a caller waited for a host that stood still                                         |
      | a request behind another one waited for it                                          |
      | the time of a stream was up, with a request behind it                               |
      | an endpoint broke off a stream with a request behind it                             |
      | a stop cut a stream off while the store was away                                    |
      | a stop cut a request off on a host that was paused                                  |
      | a request was cut at an endpoint that was dark                                      |
      | a stream broke off at an endpoint that was dark, with a request behind it           |
      | a crashing request ended the engine of a cut request                                |
      | a host closed three kept connections with requests at sound endpoints               |
      | a host closed four kept connections while the store was away                        |
      | a host closed four kept connections with requests at an endpoint whose link was cut |
      | a request crossed the end of its connection                                         |
      | a host cut off from the store knew no new configuration                             |
      | an endpoint that left got work while the store was away                             |
      | a caller that had ended its side got no answer, and its request had not run         |
      | an endpoint ended an unframed answer in order                                       |
      | a long answer broke off with its endpoint                                           |
      | a slow caller got a long answer whole                                               |

  Scenario Outline: A link through the proxy that is <fault>
    Given a link through the proxy to a server that answers
    When the link is <fault> and a message is sent
    Then <arrival>

    Examples:
      | fault   | arrival                                                                      |
      | none    | the answer comes at once                                                     |
      | delayed | the answer comes after 500 ms                                                |
      | silent  | no answer comes within 400 ms and the server has seen nothing until it heals |
      | cutUp   | no answer comes within 400 ms and the server has seen nothing until it heals |
      | cutDown | no answer comes within 400 ms and the server has seen the message            |
      | reset   | the connection is reset                                                      |

  # Guards against links that count as refused while another process answers at their ports.
  Scenario: No other process gets the port of a link that refuses connections
    Given a link through the proxy to a server that answers
    When the link refuses new connections, and another process listens on its port if the system lets it
    Then a new connection to the link is refused
    When the link takes new connections again
    Then a new connection to the link is taken
