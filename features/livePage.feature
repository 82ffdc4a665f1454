Feature: The live page
  The page's own script, run on a small document in place of a browser.

  Scenario: The state of a running system, its decisions and a request's story
    Given a system with 2 engines, 1 scheduler and 2 gateways
    And an operator reads "/api/status" until it shows 2 endpoints
    When the page of gateway 1 is opened with key "sv-example-operator-key"
    Then part "system" of the page shows "1 scheduler, 2 endpoints"
    And part "endpoints" of the page shows "owner scheduler-1 · fencing 1"
    And part "login" of the page is hidden
    When a caller asks for 5 tokens from "cluj-tax"
    Then part "feed" of the page shows "the whole answer was sent"
    And part "loads" of the page shows "1 load in the last minute"
    When the request is explained on the page
    Then part "story" of the page shows "answered"
    And part "story" of the page shows "for load"
    And part "story" of the page shows "What changed its way:"
    And part "trouble" of the page is empty

  Scenario: A key that opens nothing
    Given a system with 1 engine, 1 scheduler and 1 gateway
    When the page of gateway 1 is opened with key "sv-example-caller-key"
    Then part "trouble" of the page shows "not registered for role "operator""
    And part "login" of the page is not hidden

  Scenario: What waits, loads and runs on a full endpoint
    Given the page without a system
    When it draws an endpoint with a late queue, a load, 12 requests in its batch and an adapter named "<b>bold</b>"
    Then part "queues" of the page shows "missed by 2.0 s"
    And part "loads" of the page shows "of the 270 that the budget allows"
    And part "endpoints" of the page shows "<b>bold</b>@1 · 12"
    And part "endpoints" of the page shows "kit-tutor@2 loading"
    And part "endpoints" of the page shows "6 free"
    And part "endpoints" of the page shows "batch 12 of 16, 3 waiting"
    And part "endpoints" of the page shows "and 4 more"
    And the page has created no element "b" for it
