Feature: Long prompts beside short ones
  Short requests are not late behind long prompts while other engines are free, and long prompts are not starved.

  Scenario Outline: Short prompts do not wait behind long ones, and long ones start as early as before
    When 40 engines with batches of <batch> get <short> short and <long> long prompts per second for 20 s, due in <shortDue> and <longDue> ms
    Then if sizes are ignored, the 99th of 100 short prompts gets its first event after <before> ms or later
    And the 99th of 100 short prompts gets its first event within <after> ms
    And the median of the long prompts is no later than before, and at least as many are on time, also of the largest tenth
    And all long prompts are served

    Examples:
      | batch | short | long | shortDue | longDue | before | after |
      | 16    | 440   | 12   | 500      | 1000    | 500    | 150   |
      | 48    | 550   | 16   | 500      | 2000    | 500    | 150   |
      | 48    | 550   | 16   | 1000     | 1000    | 400    | 250   |

  Scenario: Nothing changes with prompts of one size
    When 8 engines with batches of 48 get 200 short and 0 long prompts per second for 20 s, due in 500 and 1000 ms
    Then all first events come at the same times as if sizes are ignored

  Scenario: Where no engine is free, long prompts give way to short ones for a bounded time
    When 8 engines with batches of 48 get 150 short and 8 long prompts per second for 20 s, due in 500 and 2000 ms
    Then if sizes are ignored, at least 0.08 of the short prompts are late
    And at most 0.03 of the short prompts are late
    And at most 0.03 fewer of the long prompts are on time than if sizes are ignored
    And all long prompts are served

  Scenario: Nothing is held back at an engine that would be idle, or for long
    Then in 500 random states a long prompt is held back only while there is backlog, and for less than a tenth of its time or 250 ms

  Scenario: Prompts of a new usual size are no longer long
    When an engine has received 100 prompts of 500 tokens
    Then a prompt of 9000 tokens is long
    When an engine has received 100 prompts of 9000 tokens
    Then a prompt of 9000 tokens is not long

  Scenario: Implausible token counts are replaced by the usual count of the route
    When prompts of route "chat" have 480 tokens, and those of route "files" 9000
    Then counts of 0, -5, NaN, Infinity and 200001 tokens count as 480 on route "chat" and as 9000 on route "files"

  Scenario: Prompts count as empty at an engine whose cache size is unknown
    When an engine's cache size is unknown
    Then prompts of 480 tokens count as 480, those of 0 tokens as 500 and those of 1e308 tokens as 480
