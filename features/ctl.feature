Feature: The operators' client
  Operators steer by targets and registrations, in words that say what they mean.

  Background:
    Given a system with 1 engine, 1 scheduler and 2 gateways

  Scenario Outline: A class has one target, in a natural form
    When an operator runs "class set lesson <target>"
    Then the client ends with code 0
    When an operator runs "class show lesson"
    Then the client prints "target: <shown>"

    Examples:
      | target                     | shown                    |
      | --first-token-within 450ms | first token within 450ms |
      | --whole-answer-within 2.5s | whole answer within 2.5s |
      | --finish-within 4h         | finish within 4h         |
      | --finish-by 06:00          | finish by 06:00 UTC      |

  Scenario Outline: Wrong command lines name what to do
    When an operator runs "<words>"
    Then the client ends with code 2
    And the client notes "<note>"

    Examples:
      | words                                       | note                                                       |
      | class set lesson                            | give one of --first-token-within                           |
      | class set lesson --finish-within 4 days     | expected "sedgevalvectl class set NAME"                    |
      | class set lesson --finish-within 4d         | expected a duration such as 450ms, 5s, 10min or 4h         |
      | class set lesson --weight 3                 | Unknown option '--weight'                                  |
      | class set lesson --finish-within 1h --finish-by 06:00 | a class has one target                           |
      | clas list                                   | "clas" is no command                                       |
      | adapter set new-one                         | give --base-model and --versions                           |
      | class show counter --address localhost:7481 | expected an IP number and a port                           |

  Scenario: The loser of a race is shown what the winner left
    Given an operator has run "class set lesson --finish-within 1h"
    When an operator runs "class set lesson --finish-within 2h --if-version 0"
    Then the client ends with code 3
    And the client notes "finish within 1h"

  Scenario: Of two operators at the same moment one wins, and the other is told
    When two operators set class "lesson" to 1h and 2h on two gateways at the same moment
    Then one client ends with code 0 and the other with code 3
    And class "lesson" has the winner's target, which the loser was shown

  Scenario: A change that is wrong in itself
    When an operator runs "adapter set kit-tutor --default-class nobody"
    Then the client ends with code 4
    And the client notes "class "nobody" of adapter "kit-tutor" does not exist"
    When an operator runs "class remove nobody"
    Then the client ends with code 4

  Scenario: A new version serves the next request
    Given an operator has run "version set kit-tutor 7 --current"
    When a caller asks for 3 tokens from "kit-tutor"
    Then the answer is whole, with 3 tokens from "kit-tutor@7"
    When an operator runs "version remove kit-tutor 7"
    Then the client ends with code 4

  Scenario: A new key is shown once and opens what it was given
    When an operator runs "key set desk --role operator"
    Then the client ends with code 0
    And the new key opens "status" and stands in no list
    And the hash of the new key, read from a file, is the registered one

  Scenario: Thousands of adapters from a file
    Given a file "many.csv" with 3000 adapters
    When an operator runs "adapter import many.csv"
    Then the client ends with code 0
    And the client notes "2000 of 3000 adapters checked"
    And 3002 adapters are registered

  Scenario Outline: A file of adapters is taken as a whole or not at all
    Given a file "many.csv" with 50 adapters, the last of them "<line>"
    When an operator runs "adapter import many.csv"
    Then the client ends with code <code>
    And the client notes "<note>"
    And 2 adapters are registered

    Examples:
      | line                     | code | note                                     |
      | bad name,base-1,1,1,     | 2    | many.csv, line 52: field "name" is wrong |
      | late,base-1,1 2,3,       | 2    | current version "3" is not among         |
      | adapter-1,base-1,1,1,    | 2    | adapter "adapter-1" stands twice         |
      | late,base-1,1,1,nobody   | 4    | class "nobody" of adapter "late"         |

  Scenario: The system cannot be reached
    When an operator runs "status --address 127.0.0.1:1"
    Then the client ends with code 5
    And the client notes "try another gateway with --address"

  Scenario: A caller's key opens nothing
    When somebody with a caller's key runs "class list"
    Then the client ends with code 4
    And the client notes "not registered for role "operator""

  Scenario: Jobs of all callers
    Given class "soon" finishes within 4000 ms
    And gateway 1 is asked to accept a job for "cluj-tax"
    When an operator lists jobs until the job is "finished"
    And an operator runs "job remove example-caller" with the job
    Then the client ends with code 4
    And the client notes "was not cancelled: it is finished"
    When an operator runs "job show nobody" with the job
    Then the client ends with code 4
    And the client notes "of caller "nobody" does not exist"
    When an operator runs "job explain example-caller" with the job
    Then the client ends with code 0
    And the client prints "accepted: the job is durable"
    And the client prints "run: a run begins"
    And the client prints "finished: the answer is stored"
    And the client prints "run 1 of those told:"
    And the client prints "ended:   ran: the whole answer was sent"
    When an operator runs "explain" with the job
    Then the client ends with code 4
    And the client notes "job explain CALLER"

  Scenario: A job that has not ended is cancelled
    Given class "soon" finishes within 60000 ms
    And an operator has run "adapter set nowhere --base-model base-9 --versions 1"
    And gateway 1 is asked to accept a job for "nowhere"
    When an operator runs "job remove example-caller" with the job
    Then the client ends with code 0
    And the client prints "state: cancelled"
    When an operator runs "job explain example-caller" with the job
    Then the client prints "cancelled: cancelled by operator "settings""

  Scenario: A story, a dump and a live feed
    Given a caller asks for 3 tokens from "cluj-tax"
    When an operator runs "explain" with the request
    Then the client prints "attempt 1: on "engine-1" of "scheduler-1", handle cluj-tax@2#"
    When an operator runs "dump scheduler-1 --json"
    Then the client prints JSON with role "scheduler"
    When an operator runs "watch --class counter --json" until it shows a decision of a caller's next request
    Then the client ends with code 0

  Scenario: Every command has a page
    Then every command has a page that names its actions, arguments and options

  Scenario: Completion knows every command
    When an operator runs "completion"
    Then the client prints "class) words='list show set remove'"
    And the client prints "--first-token-within"
