Feature: How the sources hang together

  Scenario: No file imports itself through others
    When the sources are read
    Then no imports go in a circle

  Scenario: Only platform/ knows the names on the wire
    When the sources are read
    Then no source outside "src/platform" names a header, call or field of the platform
