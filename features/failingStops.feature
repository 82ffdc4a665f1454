Feature: Stops that fail
  A process whose stop fails says why on one line, as one whose start fails does.

  # Guards against a stop whose failure nothing handles.
  Scenario Outline: The stop of a process fails <when>
    Given a program whose stop fails, and that gets SIGTERM <when>
    Then it ends with code 1, and its only line is "trial: the store is gone"

    Examples:
      | when             |
      | while it starts  |
      | after it started |
