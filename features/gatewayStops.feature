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

    Examples:
      | requests      |
      | 3 completions |
      | 3 streams     |

  # Guards against an error that ends a connection while a request on it runs.
  Scenario: A completion is answered before bytes behind it that are no request
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When a connection sends a completion, and bytes behind it that are no request
    Then no request that ran is without a whole answer
    And the connection ends with status 400 after the answer

  Scenario Outline: A caller that ends its side <when>, <requests>, gets every answer
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When a caller sends <requests> at once to the gateway, and ends its side <when>
    Then no request that ran is without a whole answer
    And the caller has <count> answers, each with status 200

    Examples:
      | requests          | count | when       |
      | 1 completion      | 1     | at once    |
      | 1 stream          | 1     | at once    |
      | 3 completions     | 3     | at once    |
      | 3 streams         | 3     | at once    |
      | 1 long completion | 1     | in its run |
      | 1 long stream     | 1     | in its run |

  # Guards against runs for callers that have left, which a gateway that lets callers end their side has to find out.
  Scenario: The gateway stops what runs for a caller that ends its side and leaves
    Given processes with 1 engines, 1 schedulers and 1 gateways
    When a caller sends 1 long completion to the gateway, ends its side and leaves
    Then the request that ran is cancelled within 1000 ms
