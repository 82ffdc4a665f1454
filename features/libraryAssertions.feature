Feature: Names of a library's assertions
  An assertion of the bundled HTTP client that fails tells its file and expression.

  # Guards against assertions that fail without a name, and against names that change what is asserted.
  Scenario Outline: The assertion <source>
    Given the assertion <source> with x = "a)" in a bundled file
    Then it fails with <message>

    Examples:
      | source                              | message                         |
      | assert(x === 'b')                   | file.js: x === 'b'              |
      | assert(x === 'b') // a comment      | file.js: x === 'b'              |
      | assert(x.endsWith('(') && [1, 2]);  | file.js: x.endsWith('(') && [1, 2] |
      | assert(x !== 'a)')                  | file.js: x !== 'a)'             |
      | assert(x === "'", 'no quote')       | no quote                        |
      | assert(\n  x.length === 3\n)        | file.js: x.length === 3         |
      | assert(\n  x === 'b',\n  'no b'\n)  | no b                            |

  Scenario Outline: A build fails for <source>
    Given the assertion <source> with x = "a)" in a bundled file
    Then its file cannot be bundled

    Examples:
      | source                       |
      | if (x) assert(x === 'b')     |
      | assert.equal(x, 'b')         |
      | assert(/\\)/.test(x))        |
      | assert(x) \|\| x('b')        |

  Scenario: Every assertion of the HTTP client has a message
    When all files of the HTTP client are read as they are bundled
    Then each of their assertions is named or has a message, and nothing else differs

  # Guards against a library that cannot tell what it finds wrong, as a part of node:assert that it uses is missing in the bundle.
  Scenario: A library that creates its own assertion errors names what is wrong
    When a library with checks of its own finds a number where it needs a text
    Then the error is an AssertionError with the message "name (string) is required"
