Feature: Requests that arrive while a host closes its connections
  A request that has reached the host when it closes idle connections is read and answered.

  # Guards against a process that had no processor for a while and closes connections before it reads what has arrived on them.
  Scenario Outline: Requests that arrived while the process stood still at the close are answered on <connections>
    Given a listener that answers requests at once
    When requests arrive on 4 <connections>, and its process stands still beyond the time of the close
    Then each of these requests is answered

    Examples:
      | connections                            |
      | connections with an earlier answer     |
      | connections without an earlier request |

  # Guards against an idle time-out that ran out during a standstill and closes connections before what arrived on them is read.
  Scenario: Requests that arrived while the process stood still beyond the idle time-out are answered
    Given a listener that answers requests at once, and closes connections that stay idle
    When requests arrive on 4 connections with an earlier answer, and its process stands still beyond the idle time-out
    Then each of these requests is answered

  # Guards against connections with a part of a head that stay open, as Node.js 20.19 ends their idle time-out at its first byte.
  Scenario: Connections on which nothing arrived beyond the idle time-out are closed, a standstill or not
    Given a listener that answers requests at once, and closes connections that stay idle
    When 4 connections get an answer, one of them begins another request, and its process stands still beyond the idle time-out
    Then each of these connections is closed within 1500 ms

  # Guards against an idle time-out that closes connections on which a request is arriving or in progress.
  Scenario Outline: Requests whose heads arrive in parts are answered, <connections> and <ms> ms between parts
    Given a listener that answers requests at once, and closes connections that stay idle
    When requests arrive in 4 parts on 4 <connections>, <ms> ms between them
    Then each of these requests is answered

    Examples:
      | connections                            | ms   |
      | connections with an earlier answer     | 600  |
      | connections without an earlier request | 1300 |

  Scenario: Requests whose heads' ends arrived while the process stood still beyond the idle time-out are answered
    Given a listener that answers requests at once, and closes connections that stay idle
    When the ends of 4 requests arrive on connections with an earlier answer, and its process stands still beyond the idle time-out
    Then each of these requests is answered

  Scenario: Responses that take longer than the idle time-out are whole
    Given a listener that answers requests after 2500 ms, and closes connections that stay idle
    When 4 callers send two requests each, one after the other
    Then each of these requests is answered

  # Guards against an exception after a response, which ended the host.
  Scenario Outline: Requests are answered with an idle time-out of <ms> ms, which sets none
    Given a listener that answers requests at once, with an idle time-out of <ms> ms
    When 4 callers send two requests each, one after the other
    Then each of these requests is answered

    Examples:
      | ms    |
      | 0     |
      | -1    |
      | -5000 |

  Scenario: Requests on connections that were opened while the process stood still at the close are answered
    Given a listener that answers requests at once
    When 8 connections are opened and send a request, and its process stands still beyond the time of the close
    Then each of these requests is answered

  # Guards against connections of other hosts that are cut before these have heard of the stop, with requests that cross the close.
  Scenario: Requests that other hosts send to a host that has begun to stop are answered
    Given 2 hosts before 1 engine and 2 services
    When 4 connections to the port of host 2 for other hosts get a request as it begins to stop, and an idle and a new one 300 ms later
    Then each of these requests is answered

  # Guards against a close that is announced before what arrived during a standstill has been read.
  Scenario: Requests that arrived while the process stood still before a response announced the close are answered
    Given a draining listener whose process stands still before its first response on a connection
    When 4 callers send a request, and another one during the standstill
    Then each of these requests is answered
