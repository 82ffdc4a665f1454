Feature: Hosts of the users' platform under failure
  Hosts come, go and lose the store; engines keep one owner each, and callers are served.

  Scenario: A graceful stop cuts nothing and hands the engines over
    Given 3 hosts before a platform with 3 engines
    When host 1 stops while streams are sent through it
    Then every answer is whole or refused with a time to come back
    And every engine is owned by a host that runs within 2000 ms
    And no endpoint saw what no host may do

  Scenario: An engine whose owner stops goes on loading adapters while long streams run
    Given 3 hosts before a platform with 1 engine of 3 adapter slots
    When streams of 3 s run for 2 adapters through hosts that do not own the engine
    And the owner of the engine stops
    And 500 ms pass
    And 6 streams for 6 adapters are sent within 1200 ms
    Then at least 5 of the last 6 streams are whole
    And no endpoint saw what no host may do

  Scenario: Requests that come before the first cluster updates of a host wait briefly for them
    Given a platform with 2 engines whose store is busy
    When a host starts, 8 requests come at once and the store is there again after 150 ms
    Then every answer is whole and signed

  Scenario: Engines crash again and again while adapters are loaded
    Given 2 hosts before a platform with 2 engines of 4 adapter slots
    When all engines crash 16 times, 230 ms apart, while streams on 10 adapters come
    Then no endpoint saw what no host may do
    And no answer joins or repeats events

  Scenario: A request that crashes engines is refused on every host
    Given 3 hosts before a platform with 3 engines
    When a request that crashes engines comes 8 times, each time at the next host
    Then it reached engines at most 6 times
    And the last 2 answers are refusals for good
    And 6 streams for 3 adapters are sent within 600 ms
    And at least 5 of the last 6 streams are whole

  Scenario: A host that has just started sends nothing to a service whose entry is removed
    Given 2 hosts before a platform with 1 engine
    When host 1 starts again, a service's entry is removed while it serves on, and 40 requests come to host 1 within 1500 ms
    Then the service ran none of the requests that came 500 ms after the removal

  Scenario: A connection on which a stream ends late in a stop takes no further request
    Given a host with 8000 ms to stop before a platform with 1 engine
    When the host stops while a stream of 3100 ms runs, and another request follows it on its connection at once
    Then only the stream has run, and it is whole

  Scenario: A new engine without its model serves a second after its load
    Given 2 hosts before a platform with 1 engine
    When an engine comes that takes 500 ms to load its model
    And 1500 ms pass
    And 20 streams for 20 adapters are sent within 1000 ms
    Then engine 2 ran some of the last 20

  Scenario: The store is away for a while
    Given 3 hosts before a platform with 2 engines of 3 adapter slots
    When the store is silent for 4000 ms while 40 streams for 8 adapters are sent
    Then at least 30 streams are whole
    And no endpoint saw what no host may do

  Scenario: Engines without an owner serve what they hold
    Given 2 hosts before a platform with 2 engines
    When 10 streams for 3 adapters are sent within 300 ms
    And 500 ms pass
    And all hosts start again while the store takes no writes
    And 12 streams for 3 adapters are sent within 300 ms
    Then at least 10 of the last 12 streams are whole
    And no endpoint saw what no host may do

  Scenario Outline: The store is <fault> while hosts start
    Given a platform with 2 engines whose store is <fault>
    When 2 hosts start and the store is there again after 1500 ms
    Then every engine is owned by a host that runs within 4000 ms

    Examples:
      | fault |
      | busy  |
      | reset |
      | silent |

  Scenario: Answers of the store are lost
    Given 3 hosts before a platform with 3 engines
    When the answers of the store's writes are lost for 3000 ms
    And 20 streams for 5 adapters are sent within 1000 ms
    Then at least 18 streams are whole
    And no endpoint saw what no host may do

  Scenario: The store forgets its history
    Given 2 hosts before a platform with 2 engines
    When the store forgets its history and a route is added
    Then the route is known to every host within 2000 ms

  Scenario: A configuration is in force on every host soon
    Given 3 hosts before a platform with 1 engine
    When a route is added
    Then the route is known to every host within 1500 ms

  Scenario Outline: <odd> among the endpoints' entries hides no leaving endpoint
    Given 2 hosts before a platform with 2 engines
    When another writer leaves <odd> among the entries and the first engine drains at once
    And 1000 ms pass
    And 12 streams for 3 adapters are sent within 600 ms
    Then every answer is whole or refused with a time to come back
    And at least 10 of the last 12 streams are whole
    And the first engine ran none of the requests that came 1000 ms after it began to drain

    Examples:
      | odd                     |
      | a deeply nested version |
      | a port of 70000         |
      | a sequence of 1e300     |

  Scenario Outline: A refusal that an endpoint repeats <how> is not taken for that of the next request
    Given 1 hosts before a platform with 1 engine
    When services refuse the first request on each connection and repeat that <how> before each later answer
    And 40 "<kind>" requests come to host 1, 4 at a time
    Then no request that was refused has run, and no "once" request has run twice

    Examples:
      | how           | kind       |
      | as it was     | once       |
      | without an id | once       |
      | as it was     | idempotent |

  Scenario Outline: A stream that broke off doesn't get the error of the next engine (<error>)
    Given 2 hosts before a platform with 2 engines
    When the streams of the first engine break off, and the second answers with <error>
    And 16 streams for 2 adapters are sent within 800 ms
    Then no stream holds anything but its own events, and none that lacks some looks complete

    Examples:
      | error                          |
      | status 500                     |
      | neither a length nor an event  |
      | a refusal                      |
