Feature: Metrics of a host
  Counters and histograms come from the same events as the log lines.

  Scenario Outline: The end of a request is counted by outcome and cause
    Given the metrics of a host
    When the event "<kind>" of a request with code "<code>" is recorded
    Then its metrics hold "sedgevalve_requests_total{work=\"stream\",outcome=\"<outcome>\",cause=\"<code>\"} 1"
    And its metrics hold "sedgevalve_events_total{kind=\"<kind>\"} 1"
    And its metrics hold "sedgevalve_sends_total{work=\"stream\"} 2"

    Examples:
      | kind            | code       | outcome |
      | request.served  |            | served  |
      | request.refused | not_run    | refused |
      | request.failed  | timed_out  | failed  |
      | request.broken  | broken_off | broken  |
      | request.left    | left       | left    |

  Scenario: Orders, loads and calls to the store are counted by verdict
    Given the metrics of a host
    When an order of kind "load" with verdict "accepted" and a load of 250 ms are recorded
    And a call "transact" to the store with verdict "conflict" is recorded
    Then its metrics hold "sedgevalve_orders_total{order=\"load\",verdict=\"accepted\"} 1"
    And its metrics hold "sedgevalve_adapter_load_seconds_sum{warm=\"false\"} 0.25"
    And its metrics hold "sedgevalve_store_calls_total{call=\"transact\",verdict=\"conflict\"} 1"

  Scenario: Gauges read the host when they are asked for
    Given the metrics of a host
    Then its metrics hold "sedgevalve_store_age_seconds 1.5"
    And its metrics hold "sedgevalve_table_age_seconds{table=\"op\"} 0.7"
    And its metrics hold "sedgevalve_active_requests 3"
    And its metrics hold "sedgevalve_held_body_bytes 4096"
    And its metrics hold "sedgevalve_owned_endpoints 2"
    And its metrics hold "sedgevalve_known_endpoints 8"
