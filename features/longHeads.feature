Feature: Requests with long heads
  What a host does with a request's head takes no longer than the head is long.

  # Guards against a request whose head keeps the event loop busy for seconds, in which its host answers nobody and looks dead to others.
  Scenario Outline: A host serves on while it gets <head>
    Given 2 hosts before 1 engine and 2 services
    When host 1 gets <head> and a plain request from another caller
    Then each is answered within 1500 ms

    Examples:
      | head                           |
      | prompt parts of 60000 zeros    |
      | a path of 60000 slashes        |
      | an address of 60000 characters |
