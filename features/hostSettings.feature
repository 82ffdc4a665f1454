Feature: Host settings from the users' platform
  The platform writes one settings file for each process. A host reads the fields that it needs and reports invalid ones.

  Scenario: The platform's settings file is read
    Given the settings file of a published site
    Then the host is "frontend-sala-unu-1" in "sala-unu" with callers at "10.1.0.38:8149"
    And its retry budget is 0.2 of the requests plus 58 in 10000 ms

  Scenario: Unknown fields are ignored
    Given the settings file of a published site
    And the field "futureField" is "anything"
    Then the host is "frontend-sala-unu-1" in "sala-unu" with callers at "10.1.0.38:8149"

  Scenario Outline: An invalid file is rejected with the reason
    Given the settings file of a published site
    And the field "<field>" is "<value>"
    Then the settings are rejected with "<reason>"

    Examples:
      | field     | value | reason    |
      | ipAddress |       | ipAddress |
      | platform  | none  | platform  |

  Scenario: A truncated file is rejected
    Given a settings file that is truncated in the middle
    Then the settings are rejected with "is not valid JSON"

  # Guards against wrong settings that end a process like a fault of its own.
  Scenario Outline: The program ends with the code of wrong settings for <file>
    Given <file>
    When the host's program is run with that file
    Then the program exits with code 2 and prints "<reason>"

    Examples:
      | file                                            | reason            |
      | a settings file that is truncated in the middle | is not valid JSON |
      | a settings file that does not exist             | cannot be read    |

  # Guards against a start that ends because it read the file while the platform replaced it.
  Scenario Outline: A host starts with a settings file that <state> at first
    Given a host whose settings file <state> when it is first read, and is whole from then on
    Then the host starts, and ends with code 0 at SIGTERM

    Examples:
      | state                      |
      | does not exist             |
      | is empty                   |
      | is truncated in the middle |

  Scenario: A stop ends the wait for a settings file
    Given a host whose settings file does not exist, and which gets SIGTERM when it has read it
    Then the host's program ends with code 0

  # Guards against a message on stderr that ends the process where it cannot be written.
  Scenario Outline: A host whose stderr <stderr> waits for its settings file
    Given a host whose stderr <stderr>, and whose settings file does not exist when it is first read
    Then the host starts, and ends with code 0 at SIGTERM

    Examples:
      | stderr            |
      | is on a full disk |
      | has no reader     |

  Scenario Outline: A host whose stderr <stderr> runs on when it is asked for its state
    Given a host whose stderr <stderr>, and whose settings file exists when it is first read
    When the host has started, and gets SIGUSR2
    Then the host starts, and ends with code 0 at SIGTERM

    Examples:
      | stderr            |
      | is on a full disk |
      | has no reader     |

  Scenario Outline: The code of wrong settings does not depend on a stderr that <stderr>
    Given a host whose stderr <stderr>, and whose settings file is wrong
    Then the host's program ends with code 2

    Examples:
      | stderr            |
      | is on a full disk |
      | has no reader     |

  Scenario: The program describes its command line and rejects an invalid one
    When the host's program is run with "--help"
    Then the program exits with code 0 and prints "--metrics PORT"
    When the host's program is run with "--metrics 70000"
    Then the program exits with code 2 and prints "--metrics names no port"

  Scenario: The host's program is built with compiled code for serving requests
    When the host's program is built
    Then the build reports no failed warm-up
    And the program contains more compiled code than startup needs

  # Guards against a start that ends because the compiled code cannot be read, or that cannot be said.
  Scenario Outline: The deployed program, whose stderr <stderr>, starts without its compiled code
    When the host's program is built, and run with "--help" and a stderr that <stderr>, without its compiled code
    Then the program exits with code 0 and prints "--metrics PORT"

    Examples:
      | stderr            |
      | is on a full disk |
      | has no reader     |
