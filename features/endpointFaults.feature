Feature: Faults of the stand-in platform's endpoints
  A fault strikes the stated part of the requests, whatever other faults there are.

  # Draws that all faults shared cut two thirds of the answers in place of a half.
  Scenario Outline: A fault strikes its part of the requests
    Given a service whose endpoint has the fault "<fault>" for half of its requests
    When it gets 40 requests one after the other
    Then 20 of them are not answered as a whole, give or take 1

    Examples:
      | fault        |
      | cuts         |
      | errors       |
      | headCuts     |
      | unframedCuts |
