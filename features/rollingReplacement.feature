Feature: Replacing every host
  Hosts are replaced one after the other while callers ask; no request is lost.

  Scenario: Every scheduler and gateway is replaced
    Given a system with 3 engines, 2 schedulers and 2 gateways
    When callers keep asking while every host is replaced
    Then every caller got a whole answer
    And no adapter was unloaded while it served
