Feature: Endpoints that announce the close of a connection and leave it open
  No further request is sent on a connection whose response was its last one, as an endpoint ignores it.

  Scenario Outline: The client of <part> sends each request on another connection
    Given an endpoint that announces the close with each response, and ignores what follows
    When the client of <part> sends 20 requests, each as soon as it has the response before
    Then each of the 20 requests is answered
    And no connection has brought the endpoint more than 1 request

    Examples:
      | part                |
      | endpoints and hosts |
      | plain services      |
      | engines             |
