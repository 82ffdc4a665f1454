Feature: Requests at a host that stops
  Whatever a host has read is answered before its connection closes, and what it cannot complete in time is left to other hosts.

  Scenario: Requests that are still in progress at the end of the grace are cut without an answer
    Given 2 hosts with 4000 ms to stop before 1 engine and 2 services
    When every endpoint takes requests and answers nothing
    And 8 requests of all kinds with a deadline of 20000 ms are sent to host 1
    And host 1 stops
    Then each of them is answered with 502, and runs at most once

  Scenario: A request that comes late in the grace and cannot end in time is passed on
    Given 2 hosts with 5000 ms to stop before 1 engine and 2 services
    When streams take 3500 ms at host 1, as several have shown
    And host 1 stops, and 2400 ms later a stream and a call with a deadline of 20000 ms are sent to it
    Then the stream is refused within 500 ms with a time to come back, and never runs
    And the call is answered as a whole

  # Guards against a call to the store that outlasts the stop, which then ends in SIGKILL.
  Scenario Outline: A host whose store is <state> ends within its time for a stop
    Given 1 hosts with <time> ms to stop before 2 engine and 1 services
    When the store is <state>, and host 1 stops 700 ms later
    Then the stop takes less than <time> ms

    Examples:
      | state  | time |
      | silent | 3000 |
      | silent | 4300 |
      | silent | 8000 |
      | busy   | 4300 |

  Scenario Outline: The time that a route's requests take is taken for shorter than it is
    Given <old> requests that took 9000 ms, and then <short> that took 100 ms and <long> that took 800 ms
    Then 95% of its requests end within <common> ms, and 99% within <rare> ms

    Examples:
      | old | short | long | common | rare |
      | 0   | 0     | 1    | 800    | 800  |
      | 0   | 99    | 1    | 100    | 100  |
      | 0   | 98    | 2    | 100    | 800  |
      | 0   | 94    | 6    | 800    | 800  |
      | 40  | 128   | 0    | 100    | 100  |
      | 40  | 100   | 0    | 9000   | 9000 |
