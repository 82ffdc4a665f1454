Feature: The bounds that decisions are measured against

  Scenario: Who asks first for an adapter waits for a whole load, and who follows for the rest of it
    Given adapters that were not asked for before, and loads of 650 ms
    When urgent requests ask for "a" at 0 ms, 300 ms, 2000 ms
    And deferrable requests ask for "b" at 400 ms, 450 ms
    And urgent requests ask for "b" at 500 ms
    Then urgent requests stall at least 1550 ms, and all requests at least 2200 ms
