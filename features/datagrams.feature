Feature: Messages between hosts
  Hosts of the platform tell each other about places in datagrams.

  Scenario: What is sent when the socket is closed reaches nobody and harms nothing
    Given two hosts that exchange datagrams
    When the first one sends "before", closes its socket and sends "after"
    Then the second one has received only "before"

  Scenario: A message that cannot be read takes those in the same datagram with it
    Given two hosts that exchange datagrams
    When the first one sends "before", a message with a number that is not finite, and "after" at once
    Then the second one has received "before, after" and logged 1 message that it cannot read
