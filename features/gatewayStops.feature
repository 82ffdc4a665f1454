Feature: Several requests at once on a connection of a gateway
  Whatever a gateway has passed on to an endpoint is answered before it closes the connection.

  # Guards against answers that end a connection while requests behind them run.
  Scenario Outline: <requests> at once are answered by a gateway that stops
    Given processes with 2 engines, 1 schedulers and 1 gateways
    When 4 connections go on sending <requests> at once to the gateway, and it stops
    Then no request that ran is without a whole answer

    Examples:
      | requests     |
      | 1 completion |

    @knownRed
    Examples:
      | requests      |
      | 3 completions |
      | 3 streams     |

  @knownRed
  # Guards against an error that ends a connection while a request on it runs.
  Scenario: A completion is answered before bytes behind it that are no request
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When a connection sends a completion, and bytes behind it that are no request
    Then no request that ran is without a whole answer
    And the connection ends with status 400 after the answer
