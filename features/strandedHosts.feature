Feature: Hosts that are partitioned from all endpoints
  A host that reaches no endpoint, while callers, the store and other hosts reach it, has its requests served through the others.

  Scenario Outline: Callers of a host whose connections to endpoints <fault> are served through other hosts
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of host 1 to all endpoints <fault>
    And 2000 ms pass
    And 24 requests of all kinds are sent to host 1 within 1200 ms
    Then at least 22 of the last 24 answers are whole, without a wait of 1000 ms
    And no endpoint saw what no host may do
    And no endpoint is taken for crashed
    When the links of host 1 are back
    And 1200 ms pass
    And 12 requests of all kinds are sent to host 1 within 600 ms
    Then the last 12 requests were sent to endpoints by host 1 itself

    Examples:
      | fault                               |
      | hang                                |
      | are reset and refused               |
      | live on while new ones are refused  |

  Scenario Outline: Streams that run when the connections of their host <fault> go on through another host
    Given 3 hosts with links of their own to 2 engines and 2 services
    When 6 resumable streams of 1600 ms begin at host 1
    And the links of host 1 to all endpoints <fault>
    Then the streams are whole, and none has events twice

    Examples:
      | fault                 |
      | hang                  |
      | are reset and refused |

  # Guards against requests that cross the close of connections between hosts at the end of a stop.
  Scenario: Requests that a host sends through one that stops are answered or refused as not run
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of host 1 to all endpoints are reset and refused
    And 2000 ms pass
    And 48 requests of all kinds are sent to host 1 within 1200 ms
    Then host 1 has sent requests through host 2
    When 160 requests that may run once only are sent to host 1 within 4000 ms, as host 2 begins to stop
    Then each of the last 160 requests is answered, or refused and not run
    And host 1 has sent none through host 2 in the last 1000 ms of its stop
    And no endpoint saw what no host may do

  Scenario: Engines of an owner that reaches none of them get another owner
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of the first engine's owner to all endpoints hang
    Then every engine is owned by another host within 3000 ms
    And no endpoint saw what no host may do

  Scenario: Requests that no host can serve are refused at once
    Given 3 hosts with links of their own to 2 engines and 2 services
    When the links of all hosts to all endpoints are reset and refused
    And 2000 ms pass
    And 12 requests of all kinds are sent to host 1 within 600 ms
    Then the last 12 are refused within 300 ms, with a time to come back

  Scenario: An endpoint that falls silent for a second strands no host
    Given 3 hosts with links of their own to 2 engines and 2 services
    When endpoint 1 of "llm" is silent for 1200 ms while 24 requests of all kinds are sent to host 1
    Then no host counts as stranded

  Scenario Outline: Requests at a host that <state> are <fate>
    Given a host that has forwarded a request to a peer, and got nothing for <silentMs> ms
    When the peer <state>
    Then the forwarded request is <fate>

    Examples:
      | state               | silentMs | fate       |
      | responds to no ping | 1500     | given up   |
      | responds to pings   | 1500     | not touched |
      | responds to no ping | 500      | not touched |

  Scenario Outline: Two endpoints that fail strand no host whose third one is only idle
    Given a service with two endpoints whose connections fail since <failingMs> ms, and a third one
    When the third was last heard <heardMs> ms ago
    Then the host <state> the service

    Examples:
      | failingMs | heardMs | state       |
      | 50        | 5000    | reaches     |
      | 400       | 200     | reaches     |
      | 400       | 5000    | has lost    |
