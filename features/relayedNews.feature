Feature: Cluster updates relayed between hosts
  Traffic between zones is charged per byte, and configurations are large.

  Scenario: A large configuration is sent compressed
    Given a host that relays a configuration of 300000 bytes
    When 6 followers read its updates
    Then each follower has the configuration as it was written
    And at most 60000 bytes were transferred per follower

  Scenario: Small rows are sent uncompressed
    Given a host that relays a configuration of 300 bytes
    When 1 follower reads its updates
    Then each follower has the configuration as it was written

  Scenario: During a store outage hosts do not repeatedly read all rows from each other
    Given a host that follows 4 peers that have lost the store as well
    When 10000 ms elapse for it
    Then it has read all rows from each peer at most 1 time
    And it has asked its peers at most 80 times

  Scenario: A host whose relays have all lost the store reads the store itself
    Given a host that follows 2 peers that have lost the store as well
    When 2000 ms elapse for it
    And the store answers this host
    And 3000 ms elapse for it
    Then it has read the store

  Scenario: Answers to a store reader's own writes do not lower the age of its updates
    Given a host that reads the store for 4 peers
    When its reads fail and its writes succeed for 4000 ms
    Then the age of its updates is at least 3500 ms
    And it asks its peers for updates

  Scenario: Update sources are ranked when hosts change, not on every read
    Given a host that follows 200 peers that have lost the store as well
    When 10000 ms elapse for it
    Then it has ranked its update sources 1 time

  Scenario: A host that starts together with others stops reading the store after the first read of each table
    Given a host that starts together with 40 peers that reach the store
    When 5000 ms elapse for it
    Then it has read 2 tables of the store
    And it has followed the store with at most 1 calls

  # Guards against an outcome without its fields, whose use rejects where nothing awaits it.
  Scenario Outline: A peer that answers a transaction with <answer>
    Given a peer that answers each transaction with <answer>
    When a host that knows the store's era sends it a transaction
    Then the outcome is "<verdict>"

    Examples:
      | answer                                              | verdict    |
      | null                                                | unknown    |
      | 7                                                   | unknown    |
      | {"verdict":"conflict"}                              | unknown    |
      | {"verdict":"conflict","rows":[null]}                | unknown    |
      | {"verdict":"applied"}                               | unknown    |
      | {"verdict":"done"}                                  | unknown    |
      | {"verdict":"applied","version":4,"era":2}           | applied    |
      | {"verdict":"notApplied","reason":"full"}            | notApplied |
      | {"verdict":"conflict","rows":[{"table":"op","key":"a","version":3}]} | conflict   |
