Feature: Writes whose response is lost
  A writer reports "applied" or "not applied" only where that outcome is final.

  Scenario Outline: The response to a write is lost
    Given a table writer
    And the platform's fault "<fault>" is set to 1
    When the row "a" is written
    Then the writer reports "<verdict>"
    And after 10 seconds the row "a" is <state>

    Examples:
      | fault       | verdict    | state   |
      | lostAnswers | applied    | present |
      | lostWrites  | notApplied | absent  |
      | lateWrites  | notApplied | absent  |

  Scenario: Without fencing a late write contradicts what the writer reported
    Given a table writer that does not fence
    And the platform's fault "lateWrites" is set to 1
    When the row "a" is written
    Then the writer reports "notApplied"
    And after 10 seconds the row "a" is present

  Scenario: The table goes down before the outcome is known
    Given a table writer
    And the platform's fault "lostAnswers" is set to 1
    And the table goes down as soon as the response is lost
    When the row "a" is written
    Then the writer reports "unknown"
    And once the table is back the writer reports "applied"

  Scenario: Tokens of resolved writes are removed
    Given a table writer
    When the row "a" is written
    And the row "b" is written
    Then the table holds 1 token
