Feature: Places at an engine
  An owner decides who gets a place now, who waits for an adapter, who should ask elsewhere and who is refused.

  Background:
    Given the desk of an engine with 3 adapter slots, batches of 8 and loads of 250 ms

  Scenario: A request for a loaded adapter gets its place at once
    Given adapter "a1" is loaded at the desk
    When request 1 asks for "a1"
    Then request 1 is granted

  Scenario: Requests for an adapter on its way wait for one load
    When requests 1 to 5 ask for "a1"
    Then 1 load is ordered
    When the load of "a1" is done after 250 ms
    Then requests 1 to 5 are granted

  Scenario: No more loads at a time than the engine takes
    Given the desk of an engine with 18 adapter slots, batches of 64 and loads of 250 ms
    When requests 1 to 9 each ask for an adapter of their own
    Then 4 loads are ordered

  Scenario: An adapter in use never makes way
    Given adapters "a1, a2, a3" are loaded at the desk
    And requests 1 to 3 run on "a1, a2, a3"
    When request 4 asks for "a4"
    Then no unload is ordered
    When request 2 ends
    Then the unload of "a2" is ordered

  Scenario: The adapter that is asked for least makes way
    Given adapters "a1, a2, a3" are loaded at the desk
    And "a1" was asked for 5 times
    And "a2" was asked for 1 times
    And "a3" was asked for 3 times
    When 100 ms pass at the desk
    And request 50 asks for "a4"
    Then the unload of "a2" is ordered

  Scenario: Of adapters whose use a new owner does not know the one that was loaded last makes way
    Given adapters "a1, a2, a3" are loaded at the desk, as the engine told a new owner
    When 100 ms pass at the desk
    And request 50 asks for "a4"
    Then the unload of "a3" is ordered

  Scenario: A load that was never seen done keeps its slot
    When requests 1 to 3 each ask for an adapter of their own
    Then 3 loads are ordered
    When request 4 asks for "a9"
    And the desk plans for 500 ms
    Then 3 loads are ordered

  Scenario: Nothing is planned while the engine may not be given orders
    When request 1 asks for "a1" while no orders may be given
    Then no load is ordered

  Scenario: A load that was refused is not ordered again at once
    When request 1 asks for "a1"
    And the load of "a1" is refused
    Then 1 load is ordered
    When the desk plans for 200 ms
    Then 2 loads are ordered

  Scenario: A new version takes the place of the old one once nothing runs on it
    Given adapter "a1" is loaded at the desk
    And requests 1 to 1 run on "a1"
    When request 2 asks for version 2 of "a1"
    Then no unload is ordered
    When request 1 ends
    Then the unload of "a1" is ordered
    When the unload of "a1" is done
    Then the load of version 2 of "a1" is ordered

  Scenario: A restarted engine holds nothing
    Given adapters "a1, a2, a3" are loaded at the desk
    When the engine has started again
    And request 1 asks for "a1"
    Then 1 load is ordered

  Scenario: Adapters that others may use are kept for a while after a takeover
    Given adapters "a1, a2, a3" are loaded at the desk
    And the engine runs requests that this desk does not know for 500 ms
    When request 1 asks for "a4"
    Then no unload is ordered
    When the desk plans for 600 ms
    Then the unload of "a1" is ordered

  Scenario: A request that could start only after its use is refused at once, with a time to come back
    Given an engine that has 3000 ms of prompts before it
    And adapter "a1" is loaded at the desk
    When request 1 asks for "a1" with a target of 600 ms
    Then request 1 is refused
    And the time to come back for request 1 is at least 1000 ms

  Scenario: Refused callers are told times one after the other
    Given an engine that has 3000 ms of prompts before it
    And adapter "a1" is loaded at the desk
    When requests 1 to 5 ask for "a1"
    Then requests 1 to 5 are refused
    And the times to come back of requests 1 to 5 rise by at least 15 ms each

  Scenario: The engine's backlog is worked off
    Given an engine that has 800 ms of prompts before it
    And adapter "a1" is loaded at the desk
    When the desk plans for 1000 ms
    And request 1 asks for "a1" with a target of 600 ms
    Then request 1 is granted

  Scenario: One waiting adapter takes one slot, however often the desk plans
    Given adapters "a1, a2, a3" are loaded at the desk
    When request 1 asks for "a4"
    And the desk plans for 100 ms
    Then the unload of "a1" is ordered

  Scenario: Callers that come back late let those in time go first
    Given an engine that has 300 ms of prompts before it
    And adapter "a1" is loaded at the desk
    When request 1 asks for "a1" that became late 100 ms ago
    And request 2 asks for "a1"
    Then request 2 is granted
    And request 1 is neither granted nor refused
    When the desk plans for 400 ms
    Then request 1 is granted

  Scenario: A late request is not put off for ever
    Given adapter "a1" is loaded at the desk
    When request 1 asks for "a1" that became late 100 ms ago while the engine always has 200 ms of prompts before it
    And the desk plans for 1000 ms
    Then request 1 is granted

  Scenario: Without a slot a request is given up a target's time after it became late
    Given adapters "a1, a2, a3" are loaded at the desk
    And requests 1 to 3 run on "a1, a2, a3"
    When request 4 asks for "a4"
    And the desk plans for 1100 ms
    Then request 4 is neither granted nor refused
    When the desk plans for 200 ms
    Then request 4 is refused

  Scenario: Without a slot a request is given up once a load would come too late for its caller
    Given adapters "a1, a2, a3" are loaded at the desk
    And requests 1 to 3 run on "a1, a2, a3"
    When request 4 asks for "a4" and leaves after 700 ms
    And the desk plans for 400 ms
    Then request 4 is neither granted nor refused
    When the desk plans for 60 ms
    Then request 4 is refused

  Scenario: With a slot a request waits as long as its caller does
    When request 1 asks for "a1"
    And the desk plans for 2500 ms
    Then request 1 is neither granted nor refused
    When the load of "a1" is done after 100 ms
    Then request 1 is granted

  Scenario: An adapter that another engine has taken is not loaded at home as well
    When request 1 asks politely for "a1" that another engine has taken
    Then request 1 is declined
    And no load is ordered

  Scenario: An adapter that another engine has taken is used at home where it is loaded
    Given adapter "a1" is loaded at the desk
    When request 1 asks politely for "a1" that another engine has taken
    Then request 1 is granted

  Scenario: A request that nobody else takes is loaded at home
    When request 1 asks for "a1" that another engine has taken
    Then 1 load is ordered

  Scenario: Requests that run since before a takeover keep their adapters
    When request 1 runs on "a1" since before this desk
    And adapters "a1, a2, a3" are loaded at the desk
    And request 2 asks for "a4"
    Then the unload of "a2" is ordered
    When request 1 ends
    And request 3 asks for "a5"
    Then the unloads of "a2, a1" are ordered

  Scenario: Adapters that were kept make way once nothing unknown runs any more
    Given adapters "a1, a2, a3" are loaded at the desk
    And the engine runs requests that this desk does not know for 500 ms
    When request 1 asks for "a4"
    Then no unload is ordered
    When the desk plans for 100 ms
    And the engine runs nothing that the desk does not know
    Then the unload of "a1" is ordered
