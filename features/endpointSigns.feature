Feature: What endpoints say of themselves in their answers
  An endpoint that leaves says so in all its answers, and one that rejects a request may say for how long it wants nothing. The
  host that was told keeps to it, whatever the store says or while it is away.

  Scenario Outline: A host that was told by an endpoint that it leaves sends it nothing new
    Given 2 hosts before a platform with 2 engines
    And the store is "<store>"
    When endpoint 1 of "<service>" says in its answers that it leaves
    And 30 requests of kind "<kind>" come to host 1 within 1500 ms
    Then endpoint 1 of "<service>" ran 1 of them at least, and none later than 200 ms after its first

    Examples:
      | service | kind   | store  |
      | desk    | once   | none   |
      | desk    | once   | silent |
      | llm     | stream | none   |
      | llm     | stream | silent |

  Scenario: Another process of an endpoint is free of what the one before it said
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "desk" says in its answers that it leaves
    And 10 requests of kind "once" come to host 1 within 300 ms
    And endpoint 1 of "desk" starts again and says nothing
    And 1500 ms pass
    And 40 requests of kind "once" come to host 1 within 800 ms
    Then endpoint 1 of "desk" ran at least 5 of them

  Scenario: The owner of an engine that says that it leaves gives no places there, and a false sign passes
    Given 3 hosts before a platform with 2 engines
    When endpoint 1 of "llm" says in its answers that it leaves
    And 10 requests of kind "stream" come to host 1 within 500 ms
    And endpoint 1 of "llm" says nothing any more
    And 20 requests of kind "stream" come to host 2 within 1000 ms
    Then endpoint 1 of "llm" ran at most 0 of them
    When 5500 ms pass
    And 40 requests of kind "stream" come to host 2 within 1500 ms
    Then endpoint 1 of "llm" ran at least 1 of them

  Scenario: A host sends nothing to an endpoint that wants nothing for a while
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "desk" rejects requests and wants nothing for "1.2" seconds
    And 50 requests of kind "once" come to host 1 within 1100 ms
    Then endpoint 1 of "desk" rejected one of them and got no other one within 1150 ms
    And every answer is whole and signed

  Scenario: Callers are refused at once while no endpoint of a service wants anything
    Given 2 hosts before a platform with 1 engine
    When endpoint 1 of "desk" rejects requests and wants nothing for "3" seconds
    And endpoint 2 of "desk" rejects requests and wants nothing for "1.5" seconds
    And 30 requests of kind "once" come to host 1 within 600 ms
    Then all of them are refused within 200 ms, to come back after 0.8 to 2.1 seconds and not together

  Scenario: Requests that wait for a place at an engine that wants nothing are placed anew
    Given a front that waits for a place at engine "i-1"
    When engine "i-1" wants nothing for a while
    Then the wait ends at once and its owner is told

  Scenario: An engine that wants nothing gets no orders and no questions
    Given the orders of an engine that wants nothing for 300 ms
    When it is given an order and asked for its state
    Then the order is refused at once and the question goes out after 300 ms

  Scenario Outline: Times to come back
    When an endpoint rejects a request with the time to come back "<value>"
    Then the host takes it as <taken>

    Examples:
      | value                         | taken      |
      | 2                             | 2000 ms    |
      | 0.25                          | 250 ms     |
      | 0                             | 0 ms       |
      |                               | nothing    |
      | -1                            | unreadable |
      | soon                          | unreadable |
      | NaN                           | unreadable |
      | Wed, 21 Oct 2026 07:28:00 GMT | unreadable |
