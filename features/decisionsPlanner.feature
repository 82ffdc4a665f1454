Feature: Scheduling decisions for an endpoint
  Each mechanism has its effect, and the effect is absent when the mechanism is disabled.

  Scenario Outline: Deferrable work never starves
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapter "review" receives 1 request from caller "office" at 0 ms, to finish within 20000 ms
    And adapter "counter" receives 400 requests from caller "town" every 100 ms, each with its first token within 2000 ms
    Then after 30000 ms request "review-1" has started <outcome> 20000 ms

    Examples:
      | mechanism               | outcome |
      | with all mechanisms     | before  |
      | without critical window | after   |

  Scenario Outline: Urgent work runs before deferrable work
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapter "counter" receives 30 requests from caller "office" at 0 ms, to finish within 600000 ms
    And adapter "counter" receives 1 request from caller "town" at 500 ms, with its first token within 60000 ms
    Then after 20000 ms request "counter-31" has started <outcome> 1000 ms

    Examples:
      | mechanism              | outcome |
      | with all mechanisms    | before  |
      | without slack ordering | after   |

  Scenario Outline: Deferrable work is batched by adapter
    Given an endpoint with 2 adapter slots and 4 batch slots, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapters "a, b, c, d" receive 5 requests each in rotation, one every 500 ms, to finish within 60000 ms
    Then after 70000 ms every request has started, with <outcome> 4 loads

    Examples:
      | mechanism              | outcome   |
      | with all mechanisms    | at most   |
      | without batching delay | more than |

  Scenario Outline: A request that cannot meet its target is refused at once
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 1000 ms and loads of 100 ms, <mechanism>
    When adapter "counter" receives 10 requests from caller "town" at 0 ms, with its first token within 2000 ms
    Then at 10 ms <outcome> requests are refused as not run, each with a different retry time

    Examples:
      | mechanism                 | outcome |
      | with all mechanisms       | some    |
      | without admission control | no      |

  Scenario Outline: Work that is already late delays no work that can meet its target
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 1000 ms and loads of 100 ms, <mechanism>
    When adapter "review" receives 30 requests from caller "office" at 0 ms, to finish within 7000 ms
    And adapter "review" receives 1 request from caller "school" at 8000 ms, to finish within 12000 ms
    Then after 60000 ms request "review-31" has started <outcome> 18000 ms

    Examples:
      | mechanism                               | outcome |
      | without admission control               | before  |
      | without admission control or late queue | after   |

  Scenario: A refused caller that retries at the given time is served within its target
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 1000 ms and loads of 100 ms, with all mechanisms
    When adapter "counter" receives 4 requests from caller "town" at 0 ms, with its first token within 2000 ms
    And refused requests are retried at the time given in the refusal
    Then after 60000 ms every request has started within 3000 ms of its last arrival

  Scenario Outline: One caller cannot starve others of its class
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 100 ms and loads of 100 ms, <mechanism>
    When adapter "counter" receives 30 requests from caller "flood" at 0 ms, with its first token within 600000 ms
    And adapter "counter" receives 1 request from caller "town" at 1 ms, with its first token within 600000 ms
    Then after 20000 ms request "counter-31" has started <outcome> 1000 ms

    Examples:
      | mechanism             | outcome |
      | with all mechanisms   | before  |
      | without fair queueing | after   |

  Scenario Outline: A failed load is retried with back-off and does not delay other adapters
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 100 ms and loads of 100 ms, <mechanism>
    And loads of adapter "broken" fail
    When adapter "broken" receives 1 request from caller "town" at 0 ms, with its first token within 30000 ms
    And adapter "counter" receives 1 request from caller "town" at 500 ms, with its first token within 30000 ms
    Then after 10000 ms adapter "broken" was loaded <outcome> 4 times
    And after 10000 ms request "counter-1" has started before 2000 ms

    Examples:
      | mechanism           | outcome   |
      | with all mechanisms | at most   |
      | without back-off    | more than |

  Scenario Outline: A hot adapter is replicated
    Given endpoint "engine-1" has adapter "hot" loaded and a wait of 5000 ms
    And endpoint "engine-2" has no adapter loaded
    When a gateway chooses an endpoint for adapter "hot", <mechanism>
    Then it chooses "<endpoint>"

    Examples:
      | mechanism        | endpoint |
      | with replicas    | engine-2 |
      | without replicas | engine-1 |

  Scenario Outline: Gateways agree on the endpoint for a cold adapter
    Given 6 endpoints without loaded adapters
    When two gateways that list them in opposite order choose for 20 cold adapters, <mechanism>
    Then they agree on <outcome> 20

    Examples:
      | mechanism                    | outcome   |
      | with a preferred endpoint    | all       |
      | without a preferred endpoint | less than |

  Scenario: A dispatch decision records what the request waited for
    Given an endpoint with 2 adapter slots and 1 batch slot, runs of 300 ms and loads of 100 ms, with all mechanisms
    When adapter "counter" receives 2 requests from caller "town" at 0 ms, with its first token within 2000 ms
    Then after 1000 ms request "counter-2" waited "load 100, queue 300"

  Scenario Outline: A load for work that is already late is ordered after a load for urgent work
    Given an endpoint with 1 adapter slot and 1 batch slot, runs of 1000 ms and loads of 100 ms, <mechanism>
    When adapter "hot" receives 8 requests from caller "town" at 0 ms, with its first token within 60000 ms
    And adapter "review" receives 1 request from caller "office" at 10 ms, to finish within 5000 ms
    And adapter "counter" receives 1 request from caller "school" at 7050 ms, with its first token within 5000 ms
    Then after 60000 ms request "counter-1" has started <outcome> 9000 ms

    Examples:
      | mechanism                               | outcome |
      | without admission control               | before  |
      | without admission control or late queue | after   |

  Scenario: A load is withdrawn if no request waits for it when its permit is granted
    Given an endpoint with 2 adapter slots and 2 batch slots, runs of 100 ms and loads of 100 ms, with all mechanisms
    And loads wait 5000 ms for their permits
    When adapter "counter" receives 1 request from caller "town" at 0 ms, with its first token within 2000 ms
    And adapter "review" receives 8 requests from caller "office" at 0 ms, to finish within 60000 ms
    Then after 20000 ms adapter "counter" was loaded at most 0 times
    And after 20000 ms request "review-8" has started before 12000 ms
