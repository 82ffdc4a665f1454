Feature: Polling by idle processes
  Idle hosts send few requests, and still notice changes in time.

  Scenario: A quiet engine is polled once a second, a busy one four times a second
    Given the watch of an engine
    When the watch goes on for 10 seconds
    Then the engine was asked 10 to 11 times
    When the endpoint has work
    And the watch goes on for 10 seconds
    Then the engine was asked 38 to 41 times

  Scenario: A quiet engine that gives no report is polled at the full rate and reported as silent within 2 seconds
    Given the watch of an engine
    When the watch goes on for 10 seconds
    And the engine gives no reports
    And the watch goes on for 2 seconds
    Then the watch has sent "ready, silent"

  Scenario: A quiet engine that has restarted is noticed within a second
    Given the watch of an engine
    When the watch goes on for 10 seconds
    And the watched engine restarts
    And the watch goes on for 1 second
    Then the watch has sent "ready, restarted"

  Scenario: Parts of a process share reads of the list of hosts
    Given a list of hosts that counts its reads
    When 3 parts read it each second for 10 seconds
    Then it was read 10 times

  Scenario: The list of hosts is transferred only if it has changed
    Given a platform server with host "gateway-1" on its list
    When the list is read 3 times over HTTP
    Then the answers had status "200, 304, 304" and showed "gateway-1"
    When host "gateway-2" joins
    And the list is read 2 times over HTTP
    Then the answers had status "200, 304" and showed "gateway-1, gateway-2"
