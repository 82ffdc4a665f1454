Feature: Messages between hosts
  Hosts of the platform tell each other about places in datagrams.

  Scenario: What is sent when the socket is closed reaches nobody and harms nothing
    Given two hosts that exchange datagrams
    When the first one sends "before", closes its socket and sends "after"
    Then the second one has received only "before"
