Feature: Errors that nothing catches
  A process that has an error which nothing catches answers the requests in flight, and ends with code 1.

  # Guards against an error that takes the answers of all requests on a host, and of which the log tells neither the text nor the place.
  Scenario Outline: A host in which <what> answers what is in flight and ends
    Given a host process in which <what> while it serves a plain request
    When a caller reads a stream, and another one sends that plain request
    Then both answers are whole, and the metrics of the host that stops count <errors> uncaught errors
    And the host ends with code 1 within its grace, and its lines name <errors> errors and their stacks before its stop
    And no line that it wrote has more than 5000 characters

    Examples:
      | what                       | errors |
      | a timer throws             | 1      |
      | a promise is rejected      | 1      |
      | timers throw twice         | 2      |
      | a timer throws a long text | 1      |

  Scenario: A host in which errors go on ends at once
    Given a host process in which timers go on throwing while it serves a plain request
    When a caller reads a stream, and another one sends that plain request
    Then the host ends with code 1 before it has stopped, after 11 errors

  Scenario: A gateway in which a timer throws answers what is in flight and ends
    Given a gateway process in which a timer throws while a completion runs
    When a caller sends that completion
    Then the answer is whole, and the gateway ends with code 1 and one line of stderr that names the error

  Scenario Outline: A program <program> ends with code 1 <when>
    Given a program <program>, with 2000 ms for its stop, which has no end
    Then the program ends with code 1 <when>, and its only line is of the error

    Examples:
      | program                           | when          |
      | that throws before it has started | at once       |
      | that throws                       | after 2000 ms |
      | that throws and gets SIGTERM      | after 2000 ms |
      | that throws and gets SIGINT       | at once       |
      | that throws an unreadable error   | after 2000 ms |
