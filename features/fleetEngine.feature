Feature: Engines of the stand-in platform
  Reports show what an engine holds, some time later.

  # Guards against a timer that ends a moment before the clock says so, and leaves the model out of all reports.
  Scenario: A report shows the model though the timer of its load ends early
    Given an engine of the stand-in whose clock is slower than its timers
    When the load of its model is ordered and has ended
    Then its report shows the model within 500 ms
