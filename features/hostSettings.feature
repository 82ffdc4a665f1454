Feature: Settings of a host on the users' platform
  The platform writes one file for each process; a host reads what it needs and names what is wrong.

  Scenario: A settings file of the platform is read
    Given the settings file of a published site
    Then the host is "frontend-sala-unu-1" in "sala-unu" with callers at "10.1.0.38:8149"
    And its retry budget is 0.2 of the requests and 58 more in 10000 ms

  Scenario: Fields that are not known are passed over
    Given the settings file of a published site
    And the field "futureField" is "anything"
    Then the host is "frontend-sala-unu-1" in "sala-unu" with callers at "10.1.0.38:8149"

  Scenario Outline: A wrong file is refused with the reason
    Given the settings file of a published site
    And the field "<field>" is "<value>"
    Then the settings are refused with "<note>"

    Examples:
      | field     | value | note      |
      | ipAddress |       | ipAddress |
      | platform  | none  | platform  |

  Scenario: A file that is cut off is refused
    Given a settings file that is cut off in the middle
    Then the settings are refused with "holds no JSON"

  Scenario: The program tells how it is started
    When the host's program is started with "--help"
    Then the program ends with code 0 and prints "--metrics PORT"
    When the host's program is started with "--metrics 70000"
    Then the program ends with code 2 and prints "--metrics names no port"

  Scenario: The host's program is built with the code that it runs while it serves
    When the host's program is built
    Then the build says nothing of a warm-up that failed
    And the program holds more compiled code than a start needs
