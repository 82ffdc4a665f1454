Feature: Writes whose answer is lost
  A writer says "applied" or "not applied" only where that stays true.

  Scenario Outline: The answer of a write is lost
    Given a table writer
    And the platform's fault "<fault>" is set to 1
    When the row "a" is written
    Then the writer says "<verdict>"
    And after 10 seconds the row "a" is <state>

    Examples:
      | fault       | verdict    | state   |
      | lostAnswers | applied    | present |
      | lostWrites  | notApplied | absent  |
      | lateWrites  | notApplied | absent  |

  Scenario: Without the fence a late write breaks what the writer said
    Given a table writer that does not fence
    And the platform's fault "lateWrites" is set to 1
    When the row "a" is written
    Then the writer says "notApplied"
    And after 10 seconds the row "a" is present

  Scenario: The table goes down before the answer is known
    Given a table writer
    And the platform's fault "lostAnswers" is set to 1
    And the table goes down as soon as the answer is lost
    When the row "a" is written
    Then the writer says "unknown"
    And once the table is back the writer says "applied"

  Scenario: Tokens of settled writes are removed
    Given a table writer
    When the row "a" is written
    And the row "b" is written
    Then the table holds 1 token
