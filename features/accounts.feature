Feature: Client accounts
  Where the configuration has accounts, a request needs a key of one. Endpoints and other hosts get the account's name, never the key.

  # Guards against keys that are checked too late or not at all: a refused request must reach no endpoint.
  Scenario Outline: A request with <credentials> is refused at once
    Given 1 host before a platform with accounts
    When requests of all kinds are sent with <credentials>
    Then they are refused with 401 and code "key_unknown" within 500 ms, and no endpoint saw them

    Examples:
      | credentials                             |
      | no key                                  |
      | an empty key                            |
      | an unknown key                          |
      | a key of 8 KB                           |
      | two keys in two lines                   |
      | the same key in two lines               |
      | two keys in one line                    |
      | a key of another scheme                 |
      | the name of an account in place of one  |

  # Guards against a key or a forged account that reaches an endpoint under another spelling, a repeated or a hop-by-hop header.
  Scenario Outline: An endpoint gets the account of the key, whatever else the caller sends: <headers>
    Given 1 host before a platform with accounts
    When requests of all kinds are sent with the key of account "acme" and headers <headers>
    Then each is answered, and the endpoint saw account "acme" alone and no key

    Examples:
      | headers                                                            |
      | none                                                               |
      | Tenant: globex                                                     |
      | TENANT: globex \| tEnant: globex                                   |
      | Connection: Tenant \| Tenant: globex                               |
      | Connection: Authorization                                          |
      | Connection: close, authorization, tenant                           |
      | Proxy-Authorization: Bearer key-globex                             |

  Scenario: An account's rank goes before the rank of the route, and messages between hosts carry its name
    Given a request of account "acme" of rank 3 that waits for a reservation
    Then its reservation is requested with rank 3 for account "acme"

  # Guards against keys that are cached by connection.
  Scenario: Keys are added and removed while a connection stays open
    Given 1 host before a platform with accounts
    When a connection sends a request with "key-acme" and another with "key-later"
    And account "acme" has keys "key-later" in place of its own
    And the same connection sends a request with "key-acme" and another with "key-later"
    And account "acme" is removed
    And the same connection sends a request with "key-acme" and another with "key-later"
    Then its answers have status 200, 401, 401, 200, 401, 401

  # Guards against requests that run after their key was removed, and against a caller who waits for nothing.
  Scenario: A removed key ends requests that wait for an endpoint
    Given 1 host before a platform with accounts
    And its plain services have no endpoint that is ready
    When a request with "key-acme" waits, and account "acme" is removed
    Then it is refused with 401 while it waits, and no endpoint saw it

  Scenario: A removed key ends a request that waits for its reservation at once
    Given a request of account "acme" that waits for a reservation
    When account "acme" gets another key
    Then the request is refused with 401 and not sent

  Scenario: A removed key ends a request whose connection to its endpoint is being opened
    Given a request of account "acme" that waits for a reservation
    When it is passed to the connection of an endpoint
    And account "acme" gets another key
    Then the request is refused with 401 and withdrawn

  # A request that may run is not taken back: its caller gets the answer.
  Scenario: A removed key leaves a request alone that was sent
    Given a request of account "acme" that waits for a reservation
    When it is sent to an endpoint
    And account "acme" gets another key
    Then the request has no answer yet and is not withdrawn

  # Guards against a key that is passed on because the request had arrived before the first configuration with accounts.
  Scenario: A request that waits while the first accounts are configured is sent without its key
    Given a request with the key of account "acme" that waits for a reservation, and no accounts
    When the accounts are configured
    And it is passed to the connection of an endpoint
    Then the endpoint gets account "acme" and no key

  Scenario: A request that waits for its connection while the first accounts are configured is not written with its key
    Given a request with the key of account "acme" that waits for a reservation, and no accounts
    When it is passed to the connection of an endpoint
    And the accounts are configured
    Then it is not written to that connection

  Scenario: On a public route a key is not needed, and a known one still names its account
    Given 1 host before a platform with accounts whose routes are public
    When requests of all kinds are sent with no key
    Then each is answered, and the endpoint saw no account and no key
    When requests of all kinds are sent with an unknown key
    Then each is answered, and the endpoint saw no account and no key
    When requests of all kinds are sent with the key of account "acme" and headers none
    Then each is answered, and the endpoint saw account "acme" alone and no key

  Scenario: Other hosts get the account of a request, and not its key
    Given a request of account "acme" at a host that reaches no endpoint
    Then another host gets it for account "acme" without its key

  # A host whose configuration is older does not know a new account yet, and one that is newer has removed it.
  Scenario Outline: A host that gets a request from another one for account "acme", which it <knows>
    Given a request that another host has sent for account "acme", which it <knows>
    Then the request <outcome>

    Examples:
      | knows                           | outcome                               |
      | knows                           | is served for account "acme"          |
      | does not know yet               | is served for account "acme"          |
      | knows until it is removed       | is refused with 401                   |
      | cannot know, without accounts   | is served for account "acme"          |

  Scenario: Requests that are served through another host reach endpoints with their account and without their key
    Given 2 hosts with links of their own to 2 engines and 2 services
    And accounts are configured
    When the links of host 1 to all endpoints are reset and refused
    And 2000 ms pass
    And requests of all kinds are sent with the key of account "acme" and headers none
    Then each is answered, and the endpoint saw account "acme" alone and no key
    And they were sent through another host

  # Guards against keys in what hosts write or tell each other.
  Scenario: No key is in a log line, a message between hosts, a row of the store or a metric
    Given 2 hosts before a platform with accounts
    When requests of all kinds are sent to each host with the key of account "acme"
    And requests of all kinds are sent with an unknown key
    And configurations are written that cannot be read
    Then no key is in any line, message, row or metric
    And the lines of answered requests name account "acme"

  # Guards against changes for deployments without accounts.
  Scenario: Without accounts no key is checked, and the headers are forwarded as they are
    Given 1 host before a platform with 1 engine
    When requests of all kinds are sent with the key of account "acme" and headers Tenant: globex
    Then each is answered, and the endpoint saw the key and account "globex"
    When accounts are configured
    And requests of all kinds are sent with no key
    Then they are refused with 401 and code "key_unknown" within 500 ms, and no endpoint saw them
    When the configuration has no accounts any more
    And requests of all kinds are sent with the key of account "acme" and headers Tenant: globex
    Then each is answered, and the endpoint saw the key and account "globex"

  # A configuration that was never read must not look like one that knows no key.
  Scenario: A host without a configuration refuses requests as not run
    Given a platform with 1 engines whose store is silent
    When a host starts, and a request with an unknown key is sent to it
    Then it is refused with 503

  # Guards against an operator's mistake in one account that harms the others or the process.
  Scenario: Invalid accounts are left out, with one line for each version
    Given 1 host before a platform with accounts
    Then each of these configurations leaves the host with the keys that it states, and the number of lines:
      | accounts                                                                                   | valid    | invalid             | lines |
      | [{"name":"acme","apiKeys":["key-acme"]}]                                                   | key-acme |                     | 0     |
      | [{"name":"acme","apiKeys":["key-acme"],"ratePerS":-5,"burst":"x","unit":7,"priority":1.5}] | key-acme |                     | 1     |
      | [{"name":"acme","apiKeys":["key-acme"]},{"apiKeys":["key-1"]},7,null,"x",{"name":8},{}]    | key-acme | key-1               | 1     |
      | [{"name":"acme","apiKeys":["key-acme","key-2"]},{"name":"globex","apiKeys":["key-2"]}]     | key-acme | key-2               | 1     |
      | [{"name":"acme","apiKeys":["key-acme",5,"",null,"a b"]},{"name":"acme","apiKeys":["k3"]}]  | key-acme | k3                  | 1     |
      | [{"name":"acme","apiKeys":["key-acme"]},{"name":"bell\u0007","apiKeys":["key-4"]}]         | key-acme | key-4               | 1     |
      | [{"name":"acme","apiKeys":"key-acme"}]                                                     |          | key-acme            | 1     |
      | [{"name":"acme"}]                                                                          |          | key-acme            | 0     |
      | {"acme":"key-acme"}                                                                        |          | key-acme            | 1     |
      | "key-acme"                                                                                 |          | key-acme            | 1     |
      | []                                                                                         |          | key-acme            | 0     |
      | [{"name":"acme","apiKeys":["key-acme"]}]                                                   | key-acme |                     | 0     |
      | 5000 accounts, of which 2500 are invalid                                                   | key-acme | key-of-account-4998 | 1     |
