Feature: Allocation of an engine's slots
  An engine's owner decides which requests are granted a reservation, wait for an adapter, are declined or are refused.

  Background:
    Given the allocator of an engine with 3 adapter slots, batches of 8 and loads of 250 ms

  Scenario: A request for a loaded adapter is granted immediately
    Given the engine has loaded "a1"
    When request 1 needs "a1"
    Then request 1 is granted

  Scenario: Requests for an adapter that is loading wait for a single load
    When requests 1 to 5 need "a1"
    Then 1 load is ordered
    When the load of "a1" is done after 250 ms
    Then requests 1 to 5 are granted

  Scenario: Concurrent loads are limited
    Given the allocator of an engine with 18 adapter slots, batches of 64 and loads of 250 ms
    When requests 1 to 9 each need a different adapter
    Then 4 loads are ordered

  Scenario: An adapter in use is never evicted
    Given the engine has loaded "a1, a2, a3"
    And requests 1 to 3 run on "a1, a2, a3"
    When request 4 needs "a4"
    Then no unload is ordered
    When request 2 ends
    Then the unload of "a2" is ordered

  # Guards against a slot that counts as in use for the time of a whole run although its unload is almost done.
  Scenario: A slot that is being freed for a request that has left is available to the next one
    Given the engine has loaded "a1, a2, a3"
    And requests 1 to 2 run on "a1, a2"
    When 100 ms pass without planning
    And request 3 needs "a4"
    Then the unload of "a3" is ordered
    When request 3 ends
    And request 4 needs "a5" and became late 100 ms ago
    Then request 4 is neither granted nor refused
    When the unload of "a3" is done
    Then the load of version 1 of "a5" is ordered

  # Guards against a slot that is promised to more requests than it can serve.
  Scenario: A slot that is being freed for a request that waits is not available to the next one
    Given the engine has loaded "a1, a2, a3"
    And requests 1 to 2 run on "a1, a2"
    When 100 ms pass without planning
    And request 3 needs "a4"
    Then the unload of "a3" is ordered
    When request 4 needs "a5" and became late 100 ms ago
    Then request 4 is refused

  # Guards against a late request of an account over its share that is refused although the engine would start it at once.
  Scenario Outline: A late request of an account over its share is <outcome> at a backlog of <backlog> ms
    Given the engine has loaded "a1, a2, a3"
    When requests 1 to 3 of account "large" run on "a1, a2, a3"
    And request 4 of account "small" needs "a4"
    And 100 ms pass without planning
    Given the engine has a prefill backlog of <backlog> ms
    When request 5 of account "large" needs "a1" and became late 100 ms ago
    Then request 5 is <outcome>

    Examples:
      | backlog | outcome |
      | 3       | granted |
      | 100     | refused |

  Scenario: The adapter with the fewest requests is evicted
    Given the engine has loaded "a1, a2, a3"
    And "a1" was requested 5 times
    And "a2" was requested 1 times
    And "a3" was requested 3 times
    When 100 ms pass without planning
    And request 50 needs "a4"
    Then the unload of "a2" is ordered

  Scenario: After a takeover the adapter that was loaded last is evicted, as usage is not known
    Given the engine reported "a1, a2, a3" to a new owner
    When 100 ms pass without planning
    And request 50 needs "a4"
    Then the unload of "a3" is ordered

  Scenario: A load that was not seen to complete keeps its slot
    When requests 1 to 3 each need a different adapter
    Then 3 loads are ordered
    When request 4 needs "a9"
    And the allocator plans for 500 ms
    Then 3 loads are ordered

  Scenario: No loads are planned while no orders may be sent to the engine
    When request 1 needs "a1" while no orders may be sent
    Then no load is ordered

  Scenario: A refused load is ordered again only after a delay
    When request 1 needs "a1"
    And the load of "a1" is refused
    Then 1 load is ordered
    When the allocator plans for 200 ms
    Then 2 loads are ordered

  Scenario: A new version replaces the old one once no request runs on it
    Given the engine has loaded "a1"
    And requests 1 to 1 run on "a1"
    When request 2 needs version 2 of "a1"
    Then no unload is ordered
    When request 1 ends
    Then the unload of "a1" is ordered
    When the unload of "a1" is done
    Then the load of version 2 of "a1" is ordered

  Scenario: A restarted engine has no adapters
    Given the engine has loaded "a1, a2, a3"
    When the engine has restarted
    And request 1 needs "a1"
    Then 1 load is ordered

  Scenario: Adapters that untracked requests may use are protected for a while after a takeover
    Given the engine has loaded "a1, a2, a3"
    And the engine runs untracked requests for 500 ms
    When request 1 needs "a4"
    Then no unload is ordered
    When the allocator plans for 600 ms
    Then the unload of "a1" is ordered

  Scenario: A request that would start far too late is refused immediately with a retry delay
    Given the engine has a prefill backlog of 3000 ms
    And the engine has loaded "a1"
    When request 1 needs "a1" with a target of 600 ms
    Then request 1 is refused
    And the retry delay of request 1 is at least 1000 ms

  Scenario: Refused callers get staggered retry delays
    Given the engine has a prefill backlog of 3000 ms
    And the engine has loaded "a1"
    When requests 1 to 5 need "a1"
    Then requests 1 to 5 are refused
    And the retry delays of requests 1 to 5 increase by at least 15 ms each

  Scenario: The prefill backlog is worked off
    Given the engine has a prefill backlog of 800 ms
    And the engine has loaded "a1"
    When the allocator plans for 1000 ms
    And request 1 needs "a1" with a target of 600 ms
    Then request 1 is granted

  Scenario: One waiting adapter evicts only one other, however often the allocator plans
    Given the engine has loaded "a1, a2, a3"
    When request 1 needs "a4"
    And the allocator plans for 100 ms
    Then the unload of "a1" is ordered

  Scenario: Late requests are deferred in favor of those that can be on time
    Given the engine has a prefill backlog of 300 ms
    And the engine has loaded "a1"
    When request 1 needs "a1" and became late 100 ms ago
    And request 2 needs "a1"
    Then request 2 is granted
    And request 1 is neither granted nor refused
    When the allocator plans for 400 ms
    Then request 1 is granted

  Scenario: A late request is not deferred forever
    Given the engine has loaded "a1"
    When request 1 needs "a1" and became late 100 ms ago, with a constant prefill backlog of 200 ms
    And the allocator plans for 1000 ms
    Then request 1 is granted

  Scenario: A request without a slot is refused its target time after it became late
    Given the engine has loaded "a1, a2, a3"
    And requests 1 to 3 run on "a1, a2, a3"
    When request 4 needs "a4"
    And the allocator plans for 1100 ms
    Then request 4 is neither granted nor refused
    When the allocator plans for 200 ms
    Then request 4 is refused

  Scenario: A request without a slot is refused once a load would complete too late for its caller
    Given the engine has loaded "a1, a2, a3"
    And requests 1 to 3 run on "a1, a2, a3"
    When request 4 needs "a4" and its caller leaves after 700 ms
    And the allocator plans for 400 ms
    Then request 4 is neither granted nor refused
    When the allocator plans for 60 ms
    Then request 4 is refused

  Scenario: A request with a slot waits as long as its caller does
    When request 1 needs "a1"
    And the allocator plans for 2500 ms
    Then request 1 is neither granted nor refused
    When the load of "a1" is done after 100 ms
    Then request 1 is granted

  Scenario: An adapter that another engine serves is not also loaded on its preferred engine
    When request 1 needs "a1", which another engine serves, and may be declined
    Then request 1 is declined
    And no load is ordered

  Scenario: An adapter that another engine serves is used on its preferred engine if loaded there
    Given the engine has loaded "a1"
    When request 1 needs "a1", which another engine serves, and may be declined
    Then request 1 is granted

  Scenario: A request that no other engine accepts is served by the preferred engine
    When request 1 needs "a1", which another engine serves
    Then 1 load is ordered

  Scenario: Requests that have been running since before a takeover protect their adapters
    When request 1 has been running on "a1" since before the takeover
    And the engine has loaded "a1, a2, a3"
    And request 2 needs "a4"
    Then the unload of "a2" is ordered
    When request 1 ends
    And request 3 needs "a5"
    Then the unloads of "a2, a1" are ordered

  Scenario: Protected adapters may be evicted once no untracked requests run
    Given the engine has loaded "a1, a2, a3"
    And the engine runs untracked requests for 500 ms
    When request 1 needs "a4"
    Then no unload is ordered
    When the allocator plans for 100 ms
    And the engine runs no untracked requests any more
    Then the unload of "a1" is ordered

  Scenario: An engine that takes few requests gets the most urgent ones first, at intervals
    Given the engine has loaded "a1"
    And the engine takes 4 requests a second
    When request 1 needs "a1" with a target of 900 ms
    And request 2 needs "a1" with a target of 500 ms
    And request 3 needs "a1" with a target of 700 ms
    Then request 1 is neither granted nor refused
    When the allocator plans for 260 ms
    Then request 2 is granted
    And request 3 is neither granted nor refused
    When the allocator plans for 260 ms
    Then request 3 is granted
    And request 1 is neither granted nor refused
    When the allocator plans for 260 ms
    Then request 1 is granted

  Scenario: Requests whose turn would come too late at a limited engine are refused at once, to come back one by one
    Given the engine has loaded "a1"
    And the engine takes 4 requests a second
    When requests 1 to 2 need "a1"
    And requests 3 to 6 need "a1"
    Then requests 3 to 6 are refused
    And the retry delays of requests 3 to 6 increase by at least 250 ms each

  Scenario: A request that is late already does not delay those that can be on time at a limited engine
    Given the engine has loaded "a1"
    And the engine takes 4 requests a second
    When request 1 needs "a1" and became late 100 ms ago
    And request 2 needs "a1" with a target of 500 ms
    And the allocator plans for 260 ms
    Then request 2 is granted
    And request 1 is refused

  Scenario: Adapters are loaded at a limited engine only if it gets no requests, as a response alone can end its limit
    Given the engine has loaded "a1"
    And the engine takes 4 requests a second
    When the allocator plans for 260 ms
    And request 1 needs "a1"
    And request 2 needs "a2", which another engine may serve
    Then request 1 is granted
    And request 2 is declined
    And no loads are ordered
    When the allocator plans for 2500 ms
    And request 3 needs "a2", which another engine may serve
    Then 1 load is ordered

  Scenario: Orders count as requests at a limited engine
    Given the engine has loaded "a1"
    And the engine takes 4 requests a second
    When the allocator plans for 260 ms
    And request 1 needs "a2"
    Then 1 load is ordered
    When request 2 needs "a1" with a target of 200 ms
    Then request 2 is refused
