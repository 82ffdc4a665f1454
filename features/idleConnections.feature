Feature: Idle connections to endpoints
  A host keeps a connection for as long as its endpoint announces, so that it need not open one for each request.

  # Guards against a new connection for each request that comes seldom, which costs processor time at both ends; the loss of a
  # request that may run only once, on a connection that the endpoint dropped in the meantime; and requests sent to an endpoint
  # that is about to close the connection.
  Scenario Outline: After <idle> ms of idling, a request that <retries> be sent again takes <connection> connection
    Given an endpoint that announces a keep-alive timeout of <announced> s
    When two requests that <retries> be sent again are sent to it, <idle> ms apart
    Then both are answered, the second one on <connection> connection

    Examples:
      | announced | idle | retries | connection |
      | 10        | 4000 | may     | the same   |
      | 10        | 4000 | may not | a new      |
      | 10        | 500  | may not | the same   |
      | 2         | 1800 | may     | a new      |
      | 0         | 4000 | may     | a new      |
