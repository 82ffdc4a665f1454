Feature: Paused callers of requests that go through another host
  A caller reads nothing while its stream comes through another host, and one of those on its way lets go. Hosts go on, and no part is given as whole.

  Scenario Outline: A stream through another host lives through <ends> while its caller is paused
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of host 1 to all endpoints are reset and refused
    And 2000 ms pass
    And 4 callers of host 1 pause streams of events <framing>, and <ends>
    Then nothing is thrown outside of a call in a host, and no paused caller gets a whole answer
    And host 1 serves an ordinary request

    Examples:
      | framing                           | ends                     |
      | before a close                    | the callers reset        |
      | of a stated length before a close | the engine resets        |
      | in chunks before a close          | the engine ends its side |
      | before a close                    | host 2 stops             |

  Scenario: A host that is stopped while its callers are paused ends with code 0
    Given a host of its own with 350 MB of memory, a heap of 160 MB and 400 descriptors
    And its engine streams events before a close
    When 4 callers ask for a stream, read nothing and stay, and the host is stopped
    Then the stopped host has ended with code 0
