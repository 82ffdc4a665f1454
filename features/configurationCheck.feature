Feature: Check of a configuration before it is sent
  An operator learns from sedgevalve-check what hosts would do with a configuration. No output holds a key of an account, which every
  step here checks.

  # Guards against findings where nothing is wrong, with which scripts could not go by the exit code.
  Scenario: A configuration in order
    When a configuration with nothing changed is checked
    Then the check ends with code 0 and prints only "new.json: no errors"

  # Guards against a stack trace, or a quote of the file that holds a key, in place of a place and a reason.
  Scenario Outline: <file> is no configuration
    When <file> is checked
    Then the check ends with code 1 and prints "<text>"
    And the check prints "Nothing else was checked"

    Examples:
      | file                               | text                               |
      | an empty file                      | the file is empty                  |
      | text without JSON                  | not JSON from line 1, column 1 on  |
      | a file with a stray comma          | not JSON from line 3, column 14 on |
      | a file that is cut off             | the JSON ends too early, at line 2 |
      | a file with a byte order mark      | begins with a byte order mark      |
      | a million nested lists             | Expected object                    |
      | a number                           | Expected object                    |
      | a file of 4 MB                     | hosts cannot read it from the store |

  # Guards against values that hosts cannot decode, replace or ignore without an operator learning where they are.
  Scenario Outline: An error, <change>
    When a configuration with <change> is checked
    Then the check ends with code 1 and prints "<text>"

    Examples:
      | change                                                       | text                                                               |
      | routes[1].timeoutMs = "2000"                                 | routes[1].timeoutMs: Expected number                               |
      | limits = nothing                                             | limits: Expected required property                                 |
      | services[1].engine.models = {}                               | services[1].engine.models: Expected array                          |
      | routes[1].timeOutMs = 2000                                   | routes[1].timeOutMs: hosts know no such field                      |
      | tenants[0].key-acme = 1                                      | tenants[0] (an unknown field): hosts know no such field            |
      | tenants = {"key-acme": 1}                                    | tenants: the accounts are not a list                               |
      | tenants[1].apiKeys = "key-globex"                            | tenants[1]: the entry has no valid name or key list                |
      | tenants[1].name = "acme"                                     | tenants[1].name: account "acme": another account has this name     |
      | tenants[1].name = "key-acme"                                 | tenants[1].name: the name is also a key of an account              |
      | tenants[1].apiKeys = ["key-acme"]                            | tenants[1].apiKeys: account "globex": another account has the same key |
      | tenants[0].apiKeys = ["key acme", "key-2"]                   | tenants[0].apiKeys: account "acme": a key is not a text            |
      | tenants[0].burst = -1                                        | tenants[0].burst: account "acme": "burst" is not a number          |
      | routes[1].routeKind = "once"                                 | routes[1].routeKind: the kind "once" is unknown                    |
      | routes[1].maxAttempts = 0                                    | routes[1].maxAttempts: hosts take 0 for 1                          |
      | routes[1].trafficSplit = [{"service": "claims", "weight": 1}] | routes[1].service: hosts ignore it                                |
      | routes[1].service = nothing                                  | routes[1].service (default) ("claims"): the route names no service |
      | routes[1].service = "clams"                                  | routes[1].service ("claims"): the configuration has no service "clams" |
      | routes[1].priority = 0.5                                     | routes[1].priority ("claims"): the priority 0.5 is not an integer  |
      | services[2] = {"name": "claims"}                             | services[0]: left out, as a later service has the name             |
      | limits.idleTimeoutMs = -1                                    | limits.idleTimeoutMs: -1 ms is no time                              |

  # Guards against a member that stands twice, of which JSON.parse silently takes the last.
  Scenario: A repeated field
    When a configuration with limits twice is checked
    Then the check ends with code 1 and prints "limits: the field stands more than once"

  # Guards against entries that look right and get no request; what is found has to be what the hosts' route table does.
  Scenario Outline: An entry that never matches, <change>
    When a configuration with <change> is checked
    Then the check prints "<text>"
    And the check ends with code <code>

    Examples:
      | change                                                  | text                                                        | code |
      | routes[2].prefix = "/claims/"                           | routes[1] ("claims"): hidden by route "status" (entry 2)    | 0    |
      | routes[2].prefix = "/status"                            | routes[2] ("status"): a prefix matches only if it ends with | 0    |
      | routes[2].prefix = "status/"                            | routes[2] ("status"): no request has a path that begins     | 0    |
      | routes[2].prefix = "/s/?a/"                             | a prefix with "?" matches nothing                           | 0    |
      | routes[2].hostname = "town.example:80"                  | a hostname with a port matches nothing                      | 0    |
      | routes[0].prefix = "/chat"                              | services[1] ("llm-pool"): no route reaches this service, nor its models "base-7b" | 0 |
      | routes[1].service = nothing; routes[1].trafficSplit = [{"service": "claims", "weight": 0}, {"service": "llm-pool", "weight": 1}] | service "claims" is never picked | 0 |
      | tenants[1].apiKeys = []                                 | tenants[1] ("globex"): the account has no usable key        | 0    |
      | tenants = []                                            | routes[1] ("claims"): it needs the key of an account        | 0    |

  # Guards against limits of which one makes another void; each text follows from what hosts do with the value.
  Scenario Outline: A contradiction, <change>
    When a configuration with <change> is checked
    Then the check prints "<text>"
    And the check ends with code 0

    Examples:
      | change                                  | text                                                                      |
      | tenants[0].burst = 599                  | tenants[0].burst ("acme"): the burst of 599 is smaller than the 600       |
      | tenants[0].ratePerS = 0                 | tenants[0].burst: it has no effect, as the account has no rate            |
      | tenants[0].unit = "requests"            | tenants: some accounts have no quota or quotas of another unit            |
      | tenants[0].plainTokens = 0              | tenants[0].plainTokens ("acme"): requests without token counts cost nothing |
      | tenants[0].priority = 1; tenants[1].priority = 0 | routes[1].priority ("claims"): the priority 1 has no effect      |
      | tenants = nothing                       | routes[2].public ("status"): without accounts all routes are public       |
      | routes[1].targetLatencyMs = 2001        | routes[1].targetLatencyMs ("claims"): the target of 2001 ms is longer     |
      | routes[2].targetLatencyMs = nothing; routes[2].timeoutMs = 999 | routes[2].targetLatencyMs (default) ("status"): the target of 1000 ms |
      | routes[0].targetGapMs = 6001            | routes[0].targetGapMs ("chat"): the target of 6001 ms between two events  |
      | routes[0].targetLatencyMs = 1501        | hosts end the stream after 6000 ms, before the 6004 ms                    |
      | routes[1].resumable = true              | routes[1].resumable ("claims"): it has no effect on a route that is no stream |
      | routes[1].routeKind = "non_idempotent"  | 2 attempts have no effect, as requests of this kind never run twice       |
      | routes[1].timeoutMs = 29; routes[1].targetLatencyMs = 20 | leaves no time for a second one                          |
      | routes[1].timeoutMs = 30001             | has no effect for callers that state no time                              |
      | routes[2].name = "claims"               | routes[2].name ("claims"): entry 1 has the same name                      |
      | services[1].maxConnections = 53         | services[1].engine.slots ("llm-pool"): a batch of 48 is never full, as hosts use 47 |
      | services[0].maxConnections = 0          | services[0].maxConnections ("claims"): each host opens one connection     |
      | services[1].engine.adapterSlotCount = 0 | no request with an adapter is granted with 0 slots                        |
      | limits.maxHeaderBytes = 65537           | limits.maxHeaderBytes: hosts reject heads of more than 65536 bytes        |
      | limits.maxHeaderBytes = 60              | routes[1].prefix ("claims"): the smallest head                            |
      | limits.maxBodyBytes = -1                | limits.maxBodyBytes: every request is rejected                            |
      | limits.headerTimeoutMs = 0              | limits.headerTimeoutMs: hosts wait 2000 ms for a head                     |

  # Guards against a default that counts as a change, and against changes that are matched by position.
  Scenario: Differences from the version in force
    Given in force is a configuration with version = 6; routes[0].maxAttempts = nothing; routes[0].priority = 0
    When a configuration with routes[0] = nothing; routes[0].timeoutMs = 2500; services[2] = {"name": "new"}; tenants[0].apiKeys = ["key-2", "key-3"]; tenants[1].burst = nothing is checked
    Then the differences are
      | changed version 6 7                                                |
      | removed routes "chat"                                              |
      | changed routes "claims".timeoutMs 2000 2500                        |
      | added services "new"                                               |
      | changed tenants "acme".apiKeys 1 in all 2 in all, 2 added, 1 removed |
      | changed tenants "globex".burst 60000 0                             |

  # Guards against a configuration that is sent and that hosts ignore for its version.
  Scenario: A version that is not higher than the one in force
    Given in force is a configuration with version = 7; limits.maxBodyBytes = 5
    When a configuration with nothing changed is checked
    Then the check ends with code 1 and prints "version: hosts with version 7 ignore version 7"

  # Guards against exit codes by which a script takes a wrong call for a configuration in order.
  Scenario Outline: The command line "<words>"
    When "sedgevalve-check <words>" runs
    Then the process ends with code 2 and one line with "<text>"

    Examples:
      | words         | text                         |
      |               | expected one or two files    |
      | --yaml a      | Unknown option '--yaml'      |
      | a b c         | expected one or two files    |
      | missing.json  | file "missing.json" cannot be read (ENOENT) |

  # Guards against an error of the reader itself, or one that hosts do not share, whatever is wrong with the document.
  Scenario: Any damage to a document
    When 2000 configurations are checked that are damaged at random
    Then each ends with code 0 or 1, and exactly those count as undecodable that hosts cannot decode

  # Guards against time that grows with the square of the entries.
  Scenario: Thousands of entries
    When a configuration with 6000 routes and 4000 accounts, half of them repeated, is checked
    Then the check ends with code 1 within 20 s
