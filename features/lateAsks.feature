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

  # Guards against reservations that no host uses or releases: their adapters count as in use until their callers' time is over.
  Scenario: A request for a reservation that arrives once more after its refusal
    Given an allocator of an engine that has granted a reservation
    And 3 more fill the batch of the engine
    When a request that may be declined arrives, and once more after the release of the reservation
    Then the allocator counts 3 running requests
    And its last 2 replies are the same refusal
