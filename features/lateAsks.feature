Feature: Messages about reservations that arrive late
  A host sends its request for a reservation again when no reply comes, and datagrams may overtake each other.

  Scenario: A request for a reservation that arrives behind its release
    Given an allocator of an engine that has granted a reservation
    When the reservation is released
    And the request for it arrives once more
    Then the allocator counts no running request
    And it has sent 1 reply

  Scenario: A report of running requests that arrives behind the release of one
    Given an allocator of an engine that has granted a reservation
    When the reservation is released
    And a report arrives that names it
    Then the allocator counts no running request

  Scenario: The release of a reservation whose request has not arrived
    Given an allocator of an engine that has granted a reservation
    When the reservation is released
    And another one is released whose request arrives afterwards
    Then the allocator counts no running request
