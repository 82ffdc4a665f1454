Feature: What must always hold, on the path of a request
  Callers' answers are held against the engines' and services' own journals.

  Scenario: A busy system while versions change
    Given a busy system of 2 engines with 2 slots
    When 90 requests are sent, 12 at once, while current versions change
    Then no promise was broken
    And every request was answered whole
    And requests for a bare name sent after the last change ran on version "2"

  Scenario: A busy system while engines fail
    Given a busy system of 2 engines with 2 slots
    When 90 requests are sent, 12 at once, while engines fail
    Then no promise was broken

  Scenario Outline: Without <mechanism>, <finding> shows
    Given a busy system of 2 engines with 2 slots, without <mechanism>
    When 90 requests are sent, 12 at once, while engines fail
    Then the judgement finds "<finding>"

    Examples:
      | mechanism                                  | finding              |
      | a handle for each version                  | mixed                |
      | waiting until a handle is idle             | unloadedWhileServing |
      | the offset of a resumed stream             | doubled              |
      | the last event of a stream                 | cutShort             |
      | the verdict of lost connections            | ranThoughNotRun      |

  Scenario Outline: A decision whose connection is cut runs at most once
    Given a busy system of 2 engines with 2 slots
    And the services' fault <fault>
    When 20 decisions are posted, 4 at once
    Then no decision has run twice
    And no decision that was called not run has run
    And a decision was answered "<verdict>"

    Examples:
      | fault                    | verdict      |
      | {"cutBeforeRunning":5}   | may-have-run |
      | {"cutAfterRunning":5}    | may-have-run |

  Scenario: A decision whose endpoint cannot be reached runs elsewhere
    Given a busy system of 2 engines with 2 slots
    And 1 service has stopped
    When 20 decisions are posted, 4 at once
    Then every decision has run once

  Scenario: Without the verdict of lost connections, a decision runs twice
    Given a busy system of 2 engines with 2 slots, without the verdict of lost calls
    And the services' fault {"cutAfterRunning":5}
    When 20 decisions are posted, 4 at once
    Then a decision has run twice

  Scenario: A leaving engine gets no new work
    Given a busy system of 2 engines with 2 slots
    When engine 1 has shown as leaving for 3000 ms, with requests under way
    And 30 requests are sent, 6 at once
    Then engine 1 has started none of them
    And every request was answered whole

  Scenario: Without the list's entry, a leaving engine gets work
    Given a busy system of 2 engines with 2 slots, without the presence on the list
    When engine 1 has shown as leaving for 3000 ms, with requests under way
    And 30 requests are sent, 6 at once
    Then engine 1 has started some of them

  Scenario: A leaving service gets no new work
    Given a busy system of 2 engines with 2 slots
    When service 1 has shown as leaving for 3000 ms
    And 20 decisions are posted, 4 at once
    Then service 1 has run none of them

  Scenario: Without the list's entry, a leaving service gets work
    Given a busy system of 2 engines with 2 slots, without the presence on the list
    When service 1 has shown as leaving for 3000 ms
    And 20 decisions are posted, 4 at once
    Then service 1 has run some of them

  Scenario Outline: What stops or leaves cuts nothing off: <event>
    Given a busy system of 2 engines with 2 slots
    When a long stream runs and <event>
    Then every request was answered whole

    Examples:
      | event                 |
      | every gateway stops   |
      | every scheduler stops |
      | every engine leaves   |

  Scenario Outline: Without <mechanism>, a stream is cut off when <event>
    Given a busy system of 2 engines with 2 slots, without <mechanism>
    When a long stream runs and <event>
    Then the stream is cut off and says so

    Examples:
      | mechanism                           | event                 |
      | the wait for answers in progress    | every gateway stops   |
      | the wait for running attempts       | every scheduler stops |
      | the rule that running attempts stay | every engine leaves   |
