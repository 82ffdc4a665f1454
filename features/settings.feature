Feature: Settings and command lines
  Wrong settings end a process with one line that names file, section, key and what is expected.

  Scenario Outline: A wrong file of the stand-ins
    Then the stand-ins' settings "<text>" are refused with "<message>"

    Examples:
      | text                         | message                                                                                          |
      | [engines]\nslot = 3          | [engines] slot is unknown; expected one of count, firstPort, zones, baseModel, slots             |
      | [engine]\ncount = 3          | section [engine] is unknown; expected one of platform, engines, store, services                  |
      | slots = 3                    | section [slots] is unknown; expected one of platform, engines, store, services                   |
      | [engines]\nslots = many      | [engines] slots is "many"; expected a whole number of adapter slots from 1                       |
      | [engines]\nslots = 7.5       | [engines] slots is 7.5; expected a whole number of adapter slots from 1                          |
      | [engines]\nslots = 1e3       | [engines] slots is "1e3"; expected a whole number of adapter slots from 1                        |
      | [engines]\nslots = 0         | [engines] slots is 0; expected a whole number of adapter slots from 1                            |
      | [engines]\nslots             | [engines] slots is true; expected a whole number of adapter slots from 1                         |
      | [platform]\nport = 70000     | [platform] port is 70000; expected a port from 0 to 65535; 0 takes a free one                    |
      | [platform]\naddress = 1.2.3  | [platform] address is "1.2.3"; expected an IP number such as 10.0.0.7                            |
      | [platform]\naddress = 1.2.3.256 | [platform] address is "1.2.3.256"; expected an IP number such as 10.0.0.7                     |
      | [store]\nloadMs = -1         | [store] loadMs is -1; expected a time in milliseconds from 0                                     |

  Scenario: A wrong shared key is not printed
    Then the gateway's settings "[host]\nid = g\nzone = z\n[platform]\naddress = 127.0.0.1:1\n[peers]\nkey = hunter2" are refused with "[peers] key is not accepted; expected a shared key of at least 16 characters"

  Scenario: A key put in place of its hash is not printed
    Then the gateway's settings "[host]\nid = g\nzone = z\n[platform]\naddress = 127.0.0.1:1\n[peers]\nkey = 0123456789abcdef\n[operators]\nkeyHash = hunter2" are refused with "[operators] keyHash is not accepted; expected the SHA-256 of a key"

  Scenario Outline: Command lines of each binary
    When "<binary>" is run with "--help"
    Then it ends with code 0 and prints "--check FILE.ini"
    When "<binary>" is run with "--version"
    Then it ends with code 0 and prints "sedgevalve-<binary> 0."
    When "<binary>" is run with "missing.ini"
    Then it ends with code 2 and one line of error that contains "missing.ini: the file cannot be read (ENOENT)"
    When "<binary>" is run with "--fast"
    Then it ends with code 2 and one line of error that contains "--fast"
    When "<binary>" is run with ""
    Then it ends with code 2 and one line of error that contains "no settings file is named"
    When "<binary>" is run with a file that holds "[nonsense]"
    Then it ends with code 2 and one line of error that contains ".ini: section [nonsense] is unknown"

    Examples:
      | binary    |
      | gateway   |
      | scheduler |
      | standin   |

  Scenario: Command line of the client
    When "sedgevalvectl" is run with "--help"
    Then it ends with code 0 and prints "--check FILE.ini"
    When "sedgevalvectl" is run with "--version"
    Then it ends with code 0 and prints "sedgevalvectl 0."
    When "sedgevalvectl" is run with "--check"
    Then it ends with code 2 and one line of error that contains "no settings file is named"
    When "sedgevalvectl" checks a file that holds "[operators]\naddress = here"
    Then it ends with code 2 and one line of error that contains ".ini: [operators] address is "here"; expected an IP number and a port"
    When "sedgevalvectl" checks a file that holds "[operators]\naddress = 127.0.0.1:7481"
    Then it ends with code 0 and prints "the settings are right"

  Scenario Outline: A port in use
    Given a port that is in use
    When "<binary>" is run with a file that holds "<text>" and the port in use as "<section>" "<key>"
    Then it ends with code 2 and one line of error that names the port in use, "[<section>] <key>" and "expected a free port"

    Examples:
      | binary    | section  | key       | text                                                                                                                                       |
      | standin   | platform | port      |                                                                                                                                            |
      | standin   | engines  | firstPort | [platform]\nport = 0\n[engines]\ncount = 1                                                                                                 |
      | scheduler | peers    | port      | [host]\nid = s\nzone = z\n[platform]\naddress = 127.0.0.1:1\n[peers]\nkey = 0123456789abcdef                                               |
      | gateway   | callers  | port      | [host]\nid = g\nzone = z\n[platform]\naddress = 127.0.0.1:1\n[peers]\nkey = 0123456789abcdef\n[operators]\nport = 0                        |

  Scenario: Every example is right
    Then every file under "examples" passes the check of its binary
    And the examples have the hosts, zones, engines and services of "scutire": 8, 3, 8, 3
    And the examples have the hosts, zones, engines and services of "blue-mahoe": 7, 4, 6, 4

  Scenario: The page on settings names every key
    Then "docs/operations/settings.md" names every section and key of each binary
