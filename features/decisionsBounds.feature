Feature: Lower bounds on stall times, against which scheduling decisions are measured

  Scenario: The first request for an adapter waits for a full load, and those that follow for the rest of it
    Given adapters without earlier requests, and loads of 650 ms
    When urgent requests for "a" arrive at 0 ms, 300 ms, 2000 ms
    And deferrable requests for "b" arrive at 400 ms, 450 ms
    And urgent requests for "b" arrive at 500 ms
    Then urgent requests stall at least 1550 ms, and all requests at least 2200 ms
