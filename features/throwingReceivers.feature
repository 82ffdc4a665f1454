Feature: Receivers of responses that throw
  An exception in a callback of the HTTP client ends the request that it belongs to, and neither the host nor other requests.

  # Guards against exceptions that the HTTP client drops, after which a request waits for its deadline, and those that it lets through.
  Scenario Outline: A request whose receiver throws in <method> ends at once with that exception
    Given a link to an endpoint that <sends>
    When a request is sent whose receiver throws in <method>
    Then the receiver gets the exception as its only failure, and its connection is not in use
    And nothing is thrown outside of a call of the link

    Examples:
      | method         | sends                             |
      | confirmSend    | answers                           |
      | receiveHead    | answers                           |
      | receiveData    | answers                           |
      | receiveEnd     | answers                           |
      | receiveFailure | resets                            |
      | receiveFailure | sends too much around its answer  |
