Feature: The decisions about an endpoint
  Each mechanism shows its effect, and the effect is gone where the mechanism is switched off.

  Scenario Outline: Deferrable work never starves
    Given an endpoint with 2 slots and a batch of 1, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapter "review" gets 1 request of caller "office" at 0 ms, to finish within 20000 ms
    And adapter "counter" gets 400 requests of caller "town" every 100 ms, each with its first token within 2000 ms
    Then after 30000 ms request "review-1" has started <outcome> 20000 ms

    Examples:
      | mechanism           | outcome |
      | all mechanisms on   | before  |
      | without criticality | after   |

  Scenario Outline: Urgent work passes work that may wait
    Given an endpoint with 2 slots and a batch of 1, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapter "counter" gets 30 requests of caller "office" at 0 ms, to finish within 600000 ms
    And adapter "counter" gets 1 request of caller "town" at 500 ms, with its first token within 60000 ms
    Then after 20000 ms request "counter-31" has started <outcome> 1000 ms

    Examples:
      | mechanism         | outcome |
      | all mechanisms on | before  |
      | without slack     | after   |

  Scenario Outline: Work that may wait is grouped by adapter
    Given an endpoint with 2 slots and a batch of 4, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapters "a, b, c, d" get 5 requests each in turn, one every 500 ms, to finish within 60000 ms
    Then after 70000 ms every request has started, with <outcome> 4 loads

    Examples:
      | mechanism         | outcome   |
      | all mechanisms on | at most   |
      | without gathering | more than |

  Scenario Outline: A request that cannot meet its target is refused at once
    Given an endpoint with 2 slots and a batch of 1, runs of 1000 ms and loads of 100 ms, <mechanism>
    When adapter "counter" gets 10 requests of caller "town" at 0 ms, with its first token within 2000 ms
    Then at 10 ms <outcome> requests are refused as not run, each with its own time to come back

    Examples:
      | mechanism         | outcome |
      | all mechanisms on | some    |
      | without admission | no      |

  Scenario Outline: Work that is late already makes nothing else late
    Given an endpoint with 2 slots and a batch of 1, runs of 1000 ms and loads of 100 ms, <mechanism>
    When adapter "review" gets 30 requests of caller "office" at 0 ms, to finish within 7000 ms
    And adapter "review" gets 1 request of caller "school" at 8000 ms, to finish within 12000 ms
    Then after 60000 ms request "review-31" has started <outcome> 18000 ms

    Examples:
      | mechanism                       | outcome |
      | without admission               | before  |
      | without admission or late queue | after   |

  Scenario: A refused caller that comes back when told is served within its target
    Given an endpoint with 2 slots and a batch of 1, runs of 1000 ms and loads of 100 ms, all mechanisms on
    When adapter "counter" gets 4 requests of caller "town" at 0 ms, with its first token within 2000 ms
    And refused requests come back when they were told
    Then after 60000 ms every request has started within 3000 ms of its last arrival

  Scenario Outline: One caller cannot starve others of its class
    Given an endpoint with 2 slots and a batch of 1, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapter "counter" gets 30 requests of caller "flood" at 0 ms, with its first token within 600000 ms
    And adapter "counter" gets 1 request of caller "town" at 1 ms, with its first token within 600000 ms
    Then after 20000 ms request "counter-31" has started <outcome> 1000 ms

    Examples:
      | mechanism         | outcome |
      | all mechanisms on | before  |
      | without fairness  | after   |

  Scenario Outline: A load that fails is not tried again at once and holds up nobody else
    Given an endpoint with 2 slots and a batch of 1, runs of 100 ms and loads of 100 ms, <mechanism>
    And loads of adapter "broken" fail
    When adapter "broken" gets 1 request of caller "town" at 0 ms, with its first token within 30000 ms
    And adapter "counter" gets 1 request of caller "town" at 500 ms, with its first token within 30000 ms
    Then after 10000 ms adapter "broken" was loaded <outcome> 4 times
    And after 10000 ms request "counter-1" has started before 2000 ms

    Examples:
      | mechanism         | outcome   |
      | all mechanisms on | at most   |
      | without back-off  | more than |

  Scenario Outline: A hot adapter gets a replica
    Given endpoint "engine-1" has adapter "hot" loaded and a wait of 5000 ms
    And endpoint "engine-2" is empty
    When a gateway chooses an endpoint for adapter "hot", <mechanism>
    Then it chooses "<endpoint>"

    Examples:
      | mechanism        | endpoint |
      | with replicas    | engine-2 |
      | without replicas | engine-1 |

  Scenario Outline: Gateways agree on the endpoint for a cold adapter
    Given 6 endpoints that are empty
    When two gateways that list them in opposite order choose for 20 cold adapters, <mechanism>
    Then they agree on <outcome> 20

    Examples:
      | mechanism                    | outcome   |
      | with a preferred endpoint    | all       |
      | without a preferred endpoint | less than |

  Scenario: The waits of a dispatch say what the request waited for
    Given an endpoint with 2 slots and a batch of 1, runs of 300 ms and loads of 100 ms, all mechanisms on
    When adapter "counter" gets 2 requests of caller "town" at 0 ms, with its first token within 2000 ms
    Then after 1000 ms request "counter-2" waited "load 100, queue 300"

  Scenario Outline: A load for work that is late already goes after the load for urgent work
    Given an endpoint with 1 slot and a batch of 1, runs of 1000 ms and loads of 100 ms, <mechanism>
    When adapter "hot" gets 8 requests of caller "town" at 0 ms, with its first token within 60000 ms
    And adapter "review" gets 1 request of caller "office" at 10 ms, to finish within 5000 ms
    And adapter "counter" gets 1 request of caller "school" at 7050 ms, with its first token within 5000 ms
    Then after 60000 ms request "counter-1" has started <outcome> 9000 ms

    Examples:
      | mechanism                       | outcome |
      | without admission               | before  |
      | without admission or late queue | after   |

  Scenario: A load is given up where nobody waits for it when its permit comes
    Given an endpoint with 2 slots and a batch of 2, runs of 100 ms and loads of 100 ms, all mechanisms on
    And loads wait 5000 ms for their permits
    When adapter "counter" gets 1 request of caller "town" at 0 ms, with its first token within 2000 ms
    And adapter "review" gets 8 requests of caller "office" at 0 ms, to finish within 60000 ms
    Then after 20000 ms adapter "counter" was loaded at most 0 times
    And after 20000 ms request "review-8" has started before 12000 ms
