Feature: News that hosts pass on to each other
  Hosts in other zones pay for each byte, and configurations are large.

  Scenario: A large configuration crosses compressed
    Given a host that relays a configuration of 300000 bytes
    When 6 followers read its news
    Then each follower has the configuration as it was written
    And at most 60000 bytes crossed for each of them

  Scenario: Rows of hosts and endpoints cross as they are
    Given a host that relays a configuration of 300 bytes
    When 1 follower reads its news
    Then each follower has the configuration as it was written

  Scenario: While the store is away hosts do not read each other's news whole again and again
    Given a host that follows 4 peers which have lost the store as well
    When 10000 ms pass for it
    Then it has read the news of each peer whole at most 1 time
    And it has asked its peers at most 80 times

  Scenario: A host whose relays have all lost the store reads the store itself
    Given a host that follows 2 peers which have lost the store as well
    When 2000 ms pass for it
    And the store answers this host
    And 3000 ms pass for it
    Then it has read the store

  Scenario: Answers to a reader's own writes do not make its news young
    Given a host that reads the store for 4 peers
    When its reads fail and its writes go through for 4000 ms
    Then it tells that its news are at least 3500 ms old
    And it looks for news at its peers

  Scenario: Sources are ranked when hosts come and go, not each time that news are read
    Given a host that follows 200 peers which have lost the store as well
    When 10000 ms pass for it
    Then it has ranked its sources 1 time

  Scenario: A host that starts among others leaves the store to the readers at once
    Given a host that starts together with 40 peers which reach the store
    When 5000 ms pass for it
    Then it has read 2 tables of the store
    And it has followed the store with at most 1 calls
