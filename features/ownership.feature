Feature: Ownership of endpoints
  At most one scheduler owns an endpoint at a time, by a lease in the table. An adapter is never unloaded while it runs a request.

  Scenario: Endpoints are distributed evenly over the schedulers
    Given schedulers 1, 2, 3, 4 on a table with 8 engines
    When the schedulers run for 10 seconds
    Then every endpoint has one owner
    And each scheduler owns 2 endpoints

  Scenario: The first scheduler releases endpoints to schedulers that start later
    Given schedulers 1 on a table with 6 engines
    When the schedulers run for 2 seconds
    Then each scheduler owns 6 endpoints
    When schedulers 2, 3 start
    And the schedulers run for 20 seconds
    Then every endpoint has one owner
    And each scheduler owns 2 endpoints

  Scenario: A killed scheduler's endpoints have an owner again within 10 seconds
    Given schedulers 1, 2, 3 on a table with 6 engines
    When the schedulers run for 5 seconds
    And scheduler 1 is killed
    And the schedulers run for 10 seconds
    Then every endpoint has one owner
    And each scheduler owns 3 endpoints

  Scenario: The slowest of many takeovers
    When a scheduler is killed at each of 100 moments with seed 3
    Then every endpoint ran a request again within 10 seconds on the virtual clock

  Scenario: The row of a killed scheduler is removed once no endpoint refers to it
    Given schedulers 1, 2, 3 on a table with 3 engines
    When the schedulers run for 5 seconds
    And scheduler 2 is killed
    And the schedulers run for 30 seconds
    Then the table has rows of schedulers 1, 2, 3
    When the schedulers run for 90 seconds
    Then the table has rows of schedulers 1, 3

  Scenario: A successor uses adopted handles and unloads the others
    Given schedulers 1, 2 on a table with 1 engine
    When the schedulers run for 2 seconds
    And the owner loads 4 adapters on "engine-1"
    And the schedulers run for 4 seconds
    And the owner of "engine-1" is killed
    And the schedulers run for 8 seconds
    Then the owner of "engine-1" may use 3 handles
    And "engine-1" holds 4 handles
    When the schedulers run for 25 seconds
    Then "engine-1" holds 3 handles

  Scenario: A scheduler that crashes and restarts under the same id leaves no slot blocked
    Given schedulers 1, 2, 3 on a table with 1 engine
    When the schedulers run for 2 seconds
    And the owner loads 4 adapters on "engine-1"
    And the schedulers run for 4 seconds
    And the owner of "engine-1" is killed and restarts under the same id
    And the schedulers run for 8 seconds
    Then "engine-1" holds 4 handles
    When the schedulers run for 25 seconds
    Then "engine-1" holds 3 handles
    And the owner of "engine-1" may unload each of these handles

  Scenario: A graceful release leaves all handles usable and interrupts no request
    Given schedulers 1, 2 on a table with 1 engine
    When the schedulers run for 2 seconds
    And the owner loads 4 adapters on "engine-1"
    And the schedulers run for 2 seconds
    And the owner of "engine-1" has a request and stops
    And the schedulers run for 8 seconds
    Then the stopping scheduler still owns "engine-1"
    When its request ends
    And the schedulers run for 3 seconds
    Then the owner of "engine-1" may use 4 handles
    And the owner of "engine-1" may unload each of these handles

  Scenario: A paused owner stops serving before it can send an order
    Given schedulers 1, 2 on a table with 1 engine
    When the schedulers run for 2 seconds
    And the owner of "engine-1" is paused for 30 seconds
    Then the paused scheduler does not own "engine-1"
    And every endpoint has one owner

  Scenario: Without the serving limit a paused owner can send orders after it was replaced
    Given schedulers without the serving limit, 1, 2 on a table with 1 engine
    When the schedulers run for 2 seconds
    And the owner of "engine-1" is paused for 30 seconds
    Then the paused scheduler owns "engine-1"

  Scenario: A paused owner's order to unload reaches an engine that ignores fencing tokens
    Given schedulers 1, 2 on a table with 1 engine that ignores fencing tokens
    When the schedulers run for 2 seconds
    And the owner loads 1 adapters on "engine-1"
    And the schedulers run for 4 seconds
    And the owner of "engine-1" is paused for 20 seconds between an unload intent and its order
    And the new owner of "engine-1" runs a request on the same adapter
    And the paused scheduler resumes
    Then the adapter was never unloaded while it was in use

  Scenario: A paused owner that wakes within its lease unloads the adapters of its successor
    Given schedulers 1, 2 on a table with 1 engine that ignores fencing tokens
    When the schedulers run for 2 seconds
    And the owner of "engine-1" is paused for 8 seconds
    And the owner loads 2 adapters on "engine-1"
    And the paused scheduler resumes
    Then "engine-1" holds 2 handles
    And every endpoint has one owner

  Scenario Outline: Without <mechanism>, that order unloads the adapter of a running request
    Given schedulers 1, 2 on a table with 1 engine that ignores fencing tokens, without <mechanism>
    When the schedulers run for 2 seconds
    And the owner loads 1 adapters on "engine-1"
    And the schedulers run for 4 seconds
    And the owner of "engine-1" is paused for 20 seconds between an unload intent and its order
    And the new owner of "engine-1" runs a request on the same adapter
    And the paused scheduler resumes
    Then the adapter was once unloaded while it was in use

    Examples:
      | mechanism          |
      | single-use handles |
      | the unload intent  |

  Scenario: An outage of an hour
    Given schedulers 1, 2, 3 on a table with 3 engines
    When the schedulers run for 5 seconds
    And the owner loads 4 adapters on "engine-1"
    And the schedulers run for 5 seconds
    And the table is down for 3600 seconds
    Then every endpoint has one owner
    And the owner of "engine-1" can swap an adapter
    When the table is back
    And the schedulers run for 10 seconds
    Then every endpoint has one owner
    And no endpoint has changed its owner

  Scenario: An owner that alone is isolated from the table and its peers stops serving
    Given schedulers 1, 2, 3 on a table with 3 engines
    When the schedulers run for 5 seconds
    And the owner of "engine-1" is isolated from the table and its peers
    And the schedulers run for 12 seconds
    Then the isolated scheduler does not own "engine-1"
    And every endpoint has one owner

  Scenario: Lost responses of the table change no owner
    Given schedulers 1, 2 on a table with 2 engines
    When the schedulers run for 5 seconds
    And the next 3 table responses to each scheduler are lost
    And the schedulers run for 20 seconds
    Then every endpoint has one owner
    And no endpoint has changed its owner

  Scenario: A takeover whose write takes effect late
    Given schedulers 1, 2 on a table with 2 engines
    When the schedulers run for 5 seconds
    And scheduler 1 is killed
    And the next 8 writes of scheduler 2 take effect 700 milliseconds late
    And the schedulers run for 20 seconds
    Then every endpoint has one owner

  Scenario: Reads and writes of nine schedulers stay far below the table's limit
    Given schedulers 1, 2, 3, 4, 5, 6, 7, 8, 9 on a table with 12 engines
    When the schedulers run for 20 seconds
    Then the table serves no more than 40 reads and 40 writes per second

  Scenario: Random histories of commands and faults violate no invariant
    When 60 random histories of 40 steps run with seed 7
    Then no history violates an invariant

  Scenario Outline: Random histories detect that a mechanism is disabled
    When 300 random histories of 40 steps run with seed 7 without <mechanism>
    Then some history violates an invariant

    Examples:
      | mechanism              |
      | the wait for the former owner |
      | the unload intent      |

  Scenario: The whole system serves cold adapters through an outage of the table
    Given the whole system on a virtual clock
    When the table is down for 5 minutes and callers ask for every adapter each minute
    Then each of these callers got a whole answer

  Scenario: Without the outage reports of peers the system stops serving cold adapters
    Given the whole system on a virtual clock without outage reports
    When the table is down for 5 minutes and callers ask for every adapter each minute
    Then some of these callers got no answer

  Scenario: The whole system works through an outage of the table of one hour
    Given the whole system on a virtual clock
    And work under a key has been done, and a job has just been accepted
    When the table is down for 60 minutes and callers ask for two adapters every 3 minutes
    Then each of these callers got a whole answer
    And calls of the plain service were answered meanwhile
    And meanwhile the same key was told "mayHaveRun", a new job "notRun", and no change was accepted
    When the table answers the whole system again
    Then the same key gets the one answer, the job has ended, a new one ends, and a change is in force
    And the oracle finds no promise broken
